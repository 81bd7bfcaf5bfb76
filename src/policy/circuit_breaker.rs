use std::time::Duration;

/// Consecutive failures after which a server is ejected.
const FAILURE_THRESHOLD: u32 = 3;
/// Duration of the first ejection; each consecutive ejection lasts twice as long as the one before.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time without an outcome after which a probe counts as lost and another one is allowed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Circuit breaker of one server, with a single request as the probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CircuitBreaker {
    /// Closed: requests are sent.
    Closed {
        /// Consecutive failures so far.
        failures: u32,
    },
    /// Open: no requests are sent.
    Open {
        /// When a probe is allowed.
        until: Duration,
        /// Consecutive ejections.
        ejections: u32,
    },
    /// Half-open: one request is in progress as a probe.
    HalfOpen {
        /// When the probe was sent.
        since: Duration,
        /// Consecutive ejections.
        ejections: u32,
    },
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        CircuitBreaker::Closed { failures: 0 }
    }
}

impl CircuitBreaker {
    /// Whether a request may be sent now. An ejected server allows one probe after its ejection
    /// time.
    pub fn allows_request(&self, now: Duration) -> bool {
        match self {
            CircuitBreaker::Closed { .. } => true,
            CircuitBreaker::Open { until, .. } => now >= *until,
            CircuitBreaker::HalfOpen { since, .. } => now >= *since + PROBE_TIMEOUT,
        }
    }

    /// Records that a request is sent; to a server whose breaker is not closed, it is the probe.
    pub fn record_start(&mut self, now: Duration) {
        match self {
            CircuitBreaker::Open { ejections, .. } | CircuitBreaker::HalfOpen { ejections, .. } => {
                *self = CircuitBreaker::HalfOpen { since: now, ejections: *ejections };
            }
            CircuitBreaker::Closed { .. } => {}
        }
    }

    /// Records a successful request. Returns whether it restored the server.
    pub fn record_success(&mut self) -> bool {
        let restored = !matches!(self, CircuitBreaker::Closed { .. });
        *self = CircuitBreaker::Closed { failures: 0 };
        restored
    }

    /// Records a failed request. Returns whether it ejected the server.
    ///
    /// ```
    /// use samphireshift::policy::CircuitBreaker;
    /// use std::time::Duration;
    /// let (mut breaker, now) = (CircuitBreaker::default(), Duration::from_secs(1));
    /// assert!(!breaker.record_failure(now) && !breaker.record_failure(now));
    /// assert!(breaker.record_failure(now));
    /// assert!(!breaker.allows_request(now) && breaker.allows_request(now * 2));
    /// ```
    pub fn record_failure(&mut self, now: Duration) -> bool {
        let ejections = match self {
            CircuitBreaker::Closed { failures } if *failures + 1 < FAILURE_THRESHOLD => {
                *failures += 1;
                return false;
            }
            CircuitBreaker::Closed { .. } => 0,
            CircuitBreaker::Open { .. } => return false,
            CircuitBreaker::HalfOpen { ejections, .. } => *ejections,
        };
        let ejection = INITIAL_EJECTION.saturating_mul(1 << ejections.min(16)).min(MAX_EJECTION);
        *self = CircuitBreaker::Open { until: now + ejection, ejections: ejections + 1 };
        true
    }
}
