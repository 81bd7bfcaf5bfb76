use crate::name::{ModelName, VersionKey};

/// What the caller asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Wish {
    /// Whatever meets the target.
    Any,
    /// Any version of this model.
    Model(ModelName),
    /// Just this version.
    Version(VersionKey),
}

impl Wish {
    /// Reads the `model` field of a request: empty or `auto`, a model, or `model/version`.
    ///
    /// ```
    /// use samphireshift::policy::Wish;
    /// assert_eq!(Wish::parse("auto"), Wish::Any);
    /// ```
    pub fn parse(text: &str) -> Self {
        if text.is_empty() || text == "auto" {
            return Wish::Any;
        }
        match VersionKey::parse(text) {
            Some(key) => Wish::Version(key),
            None => Wish::Model(ModelName::new(text)),
        }
    }

    /// Whether a version would do.
    pub fn admits(&self, key: &VersionKey) -> bool {
        match self {
            Wish::Any => true,
            Wish::Model(model) => key.model == *model,
            Wish::Version(version) => key == version,
        }
    }
}
