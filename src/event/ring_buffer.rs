use super::EventRecord;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of events that one daemon keeps in memory.
const MAX_RING_EVENTS: usize = 20_000;

/// The newest events of a daemon, and which of them were written to the log and to disk.
#[derive(Debug, Default)]
pub struct RingBuffer {
    records: VecDeque<Arc<EventRecord>>,
    /// Index of the first record among all records ever pushed.
    first_index: u64,
    /// Index after the last record that was written.
    written_end: u64,
}

impl RingBuffer {
    /// Fills the buffer with records that were written before a restart.
    pub fn restore(&mut self, records: Vec<EventRecord>) {
        let skipped = records.len().saturating_sub(MAX_RING_EVENTS);
        records.into_iter().skip(skipped).for_each(|record| self.push(Arc::new(record)));
        self.written_end = self.first_index + self.records.len() as u64;
    }

    /// Adds a record, and drops the oldest one if the buffer is full.
    pub fn push(&mut self, record: Arc<EventRecord>) {
        if self.records.len() == MAX_RING_EVENTS {
            self.records.pop_front();
            self.first_index += 1;
        }
        self.records.push_back(record);
    }

    /// Returns the records not yet written and the number of records that were dropped before they
    /// were written, and marks all records as written.
    pub fn take_unwritten(&mut self) -> (Vec<Arc<EventRecord>>, u64) {
        let lost = self.first_index.saturating_sub(self.written_end);
        let skip = self.written_end.saturating_sub(self.first_index) as usize;
        let unwritten: Vec<_> = self.records.iter().skip(skip).cloned().collect();
        self.written_end = self.first_index + self.records.len() as u64;
        (unwritten, lost)
    }

    /// Returns all records, oldest first.
    pub fn all(&self) -> Vec<Arc<EventRecord>> {
        self.records.iter().cloned().collect()
    }
}
