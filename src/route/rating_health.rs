use crate::group::since_start;
use std::sync::Mutex;
use std::time::Duration;

/// Failures in a row after which the rating service is left alone for a while.
const FAILURES: u32 = 3;
/// How long it is left alone.
const PAUSE: Duration = Duration::from_secs(5);
/// The weight of one rating's time in the mean.
const WEIGHT: f64 = 0.1;
/// The time that a rating is taken to need before any is known, in milliseconds.
const TYPICAL_MILLIS: f64 = 100.0;

/// Whether the rating service answers, and how fast.
#[derive(Debug)]
pub struct RatingHealth(Mutex<State>);

#[derive(Debug)]
struct State {
    failures: u32,
    until: Duration,
    millis: f64,
}

impl RatingHealth {
    /// Starts with trust.
    pub fn open() -> Self {
        Self(Mutex::new(State { failures: 0, until: Duration::ZERO, millis: TYPICAL_MILLIS }))
    }

    /// How long a rating takes, in milliseconds; `None` while the service is left alone.
    pub fn millis(&self) -> Option<f64> {
        let state = self.0.lock().expect("rating health lock");
        (since_start() >= state.until).then_some(state.millis)
    }

    /// Notes a rating that came.
    pub fn came(&self, took: Duration) {
        let mut state = self.0.lock().expect("rating health lock");
        state.failures = 0;
        state.millis += WEIGHT * (took.as_secs_f64() * 1e3 - state.millis);
    }

    /// Notes a rating that did not come.
    pub fn failed(&self) {
        let mut state = self.0.lock().expect("rating health lock");
        state.failures += 1;
        if state.failures >= FAILURES {
            state.until = since_start() + PAUSE;
        }
    }
}
