use crate::name::{ModelName, OrganisationName, ServiceName, TaskKind, VersionKey, VersionName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// The SHA-256 hash of an API key, in lower-case hex; the key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes an API key.
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

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// Whether this is 64 lower-case hex digits.
    pub fn is_well_formed(&self) -> bool {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        self.0.len() == 64 && self.0.bytes().all(hex)
    }
}

/// An organisation: its API keys, what it may use and how its requests are routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrganisationName,
    /// Hashes of the organisation's API keys.
    pub keys: Vec<KeyHash>,
    /// Its share of the capacity under overload, relative to other organisations; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The models that it may use.
    pub models: Vec<ModelGrant>,
    /// The services other than models that it may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The quality that answers must reach, from 0 to 1.
    #[serde(rename = "target", default)]
    pub quality_target: f64,
    /// Rules that override the defaults for single kinds of task.
    #[serde(default)]
    pub kinds: Vec<KindRule>,
    /// What to do if no version reaches the quality target.
    #[serde(rename = "exhausted", default)]
    pub fallback: FallbackPolicy,
}

/// Permission to use a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGrant {
    /// The model that is granted.
    pub model: ModelName,
    /// The versions that are granted; empty for all.
    #[serde(default)]
    pub versions: Vec<VersionName>,
}

/// The quality target and routing of one kind of task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRule {
    /// The kind of task that the rule applies to.
    pub kind: TaskKind,
    /// The quality that answers must reach, from 0 to 1.
    #[serde(rename = "target")]
    pub quality_target: f64,
    /// How a model is selected for requests of this kind.
    #[serde(default)]
    pub route: RoutingMode,
}

/// How a model is selected for requests of one kind of task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingMode {
    /// The router selects a version by expected cost and quality.
    #[default]
    Choose,
    /// Requests always go to this model.
    Direct(ModelName),
}

/// What to do if no version reaches the quality target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FallbackPolicy {
    /// Refuse the request without running it.
    Refuse,
    /// Use the version with the highest expected quality.
    #[default]
    #[serde(rename = "least_bad")]
    BestAvailable,
}

impl Organisation {
    /// Whether the organisation may use a version.
    pub fn allows(&self, key: &VersionKey) -> bool {
        let grant = self.models.iter().find(|grant| grant.model == key.model);
        grant.is_some_and(|g| g.versions.is_empty() || g.versions.contains(&key.version))
    }

    /// The rule for a kind of task, if there is one.
    pub fn rule(&self, kind: &TaskKind) -> Option<&KindRule> {
        self.kinds.iter().find(|rule| rule.kind == *kind)
    }

    /// The quality target of a kind of task, from 0 to 1.
    pub fn quality_target(&self, kind: &TaskKind) -> f64 {
        self.rule(kind).map_or(self.quality_target, |rule| rule.quality_target)
    }
}

fn default_weight() -> u32 {
    1
}
