//! Work of a simulated disk that is not done yet.

use samphireshift::consensus::{Entry, HardState, Message, Snapshot, WriteNumber};

/// Work for a disk, done in the order in which it was queued.
#[derive(Debug)]
pub enum PendingWork {
    /// A write with its sync, and what waits for it.
    Write {
        number: Option<WriteNumber>,
        hard_state: Option<HardState>,
        installed: Option<Snapshot>,
        entries: Vec<Entry>,
        after_sync: Vec<Message>,
    },
    /// Drops the entries that a snapshot covers.
    Compact(Snapshot),
}
