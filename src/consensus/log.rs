use super::{Entry, Members, Payload, Snapshot};

/// The log: the newest snapshot and the entries that follow it.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    size: usize,
}

impl Log {
    /// Creates a log from recovered state; without a snapshot, the log starts at index 1.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let empty =
            Snapshot { index: 0, term: 0, members: Members::default(), data: Default::default() };
        let size = entries.iter().map(Entry::size).sum();
        Self { snapshot: snapshot.unwrap_or(empty), entries, size }
    }

    /// Approximate size of the entries in bytes, without the snapshot.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Index of the last entry, or of the snapshot if no entry follows it; 0 for an empty log.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the snapshot if no entry follows it; 0 for an empty log.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    /// The snapshot that precedes the first entry.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Term of the entry at an index; `None` if it was compacted or does not exist yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index; `None` if it was compacted or does not exist yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries from `from` on whose sizes add up to at most `max_bytes`, but at least one if
    /// there is any. Empty if `from` was compacted.
    pub fn slice(&self, from: u64, max_bytes: usize) -> &[Entry] {
        let Some(start) = from.checked_sub(self.snapshot.index + 1) else { return &[] };
        let Some(tail) = self.entries.get(start as usize..) else { return &[] };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.size();
            size <= max_bytes
        };
        let count = tail.iter().take_while(fits).count();
        &tail[..count.max(1).min(tail.len())]
    }

    /// The entries from `from` to `to`, both included; panics if they are not all in the log.
    pub fn range(&self, from: u64, to: u64) -> &[Entry] {
        let start = (from - self.snapshot.index - 1) as usize;
        let end = (to - self.snapshot.index) as usize;
        &self.entries[start..end]
    }

    /// Appends an entry; panics if its index does not follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log entries must have consecutive indexes");
        self.size += entry.size();
        self.entries.push(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.size -= self.entries.iter().skip(keep).map(Entry::size).sum::<usize>();
        self.entries.truncate(keep);
    }

    /// Replaces the entries up to the snapshot's index with the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let drop = (snapshot.index - self.snapshot.index) as usize;
        let dropped = self.entries.drain(..drop.min(self.entries.len()));
        self.size -= dropped.map(|entry| entry.size()).sum::<usize>();
        self.snapshot = snapshot;
    }

    /// Discards all entries and starts from the snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.size = 0;
        self.snapshot = snapshot;
    }

    /// The membership in effect at an index, and the index of the entry or snapshot that set it.
    pub fn members_at(&self, index: u64) -> (u64, &Members) {
        let end = index.saturating_sub(self.snapshot.index) as usize;
        let end = end.min(self.entries.len());
        let found = self.entries[..end].iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.index, members)),
            _ => None,
        });
        found.unwrap_or((self.snapshot.index, &self.snapshot.members))
    }
}
