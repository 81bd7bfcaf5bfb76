use crate::name::{TaskKind, VersionKey};
use serde::{Deserialize, Serialize};

/// A version and a kind of task, over all organisations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindKey {
    /// The kind of task.
    pub kind: TaskKind,
    /// The version of a model.
    pub version: VersionKey,
}
