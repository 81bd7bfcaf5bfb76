use std::collections::VecDeque;
use std::time::Duration;

/// Number of a write in the order in which the driver takes them; the first one has number 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// A write that the driver has taken and that is not known to be synced.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    number: WriteNumber,
    /// When the driver took it.
    taken_at: Duration,
    /// Last index up to which the log in memory is on disk once this write is synced.
    last_index: u64,
    /// Whether it holds a term or a vote.
    hard_state: bool,
}

/// The writes that are under way, in the order in which they are synced, and what is synced.
#[derive(Debug)]
pub struct WriteQueue {
    last_number: WriteNumber,
    pending: VecDeque<PendingWrite>,
    persisted_index: u64,
}

impl WriteQueue {
    /// A queue without writes; the log is on disk up to `persisted_index`.
    pub fn new(persisted_index: u64) -> Self {
        Self { last_number: WriteNumber::default(), pending: VecDeque::new(), persisted_index }
    }

    /// Adds a write, after which the log on disk reaches up to `last_index`.
    pub fn push(&mut self, taken_at: Duration, last_index: u64, hard_state: bool) -> WriteNumber {
        self.last_number.0 += 1;
        let number = self.last_number;
        self.pending.push_back(PendingWrite { number, taken_at, last_index, hard_state });
        number
    }

    /// Notes that a write and all earlier ones are synced.
    pub fn complete(&mut self, number: WriteNumber) {
        while let Some(write) = self.pending.pop_front_if(|write| write.number <= number) {
            self.persisted_index = self.persisted_index.max(write.last_index);
        }
    }

    /// Notes that the log in memory differs from `from` on from what is on disk or being written. A
    /// write that is under way must not count beyond, even if the same entries come back later.
    pub fn truncate(&mut self, from: u64) {
        let last = from.saturating_sub(1);
        self.persisted_index = self.persisted_index.min(last);
        for write in &mut self.pending {
            write.last_index = write.last_index.min(last);
        }
    }

    /// Index of the last entry of the log in memory that is synced.
    pub fn persisted_index(&self) -> u64 {
        self.persisted_index
    }

    /// Whether nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Since when the oldest write is under way.
    pub fn oldest(&self) -> Option<Duration> {
        self.pending.front().map(|write| write.taken_at)
    }

    /// Whether a term or a vote is not synced yet.
    pub fn holds_hard_state(&self) -> bool {
        self.pending.iter().any(|write| write.hard_state)
    }
}
