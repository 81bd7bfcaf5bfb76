use crate::name::ModelName;
use serde::{Deserialize, Serialize};

/// A model. Its versions are separate objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers request the model by.
    pub name: ModelName,
    /// A description for operators.
    #[serde(default)]
    pub description: String,
}
