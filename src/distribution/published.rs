use super::{Change, ChangeLog, Chunk, ContentDigest, EntrySet, Position};
use crate::peer::ProtocolVersion;
use bytes::Bytes;
use serde::Serialize;

/// A set of entries on the sending side, with the log of its changes.
#[derive(Debug)]
pub struct Published<K, E> {
    set: EntrySet<K, E>,
    log: ChangeLog,
    /// The first version of daemons that can read an entry with this key.
    needs: fn(&K) -> ProtocolVersion,
    /// The first version of daemons that can read the present state.
    needed: ProtocolVersion,
}

impl<K, E> Published<K, E>
where
    K: Ord + Clone + Serialize,
    E: Clone + PartialEq + Serialize,
{
    /// Publishes a set; `needs` returns the first version of daemons that can read an entry with
    /// this key.
    pub fn new(set: EntrySet<K, E>, needs: fn(&K) -> ProtocolVersion) -> Self {
        let needed = newest(set.keys().map(needs));
        let log = ChangeLog::new(set.digest(), needed, encode(&set.snapshot()));
        Self { set, log, needs, needed }
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
        let set = change.set.iter().map(|entry| (self.needs)(&self.set.key_of(entry)));
        let needed = newest(set.chain(change.removed.iter().map(self.needs)));
        self.needed = newest(self.set.keys().map(self.needs));
        if self.log.push(change.target, needed, encode(&change)) {
            self.replace_snapshot();
        }
    }

    /// The next chunk for a router, or `None` if it has the present state.
    pub fn read(&self, position: &Position) -> Option<Chunk> {
        self.log.read(position)
    }

    /// Like [`Self::read`], with at most `limit` bytes in the chunk.
    pub fn read_up_to(&self, position: &Position, limit: usize) -> Option<Chunk> {
        self.log.read_up_to(position, limit, ProtocolVersion::CURRENT)
    }

    /// Like [`Self::read_up_to`], for a router that reads nothing beyond `version`: it is led past
    /// changes beyond that by the whole state.
    ///
    /// # Errors
    /// If the present state is beyond that: the first version that can read it.
    pub fn read_for(
        &mut self,
        version: ProtocolVersion,
        position: &Position,
        limit: usize,
    ) -> Result<Option<Chunk>, ProtocolVersion> {
        if version < self.needed {
            return Err(self.needed);
        }
        if !self.log.has_way_for(version, position.base) {
            self.replace_snapshot();
        }
        Ok(self.log.read_up_to(position, limit, version))
    }

    fn replace_snapshot(&mut self) {
        self.log.replace_snapshot(self.needed, encode(&self.set.snapshot()));
    }
}

fn newest<I>(versions: I) -> ProtocolVersion
where
    I: Iterator<Item = ProtocolVersion>,
{
    versions.max().unwrap_or(ProtocolVersion::FIRST)
}

fn encode<K, E>(change: &Change<K, E>) -> Bytes
where
    K: Serialize,
    E: Serialize,
{
    postcard::to_stdvec(change).expect("changes always serialise").into()
}
