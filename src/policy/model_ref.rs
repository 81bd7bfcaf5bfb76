use crate::name::{ModelName, VersionKey};

/// Which model or version the caller asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelRef {
    /// Any version that meets the quality target.
    Any,
    /// Any version of this model.
    Model(ModelName),
    /// Only this version.
    Version(VersionKey),
}

impl ModelRef {
    /// Parses the `model` field of a request: empty or `auto`, a model, or `model/version`.
    ///
    /// ```
    /// use samphireshift::policy::ModelRef;
    /// assert_eq!(ModelRef::parse("auto"), ModelRef::Any);
    /// ```
    pub fn parse(text: &str) -> Self {
        if text.is_empty() || text == "auto" {
            return ModelRef::Any;
        }
        match VersionKey::parse(text) {
            Some(key) => ModelRef::Version(key),
            None => ModelRef::Model(ModelName::new(text)),
        }
    }

    /// Whether a version matches.
    pub fn matches(&self, key: &VersionKey) -> bool {
        match self {
            ModelRef::Any => true,
            ModelRef::Model(model) => key.model == *model,
            ModelRef::Version(version) => key == version,
        }
    }
}
