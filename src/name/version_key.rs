use super::{ModelName, VersionName};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Identifies a model version by model and version name; written as `model/version`, also in JSON.
///
/// ```
/// use samphireshift::name::VersionKey;
/// let key = VersionKey::parse("drafter/v2").unwrap();
/// assert_eq!(key.to_string(), "drafter/v2");
/// assert!(VersionKey::parse("drafter").is_none());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the version, unique within the model.
    pub version: VersionName,
}

impl VersionKey {
    /// Creates a key from its parts. The model name must not contain a slash, or the key cannot be
    /// parsed again.
    pub fn new(model: ModelName, version: VersionName) -> Self {
        Self { model, version }
    }

    /// Parses `model/version`, split at the first slash; `None` if a part is empty or missing.
    pub fn parse(text: &str) -> Option<Self> {
        let (model, version) = text.split_once('/')?;
        if model.is_empty() || version.is_empty() {
            return None;
        }
        Some(Self { model: ModelName::new(model), version: VersionName::new(version) })
    }
}

impl fmt::Display for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.version)
    }
}

impl Serialize for VersionKey {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for VersionKey {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        VersionKey::parse(&text).ok_or_else(|| D::Error::custom("expected 'model/version'"))
    }
}
