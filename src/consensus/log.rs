use super::{Entry, Members, Payload, Snapshot};

/// The entries behind the newest snapshot.
#[derive(Debug)]
pub struct Log {
    base: Snapshot,
    entries: Vec<Entry>,
    size: usize,
}

impl Log {
    /// Opens a log from what was recovered.
    pub fn open(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let none =
            Snapshot { index: 0, term: 0, members: Members::default(), data: Default::default() };
        let size = entries.iter().map(Entry::size).sum();
        Self { base: snapshot.unwrap_or(none), entries, size }
    }

    /// Roughly the bytes that the entries take.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Index of the last entry; 0 where there is none.
    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.term, |entry| entry.term)
    }

    /// Index of the snapshot that the log starts behind.
    pub fn base_index(&self) -> u64 {
        self.base.index
    }

    /// The snapshot that the log starts behind.
    pub fn snapshot(&self) -> &Snapshot {
        &self.base
    }

    /// Term of an entry; `None` where it is trimmed or not there yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry; `None` where it is trimmed or not there yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, at most `bytes` of them but at least one.
    pub fn slice(&self, from: u64, bytes: usize) -> &[Entry] {
        let Some(start) = from.checked_sub(self.base.index + 1) else { return &[] };
        let Some(tail) = self.entries.get(start as usize..) else { return &[] };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.size();
            size <= bytes
        };
        let count = tail.iter().take_while(fits).count();
        &tail[..count.max(1).min(tail.len())]
    }

    /// Entries from `from` to `to`, both included.
    pub fn range(&self, from: u64, to: u64) -> &[Entry] {
        let start = (from - self.base.index - 1) as usize;
        let end = (to - self.base.index) as usize;
        &self.entries[start..end]
    }

    /// Adds an entry, which must be the next.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log entries are consecutive");
        self.size += entry.size();
        self.entries.push(entry);
    }

    /// Drops everything from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1) as usize;
        self.size -= self.entries.iter().skip(keep).map(Entry::size).sum::<usize>();
        self.entries.truncate(keep);
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let drop = (snapshot.index - self.base.index) as usize;
        let gone = self.entries.drain(..drop.min(self.entries.len()));
        self.size -= gone.map(|entry| entry.size()).sum::<usize>();
        self.base = snapshot;
    }

    /// Replaces everything by the snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.size = 0;
        self.base = snapshot;
    }

    /// The newest members at or before an index, and the index that set them.
    pub fn members_at(&self, index: u64) -> (u64, &Members) {
        let upto = index.saturating_sub(self.base.index) as usize;
        let upto = upto.min(self.entries.len());
        let found = self.entries[..upto].iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.index, members)),
            _ => None,
        });
        found.unwrap_or((self.base.index, &self.base.members))
    }
}
