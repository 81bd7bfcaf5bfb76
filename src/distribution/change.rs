use super::ContentDigest;
use serde::{Deserialize, Serialize};

/// What has changed from one state of a set to the next. A snapshot is the change from the empty
/// set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change<K, E> {
    /// The digest of the state before the change.
    pub base: ContentDigest,
    /// The digest of the state after the change.
    pub target: ContentDigest,
    /// Entries that are new or replace the one with the same key.
    pub set: Vec<E>,
    /// Keys of entries that are gone.
    pub removed: Vec<K>,
}

impl<K, E> Change<K, E> {
    /// Whether the change holds a whole state.
    pub fn is_snapshot(&self) -> bool {
        self.base == ContentDigest::EMPTY
    }
}
