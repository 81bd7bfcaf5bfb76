use crate::name::{ModelName, OrganisationName, ServiceName, TaskKind, VersionKey, VersionName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// The SHA-256 of an API key, in hex; the key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a key.
    ///
    /// ```
    /// use samphireshift::control::KeyHash;
    /// assert!(KeyHash::of("secret").matches(&KeyHash::of("secret")));
    /// ```
    pub fn of(key: &str) -> Self {
        let mut hex = String::with_capacity(64);
        for byte in Sha256::digest(key.as_bytes()) {
            write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Self(hex)
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// Whether this is 64 lower-case hex digits.
    pub fn is_well_formed(&self) -> bool {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        self.0.len() == 64 && self.0.bytes().all(hex)
    }
}

/// What an organisation may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Its share relative to others under load.
    #[serde(default = "one")]
    pub weight: u32,
    /// Models that it may use.
    pub models: Vec<ModelGrant>,
    /// Plain services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The quality that answers must meet, from 0 to 1.
    #[serde(default)]
    pub target: f64,
    /// Rules for single kinds of task.
    #[serde(default)]
    pub kinds: Vec<KindRule>,
    /// What to do when no version meets the target.
    #[serde(default)]
    pub exhausted: Exhausted,
}

/// Leave to use a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGrant {
    /// The model.
    pub model: ModelName,
    /// Its versions; empty for all.
    #[serde(default)]
    pub versions: Vec<VersionName>,
}

/// How one kind of task is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRule {
    /// The kind.
    pub kind: TaskKind,
    /// The quality that its answers must meet, from 0 to 1.
    pub target: f64,
    /// Which way its requests take.
    #[serde(default)]
    pub route: KindRoute,
}

/// Which way a kind's requests take.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindRoute {
    /// The router chooses by expected cost.
    #[default]
    Choose,
    /// Always this model.
    Direct(ModelName),
}

/// What to do when no version meets the quality target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exhausted {
    /// Refuse, not run.
    Refuse,
    /// Serve the version of the highest expected quality.
    #[default]
    LeastBad,
}

impl Organisation {
    /// Whether the organisation may use a version.
    pub fn allows(&self, key: &VersionKey) -> bool {
        let grant = self.models.iter().find(|grant| grant.model == key.model);
        grant.is_some_and(|g| g.versions.is_empty() || g.versions.contains(&key.version))
    }

    /// The rule of a kind, where there is one.
    pub fn rule(&self, kind: &TaskKind) -> Option<&KindRule> {
        self.kinds.iter().find(|rule| rule.kind == *kind)
    }

    /// The quality target of a kind.
    pub fn target(&self, kind: &TaskKind) -> f64 {
        self.rule(kind).map_or(self.target, |rule| rule.target)
    }
}

fn one() -> u32 {
    1
}
