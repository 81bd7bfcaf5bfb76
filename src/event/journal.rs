use super::ring_buffer::RingBuffer;
use super::{Event, EventFile, EventPage, EventQuery, EventRecord, HybridClock, Timestamp};
use crate::name::VmName;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// How often the writer thread logs new events and writes them to disk.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two `stamp_refused` events.
const DRIFT_EVENT_INTERVAL_MS: u64 = 10_000;
/// Numbers of the events that concern one request; they are logged at debug level.
const REQUEST_EVENT_NUMBERS: std::ops::RangeInclusive<u16> = 40..=59;

/// Events of one daemon: recorded in memory at once, logged and written to disk on each flush.
#[derive(Debug)]
pub struct Journal {
    vm: VmName,
    clock: HybridClock,
    ring: Mutex<RingBuffer>,
    file: Mutex<Option<EventFile>>,
    /// Clock time of the last `stamp_refused` event, in milliseconds.
    last_drift: AtomicU64,
}

impl Journal {
    /// Creates a journal that keeps events in memory only, and logs them only when it is flushed.
    pub fn in_memory(vm: VmName) -> Self {
        Self {
            vm,
            clock: HybridClock::default(),
            ring: Mutex::default(),
            file: Mutex::new(None),
            last_drift: AtomicU64::new(0),
        }
    }

    /// Opens a journal in a folder and continues with the events and the clock stored there.
    ///
    /// # Errors
    /// If the folder cannot be read or written.
    pub fn open(vm: VmName, folder: &Path) -> io::Result<Self> {
        let (file, records) = EventFile::open(folder)?;
        let journal = Self::in_memory(vm);
        let last = records.last().map_or_else(Timestamp::default, |record| record.at);
        journal.clock.restore(last.max(file.reserved_until()));
        journal.ring.lock().expect("ring lock").restore(records);
        *journal.file.lock().expect("event file lock") = Some(file);
        journal.flush();
        Ok(journal)
    }

    /// Starts the thread that flushes the journal until it is dropped.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn spawn_writer(self: &Arc<Self>) -> io::Result<()> {
        let journal = Arc::downgrade(self);
        let work = move || write_loop(&journal);
        std::thread::Builder::new().name("events".to_owned()).spawn(work).map(|_| ())
    }

    /// Records an event with the current timestamp.
    pub fn record(&self, event: Event) {
        let number = event.number();
        let vm = self.vm.clone();
        // The clock is read under the lock, so that the ring is ordered by timestamp.
        let mut ring = self.ring.lock().expect("ring lock");
        let at = self.clock.now();
        ring.push(Arc::new(EventRecord { at, vm, number, event }));
    }

    /// Returns a new timestamp, to be sent along with a message.
    pub fn timestamp(&self) -> Timestamp {
        self.clock.now()
    }

    /// Advances the clock past a timestamp received with a message. One too far ahead is ignored
    /// and recorded as an event, at a limited rate.
    pub fn observe(&self, seen: Timestamp) {
        let Err(drift) = self.clock.observe(seen) else { return };
        let now = self.clock.now().millis;
        let last = self.last_drift.load(Ordering::Relaxed);
        if now < last + DRIFT_EVENT_INTERVAL_MS {
            return;
        }
        let swapped =
            self.last_drift.compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed);
        if swapped.is_ok() {
            self.record(Event::StampRefused { ahead: drift.ahead_ms });
        }
    }

    /// Returns the events that match a query, oldest first.
    pub fn select(&self, query: &EventQuery) -> EventPage {
        let records = self.ring.lock().expect("ring lock").all();
        query.select(&records)
    }

    /// Logs the events that are not yet written, and writes them to disk if there is an event file.
    /// After a failed write, the file is no longer used.
    pub fn flush(&self) {
        let mut file = self.file.lock().expect("event file lock");
        let (unwritten, lost) = self.ring.lock().expect("ring lock").take_unwritten();
        if lost > 0 {
            log::warn!("{lost} events were dropped from memory before they were logged");
        }
        for record in &unwritten {
            log_record(record);
        }
        let Some(event_file) = file.as_mut() else { return };
        let written = event_file.write(unwritten.iter().map(|record| record.as_ref()));
        let result = written.and_then(|()| event_file.reserve_clock(self.clock.now()));
        if let Err(error) = result {
            log::error!(
                "failed to write events to disk; keeping new events in memory only: {error}"
            );
            *file = None;
        }
    }
}

fn write_loop(journal: &Weak<Journal>) {
    while let Some(journal) = journal.upgrade() {
        journal.flush();
        drop(journal);
        std::thread::sleep(FLUSH_INTERVAL);
    }
}

fn log_record(record: &EventRecord) {
    match REQUEST_EVENT_NUMBERS.contains(&record.number) {
        true => log::debug!("{record}"),
        false => log::info!("{record}"),
    }
}
