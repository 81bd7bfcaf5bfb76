use crate::name::{ModelName, PoolName, VersionName};
use crate::policy::{GeometricMean, Tally};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Bounds of a single latency ratio, so that one call cannot outweigh the others.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 30.0;
/// Events over which the interval between events is averaged, and the fewest that count if a
/// response ends earlier.
const MAX_TIMED_EVENTS: u64 = 8;
const MIN_TIMED_EVENTS: u64 = 3;
/// The shortest interval between two events that is recorded, in ms.
const MIN_INTERVAL_MS: f64 = 0.5;

/// What calls are tallied by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TallyKey {
    pool: PoolName,
    version: Option<VersionName>,
    route: String,
    model: Option<ModelName>,
}

/// Call results by pool, version, route and model, since the router started.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: Mutex<BTreeMap<TallyKey, Tally>>,
    /// Calls whose response has not started.
    waiting: Mutex<HashMap<u64, WaitingCall>>,
    next_id: AtomicU64,
}

/// A call whose response has not started.
#[derive(Debug)]
struct WaitingCall {
    key: TallyKey,
    started: Instant,
    baseline_ms: f64,
}

impl WaitingCall {
    /// The ratio of the time so far to the expected time.
    fn latency_ratio(&self) -> f64 {
        latency_ratio(self.started, self.baseline_ms)
    }
}

fn latency_ratio(started: Instant, baseline_ms: f64) -> f64 {
    let millis = started.elapsed().as_secs_f64() * 1e3;
    (millis.max(1.0) / baseline_ms.max(1.0)).clamp(MIN_RATIO, MAX_RATIO)
}

/// How a call ended, as evidence about the version that served it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// The call succeeded.
    Success,
    /// The server failed the call.
    Failure,
    /// The outcome says nothing about the version.
    Unknown,
}

/// Records one call; the end of the call is recorded when this is dropped.
#[derive(Debug)]
pub struct CallRecorder {
    tallies: Arc<Tallies>,
    id: u64,
    key: TallyKey,
    outcome: CallOutcome,
    started: Instant,
    baseline_ms: f64,
    latency_recorded: bool,
    ignores_intervals: bool,
    timing: Option<EventTiming>,
}

/// Arrival times of a response's events.
#[derive(Debug)]
struct EventTiming {
    first: u64,
    last: u64,
    first_at: Instant,
    last_at: Instant,
    recorded: bool,
}

impl EventTiming {
    fn new(event: u64) -> Self {
        let now = Instant::now();
        Self { first: event, last: event, first_at: now, last_at: now, recorded: false }
    }
}

impl Tallies {
    /// Records the start of a call. `baseline_ms` is the expected time to the response.
    pub fn begin_call(
        self: &Arc<Self>,
        pool: &PoolName,
        version: Option<&VersionName>,
        route: &str,
        model: Option<&ModelName>,
        baseline_ms: f64,
    ) -> CallRecorder {
        let key = TallyKey {
            pool: pool.clone(),
            version: version.cloned(),
            route: route.to_owned(),
            model: model.cloned(),
        };
        self.update(&key, |tally| tally.running += 1);
        let (outcome, started) = (CallOutcome::Unknown, Instant::now());
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let waiting = WaitingCall { key: key.clone(), started, baseline_ms };
        self.waiting.lock().expect("waiting calls lock").insert(id, waiting);
        CallRecorder {
            tallies: self.clone(),
            id,
            key,
            outcome,
            started,
            baseline_ms,
            latency_recorded: false,
            ignores_intervals: false,
            timing: None,
        }
    }

