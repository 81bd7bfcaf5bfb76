use super::ring::Ring;
use super::{Clock, Event, EventFile, EventPage, EventQuery, EventRecord, Stamp};
use crate::name::VmName;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// How often new events are logged and written to disk.
const FLUSH_EVERY: Duration = Duration::from_millis(20);
/// The shortest time between two events about another VM's clock, in milliseconds.
const DRIFT_EVERY: u64 = 10_000;
/// Numbers of events that concern one request; they are logged at level debug.
const REQUEST_NUMBERS: std::ops::RangeInclusive<u16> = 40..=59;

/// A daemon's own events: recorded in memory at once, logged and written to disk by a thread.
#[derive(Debug)]
pub struct Journal {
    vm: VmName,
    clock: Clock,
    ring: Mutex<Ring>,
    file: Mutex<Option<EventFile>>,
    drifted: AtomicU64,
}

impl Journal {
    /// Opens a journal that lives in memory only and logs nothing by itself.
    pub fn open(vm: VmName) -> Self {
        Self {
            vm,
            clock: Clock::default(),
            ring: Mutex::default(),
            file: Mutex::new(None),
            drifted: AtomicU64::new(0),
        }
    }

    /// Opens a journal that goes on where the files in a folder end.
    ///
    /// # Errors
    /// Where the folder cannot be used.
    pub fn open_in(vm: VmName, folder: &Path) -> io::Result<Self> {
        let (file, records) = EventFile::open(folder)?;
        let journal = Self::open(vm);
        let last = records.last().map_or_else(Stamp::default, |record| record.at);
        journal.clock.restore(last.max(file.reserved()));
        journal.ring.lock().expect("ring lock").restore(records);
        *journal.file.lock().expect("event file lock") = Some(file);
        journal.flush();
        Ok(journal)
    }

    /// Starts the thread that logs and writes new events, for as long as the journal lives.
    pub fn spawn_writer(self: &Arc<Self>) -> io::Result<()> {
        let journal = Arc::downgrade(self);
        let work = move || write_for_ever(&journal);
        std::thread::Builder::new().name("events".to_owned()).spawn(work).map(|_| ())
    }

    /// Records an event now.
    pub fn record(&self, event: Event) {
        let number = event.number();
        let vm = self.vm.clone();
        // The stamp is read under the lock, so that the ring is in the order of stamps.
        let mut ring = self.ring.lock().expect("ring lock");
        let at = self.clock.now();
        ring.push(Arc::new(EventRecord { at, vm, number, event }));
    }

    /// The current reading, to be sent along with messages.
    pub fn stamp(&self) -> Stamp {
        self.clock.now()
    }

    /// Takes in a stamp that came with a message. One too far ahead is not followed; an event says so.
    pub fn observe(&self, seen: Stamp) {
        let Err(drift) = self.clock.observe(seen) else { return };
        let now = self.clock.now().millis;
        let last = self.drifted.load(Ordering::Relaxed);
        if now < last + DRIFT_EVERY {
            return;
        }
        let swapped =
            self.drifted.compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed);
        if swapped.is_ok() {
            self.record(Event::StampRefused { ahead: drift.ahead });
        }
    }

    /// The selected events, oldest first.
    pub fn select(&self, query: &EventQuery) -> EventPage {
        let records = self.ring.lock().expect("ring lock").all();
        query.select(&records)
    }

    /// Logs and writes what is new.
    pub fn flush(&self) {
        let mut file = self.file.lock().expect("event file lock");
        let (fresh, lost) = self.ring.lock().expect("ring lock").take_unwritten();
        if lost > 0 {
            log::warn!("{lost} events came too fast to be logged");
        }
        for record in &fresh {
            log(record);
        }
        let Some(out) = file.as_mut() else { return };
        let written = out.write(fresh.iter().map(|record| record.as_ref()));
        let done = written.and_then(|()| out.reserve(self.clock.now()));
        if let Err(error) = done {
            log::error!("events cannot be written and stay in memory only: {error}");
            *file = None;
        }
    }
}

fn write_for_ever(journal: &Weak<Journal>) {
    while let Some(journal) = journal.upgrade() {
        journal.flush();
        drop(journal);
        std::thread::sleep(FLUSH_EVERY);
    }
}

fn log(record: &EventRecord) {
    match REQUEST_NUMBERS.contains(&record.number) {
        true => log::debug!("{record}"),
        false => log::info!("{record}"),
    }
}
