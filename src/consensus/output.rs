use super::{Entry, HardState, Message, Snapshot, WriteNumber};

/// Work for the driver: send `immediate` and apply `committed`; write and sync `snapshot`,
/// `hard_state` and `entries`, then send `after_sync` and call [`super::Raft::on_persisted`]. The
/// sync may take its time, while further outputs are taken; writes are synced in the order of the
/// outputs.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages that may be sent before anything is synced.
    pub immediate: Vec<Message>,
    /// A snapshot received from the leader; replaces the log and the replicated state.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append to the log; the first one replaces all entries from its index on.
    pub entries: Vec<Entry>,
    /// Number of the write; `None` if there is nothing to write.
    pub write: Option<WriteNumber>,
    /// Messages that must not be sent before everything above, and all of the outputs before, is
    /// synced.
    pub after_sync: Vec<Message>,
    /// Newly committed entries, to be applied in order.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Whether there is anything to write and sync.
    pub fn needs_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// Whether there is no work at all.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.immediate.is_empty()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
    }
}