    /// The tallies of all pools that satisfy `predicate`. A call that waits for longer than expected
    /// counts with the time until now: the slowest responses are those that are still to come.
    pub fn of_pools<F>(&self, predicate: F) -> Vec<Tally>
    where
        F: Fn(&PoolName) -> bool,
    {
        let counts = self.counts.lock().expect("tally lock");
        let selected = counts.iter().filter(|(key, _)| predicate(&key.pool));
        let mut tallies: BTreeMap<&TallyKey, Tally> =
            selected.map(|(key, tally)| (key, tally.clone())).collect();
        if tallies.is_empty() {
            return Vec::new();
        }
        for call in self.waiting.lock().expect("waiting calls lock").values() {
            let ratio = call.latency_ratio();
            if let Some(tally) = tallies.get_mut(&call.key).filter(|_| ratio > 1.0) {
                tally.first_ratio.observe(ratio);
            }
        }
        tallies.into_values().collect()
    }

    fn end_wait(&self, id: u64) {
        self.waiting.lock().expect("waiting calls lock").remove(&id);
    }

    fn update<F>(&self, key: &TallyKey, change: F)
    where
        F: FnOnce(&mut Tally),
    {
        let mut counts = self.counts.lock().expect("tally lock");
        let TallyKey { pool, version, route, model } = key.clone();
        let (first_ratio, event_gap) = (GeometricMean::default(), GeometricMean::default());
        let empty = Tally {
            pool,
            version,
            route,
            model,
            succeeded: 0,
            failed: 0,
            first_ratio,
            event_gap,
            running: 0,
        };
        change(counts.entry(key.clone()).or_insert(empty));
    }
}

impl CallRecorder {
    /// Records the start of the response. Returns the ratio of actual to expected time.
    pub fn response_started(&mut self) -> f64 {
        let latency_ratio = self.latency_ratio();
        if !std::mem::replace(&mut self.latency_recorded, true) {
            self.tallies.end_wait(self.id);
            self.record_ratio(latency_ratio);
        }
        latency_ratio
    }

    /// The ratio of the time so far to the expected time.
    fn latency_ratio(&self) -> f64 {
        latency_ratio(self.started, self.baseline_ms)
    }

    fn record_ratio(&self, latency_ratio: f64) {
        self.tallies.update(&self.key, |tally| tally.first_ratio.observe(latency_ratio));
    }

    /// The time between the events of this call tells nothing of the version.
    pub fn ignore_intervals(&mut self) {
        self.ignores_intervals = true;
    }

    /// Records that events up to the one with this id have arrived.
    pub fn event_received(&mut self, event: u64) {
        if self.ignores_intervals {
            return;
        }
        match &mut self.timing {
            None => self.timing = Some(EventTiming::new(event)),
            Some(timing) if !timing.recorded => {
                (timing.last, timing.last_at) = (event, Instant::now());
                if timing.last >= timing.first + MAX_TIMED_EVENTS {
                    self.record_interval();
                }
            }
            Some(_) => {}
        }
    }

    /// Records the average interval between events, once per call.
    fn record_interval(&mut self) {
        let Some(timing) = &mut self.timing else { return };
        let count = timing.last.saturating_sub(timing.first);
        if timing.recorded || count < MIN_TIMED_EVENTS {
            return;
        }
        timing.recorded = true;
        let average_ms = (timing.last_at - timing.first_at).as_secs_f64() * 1e3 / count as f64;
        let interval_ms = average_ms.max(MIN_INTERVAL_MS);
        self.tallies.update(&self.key, |tally| tally.event_gap.observe(interval_ms));
    }

    /// Sets the outcome of the call.
    pub fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        self.tallies.end_wait(self.id);
        // A call that ended without a response took at least the time until now.
        let latency_ratio = self.latency_ratio();
        if !self.latency_recorded && latency_ratio > 1.0 {
            self.record_ratio(latency_ratio);
        }
        self.record_interval();
        let outcome = self.outcome;
        self.tallies.update(&self.key, |tally| {
            tally.running -= 1;
            match outcome {
                CallOutcome::Success => tally.succeeded += 1,
                CallOutcome::Failure => tally.failed += 1,
                CallOutcome::Unknown => {}
            }
        });
    }
}
