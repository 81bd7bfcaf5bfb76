use super::{Clock, Event, EventQuery, EventRecord, Stamp};
use crate::name::VmName;
use std::collections::VecDeque;
use std::sync::Mutex;

/// Events kept in memory by one daemon.
const RING_EVENTS: usize = 20_000;

/// A daemon's own events, the newest [`RING_EVENTS`] of them, each also logged.
#[derive(Debug)]
pub struct Journal {
    vm: VmName,
    clock: Clock,
    ring: Mutex<VecDeque<EventRecord>>,
}

impl Journal {
    /// Opens an empty journal for a VM.
    pub fn open(vm: VmName) -> Self {
        Self { vm, clock: Clock::default(), ring: Mutex::new(VecDeque::new()) }
    }

    /// Records an event now.
    pub fn record(&self, event: Event) {
        let at = self.clock.now();
        let record = EventRecord { at, vm: self.vm.clone(), number: event.number(), event };
        log::info!("{record}");
        let mut ring = self.ring.lock().expect("journal lock");
        if ring.len() == RING_EVENTS {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// The current reading, to be sent along with messages.
    pub fn stamp(&self) -> Stamp {
        self.clock.now()
    }

    /// Takes in a stamp that came with a message.
    pub fn observe(&self, seen: Stamp) {
        self.clock.observe(seen);
    }

    /// The selected events, oldest first.
    pub fn select(&self, query: &EventQuery) -> Vec<EventRecord> {
        let ring = self.ring.lock().expect("journal lock");
        ring.iter().filter(|record| query.selects(record)).cloned().collect()
    }
}
