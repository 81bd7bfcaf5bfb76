use super::{Change, ChangeLog, Chunk, ContentDigest, EntrySet, Position};
use bytes::Bytes;
use serde::Serialize;

/// A set of entries on the sending side, with the log of its changes.
#[derive(Debug)]
pub struct Published<K, E> {
    set: EntrySet<K, E>,
    log: ChangeLog,
}

impl<K, E> Published<K, E>
where
    K: Ord + Clone + Serialize,
    E: Clone + PartialEq + Serialize,
{
    /// Publishes a set.
    pub fn new(set: EntrySet<K, E>) -> Self {
        let log = ChangeLog::new(set.digest(), encode(&set.snapshot()));
        Self { set, log }
    }

    /// The digest of the present state.
    pub fn digest(&self) -> ContentDigest {
        self.set.digest()
    }

    /// The present entries.
    pub fn set(&self) -> &EntrySet<K, E> {
        &self.set
    }

    /// Replaces the entries that `in_scope` selects, and logs the change.
    pub fn replace<I, F>(&mut self, next: I, in_scope: F)
    where
        I: IntoIterator<Item = E>,
        F: Fn(&K) -> bool,
    {
        let change = self.set.replace(next, in_scope);
        if change.base == change.target {
            return;
        }
        if self.log.push(change.target, encode(&change)) {
            self.log.replace_snapshot(encode(&self.set.snapshot()));
        }
    }

    /// The next chunk for a router, or `None` if it has the present state.
    pub fn read(&self, position: &Position) -> Option<Chunk> {
        self.log.read(position)
    }

    /// Like [`Self::read`], with at most `limit` bytes in the chunk.
    pub fn read_up_to(&self, position: &Position, limit: usize) -> Option<Chunk> {
        self.log.read_up_to(position, limit)
    }
}

fn encode<K, E>(change: &Change<K, E>) -> Bytes
where
    K: Serialize,
    E: Serialize,
{
    postcard::to_stdvec(change).expect("changes always serialise").into()
}
