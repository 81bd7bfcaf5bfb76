use super::EventRecord;
use std::collections::VecDeque;
use std::sync::Arc;

/// Events kept in memory by one daemon.
const RING_EVENTS: usize = 20_000;

/// The newest events and how many of them were written out.
#[derive(Debug, Default)]
pub struct Ring {
    records: VecDeque<Arc<EventRecord>>,
    /// The place of the first record among all ever pushed.
    first: u64,
    /// The place behind the last record that was written out.
    written: u64,
}

impl Ring {
    /// Starts with records that were written out before.
    pub fn restore(&mut self, records: Vec<EventRecord>) {
        let skipped = records.len().saturating_sub(RING_EVENTS);
        records.into_iter().skip(skipped).for_each(|record| self.push(Arc::new(record)));
        self.written = self.first + self.records.len() as u64;
    }

    /// Adds a record; the oldest makes room.
    pub fn push(&mut self, record: Arc<EventRecord>) {
        if self.records.len() == RING_EVENTS {
            self.records.pop_front();
            self.first += 1;
        }
        self.records.push_back(record);
    }

    /// The records not yet written out, and how many were dropped before they could be.
    pub fn take_unwritten(&mut self) -> (Vec<Arc<EventRecord>>, u64) {
        let lost = self.first.saturating_sub(self.written);
        let skip = self.written.saturating_sub(self.first) as usize;
        let fresh: Vec<_> = self.records.iter().skip(skip).cloned().collect();
        self.written = self.first + self.records.len() as u64;
        (fresh, lost)
    }

    /// All records, oldest first.
    pub fn all(&self) -> Vec<Arc<EventRecord>> {
        self.records.iter().cloned().collect()
    }
}
