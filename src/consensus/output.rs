use super::{Entry, HardState, Message, Snapshot};

/// What the driver must do, in this order: send `early`, persist and sync, call
/// [`super::Core::persisted`], send `late`, apply `committed`.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages that need nothing of our own to be synced.
    pub early: Vec<Message>,
    /// A snapshot received from the leader; replaces log and state.
    pub install: Option<Snapshot>,
    /// Term and vote, where changed.
    pub hard: Option<HardState>,
    /// Entries to append; the first replaces everything from its index on.
    pub entries: Vec<Entry>,
    /// Messages that promise that the above is synced.
    pub late: Vec<Message>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Whether there is anything to write.
    pub fn writes(&self) -> bool {
        self.install.is_some() || self.hard.is_some() || !self.entries.is_empty()
    }

    /// Whether there is nothing to do at all.
    pub fn is_empty(&self) -> bool {
        !self.writes() && self.early.is_empty() && self.late.is_empty() && self.committed.is_empty()
    }
}
