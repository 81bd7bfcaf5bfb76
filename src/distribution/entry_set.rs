use super::{Change, ContentDigest};
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a change could not be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The change follows another state than the present one.
    #[error("the change follows another state")]
    OtherBase,
    /// The state after the change is not the one that the sender had.
    #[error("the digest of the result differs from the sender's")]
    OtherResult,
}

/// A set of entries with unique keys, and its digest.
#[derive(Debug, Clone)]
pub struct EntrySet<K, E> {
    key_of: fn(&E) -> K,
    entries: BTreeMap<K, E>,
    digest: ContentDigest,
}

impl<K, E> EntrySet<K, E>
where
    K: Ord + Clone,
    E: Clone + PartialEq + Serialize,
{
    /// Creates an empty set; `key_of` returns the key of an entry.
    pub fn new(key_of: fn(&E) -> K) -> Self {
        Self { key_of, entries: BTreeMap::new(), digest: ContentDigest::EMPTY }
    }

    /// The digest of the present entries.
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// The entries, ordered by key.
    pub fn entries(&self) -> impl Iterator<Item = &E> {
        self.entries.values()
    }

    /// The keys of the entries, in their order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.keys()
    }

    /// The key of an entry.
    pub fn key_of(&self, entry: &E) -> K {
        (self.key_of)(entry)
    }

    /// The change from the empty set to this one.
    pub fn snapshot(&self) -> Change<K, E> {
        let set = self.entries().cloned().collect();
        Change { base: ContentDigest::EMPTY, target: self.digest, set, removed: Vec::new() }
    }

    /// Replaces the entries that `in_scope` selects by `next`, and returns what has changed. Of
    /// several entries with the same key in `next`, the first one counts.
    pub fn replace<I, F>(&mut self, next: I, in_scope: F) -> Change<K, E>
    where
        I: IntoIterator<Item = E>,
        F: Fn(&K) -> bool,
    {
        let base = self.digest;
        let mut wanted = BTreeMap::new();
        for entry in next {
            wanted.entry((self.key_of)(&entry)).or_insert(entry);
        }
        let is_gone = |key: &&K| in_scope(key) && !wanted.contains_key(key);
        let removed: Vec<K> = self.entries.keys().filter(is_gone).cloned().collect();
        let is_new = |(key, entry): &(K, E)| self.entries.get(key) != Some(entry);
        let set: Vec<E> = wanted.into_iter().filter(is_new).map(|(_, entry)| entry).collect();
        removed.iter().for_each(|key| self.remove(key));
        set.iter().for_each(|entry| self.insert(entry.clone()));
        Change { base, target: self.digest, set, removed }
    }

    /// Applies a change. One that has already been applied, last or as a whole state, has no effect.
    ///
    /// # Errors
    /// [`ApplyError::OtherBase`] if the change does not follow the present state, which stays as it
    /// is; [`ApplyError::OtherResult`] if the result is wrong, in which case the set is emptied.
    pub fn apply(&mut self, change: Change<K, E>) -> Result<(), ApplyError> {
        if change.target == self.digest {
            return Ok(());
        }
        if change.is_snapshot() {
            self.clear();
        }
        if change.base != self.digest {
            return Err(ApplyError::OtherBase);
        }
        change.removed.iter().for_each(|key| self.remove(key));
        change.set.into_iter().for_each(|entry| self.insert(entry));
        if self.digest != change.target {
            self.clear();
            return Err(ApplyError::OtherResult);
        }
        Ok(())
    }

    fn clear(&mut self) {
        self.entries.clear();
        self.digest = ContentDigest::EMPTY;
    }

    fn insert(&mut self, entry: E) {
        let key = (self.key_of)(&entry);
        self.digest.add(&entry);
        if let Some(previous) = self.entries.insert(key, entry) {
            self.digest.remove(&previous);
        }
    }

    fn remove(&mut self, key: &K) {
        if let Some(previous) = self.entries.remove(key) {
            self.digest.remove(&previous);
        }
    }
}
