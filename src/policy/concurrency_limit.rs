use std::time::Duration;

/// Limit before the first load report of a server.
const INITIAL_CALLS: f64 = 8.0;
/// Minimum limit: a server is never excluded by its limit alone.
const MIN_CALLS: f64 = 1.0;
/// Factor that the limit is multiplied by when a server is overloaded.
const DECREASE_FACTOR: f64 = 0.7;
/// Waiting requests, as a fraction of a server's slots, above which the limit is decreased.
const WAITING_SHARE: f64 = 0.25;
/// Utilisation of the limit, as a fraction, from which it may be increased.
const UTILISATION_SHARE: f64 = 0.7;
/// Increase per load report, as a fraction of the limit, but at least one call.
const INCREASE_SHARE: f64 = 0.25;
/// Minimum time between two decreases, so that the effect of one shows before the next.
const DECREASE_COOLDOWN: Duration = Duration::from_millis(700);

/// An adaptive limit on this router's concurrent calls to one server: additive increase,
/// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
/// Congestion Avoidance", 1989), driven by delayed load reports and by overload refusals.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    has_report: bool,
    decreased_at: Option<Duration>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: INITIAL_CALLS, has_report: false, decreased_at: None }
    }
}

impl ConcurrencyLimit {
    /// Maximum number of concurrent calls.
    ///
    /// ```
    /// use samphireshift::policy::ConcurrencyLimit;
    /// use std::time::Duration;
    /// let mut limit = ConcurrencyLimit::default();
    /// let before = limit.max_calls();
    /// limit.record_overload(Duration::from_secs(1));
    /// assert!(limit.max_calls() < before);
    /// ```
    pub fn max_calls(&self) -> u64 {
        self.limit as u64
    }

    /// Adjusts the limit to a load report: requests waiting at the server, its slots, and this
    /// router's own calls in progress. The first report raises the limit to at least the slots;
    /// increases stop at twice the slots.
    pub fn record_report(&mut self, now: Duration, waiting: u64, slots: u64, own: u64) {
        let slots = slots.max(1) as f64;
        if !self.has_report {
            self.has_report = true;
            self.limit = self.limit.max(slots);
        }
        if waiting as f64 > slots * WAITING_SHARE {
            self.decrease(now);
            return;
        }
        if waiting == 0 && own as f64 >= self.limit * UTILISATION_SHARE {
            let increase = (self.limit * INCREASE_SHARE).max(1.0);
            self.limit = (self.limit + increase).min(slots * 2.0).max(MIN_CALLS);
        }
    }

    /// Decreases the limit after the server refused a call because of overload.
    pub fn record_overload(&mut self, now: Duration) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Duration) {
        if self.decreased_at.is_some_and(|at| now < at + DECREASE_COOLDOWN) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_CALLS);
    }
}
