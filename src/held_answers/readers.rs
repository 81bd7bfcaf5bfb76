use super::CallerReader;
use crate::policy::{ReaderLoad, SlowCause, slowest_readers};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Independently locked parts of the list.
const SHARDS: usize = 8;
/// How often callers that have stalled are looked for, while there are none.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// The callers' connections that a budget knows, in shards that each have their own lock.
#[derive(Debug)]
pub struct Readers {
    shards: [Mutex<HashMap<u64, Weak<CallerReader>>>; SHARDS],
    next: AtomicU64,
    /// Held while callers are chosen, so that no two threads end callers for the same excess.
    /// Has the time since which none has stalled.
    choosing: Mutex<Option<Instant>>,
}

impl Default for Readers {
    fn default() -> Self {
        Self { shards: Default::default(), next: AtomicU64::new(0), choosing: Mutex::default() }
    }
}

impl Readers {
    /// A number for a new connection.
    pub(super) fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn add(&self, number: u64, reader: Weak<CallerReader>) {
        self.shard(number).lock().expect("readers lock").insert(number, reader);
    }

    pub(super) fn remove(&self, number: u64) {
        self.shard(number).lock().expect("readers lock").remove(&number);
    }

    fn shard(&self, number: u64) -> &Mutex<HashMap<u64, Weak<CallerReader>>> {
        &self.shards[(number % SHARDS as u64) as usize]
    }

    /// Ends the slowest callers that have at least the cause `least` until `excess` gives 0.
    pub fn end_slowest<F>(&self, least: SlowCause, excess: F)
    where
        F: Fn() -> usize,
    {
        let mut none_since = self.choosing.lock().expect("choice lock");
        let excess = excess();
        let has_looked = none_since.is_some_and(|at| at.elapsed() < LOOK_INTERVAL);
        if excess == 0 || (least == SlowCause::Stalled && has_looked) {
            return;
        }
        let readers = self.holding();
        let loads: Vec<ReaderLoad> = readers.iter().map(|reader| reader.load()).collect();
        let ended = slowest_readers(&loads, excess, least);
        *none_since = ended.is_empty().then(Instant::now);
        for at in ended {
            readers[at].end(loads[at]);
        }
    }

    /// The connections for which anything is held.
    fn holding(&self) -> Vec<Arc<CallerReader>> {
        let mut readers = Vec::new();
        for shard in &self.shards {
            readers.extend(shard.lock().expect("readers lock").values().filter_map(Weak::upgrade));
        }
        // No lock is held here: the last handle of a connection, if this is it, removes it from its
        // shard.
        readers.retain(|reader| reader.load().held > 0);
        readers
    }
}
