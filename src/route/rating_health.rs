use crate::group::since_start;
use std::sync::Mutex;
use std::time::Duration;

/// Consecutive failures after which the rating service is not called for [`BREAKER_PAUSE`].
const MAX_FAILURES: u32 = 3;
/// How long the rating service is not called after too many failures.
const BREAKER_PAUSE: Duration = Duration::from_secs(5);
/// Weight of the newest rating in the moving average of the latency.
const SMOOTHING: f64 = 0.1;
/// Latency that is assumed before the first rating.
const INITIAL_LATENCY_MS: f64 = 100.0;

/// Availability and latency of the rating service: a circuit breaker with a moving average.
#[derive(Debug)]
pub struct RatingHealth(Mutex<HealthState>);

#[derive(Debug)]
struct HealthState {
    failures: u32,
    paused_until: Duration,
    latency_ms: f64,
}

impl RatingHealth {
    /// Creates the state of a service that is assumed to be available.
    pub fn healthy() -> Self {
        Self(Mutex::new(HealthState {
            failures: 0,
            paused_until: Duration::ZERO,
            latency_ms: INITIAL_LATENCY_MS,
        }))
    }

    /// Returns the average latency of a rating in milliseconds, or `None` while the service is
    /// paused.
    pub fn latency_ms(&self) -> Option<f64> {
        let state = self.0.lock().expect("rating health lock");
        (since_start() >= state.paused_until).then_some(state.latency_ms)
    }

    /// Records a rating that arrived, and its latency.
    pub fn record_success(&self, latency: Duration) {
        let mut state = self.0.lock().expect("rating health lock");
        state.failures = 0;
        state.latency_ms += SMOOTHING * (latency.as_secs_f64() * 1e3 - state.latency_ms);
    }

    /// Records a rating that failed or timed out.
    pub fn record_failure(&self) {
        let mut state = self.0.lock().expect("rating health lock");
        state.failures += 1;
        if state.failures >= MAX_FAILURES {
            state.paused_until = since_start() + BREAKER_PAUSE;
        }
    }
}
