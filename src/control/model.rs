use crate::name::ModelName;
use serde::{Deserialize, Serialize};

/// A model; its versions are objects of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// A line for people.
    #[serde(default)]
    pub description: String,
}
