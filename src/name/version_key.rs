use super::{ModelName, VersionName};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// A model and one of its versions, written `model/version`, in JSON too.
///
/// ```
/// use samphireshift::name::VersionKey;
/// let key = VersionKey::parse("drafter/v2").unwrap();
/// assert_eq!(key.to_string(), "drafter/v2");
/// assert!(VersionKey::parse("drafter").is_none());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// The model.
    pub model: ModelName,
    /// The version of that model.
    pub version: VersionName,
}

impl VersionKey {
    /// Makes a key from its two parts.
    pub fn new(model: ModelName, version: VersionName) -> Self {
        Self { model, version }
    }

    /// Parses `model/version`; `None` where a part is missing.
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
        VersionKey::parse(&text).ok_or_else(|| D::Error::custom("a version is 'model/version'"))
    }
}
