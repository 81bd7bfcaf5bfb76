use std::time::Duration;

/// Time constant of the average.
const WINDOW: Duration = Duration::from_secs(5);
/// Gaps between finished requests without which the rate is unknown.
const MIN_GAPS: u32 = 4;

/// Rate at which a pool finishes requests while others wait, as an exponentially weighted average.
/// Idle times do not count: they show the demand, not what the pool can do.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    /// The weighted sum of the rates, which starts at 0.
    sum: f64,
    /// The sum of the weights, less than 1 until enough time was observed.
    weight: f64,
    gaps: u32,
    /// When the last request was finished, if others were waiting then.
    last: Option<Duration>,
}

impl ServiceRate {
    /// Records that a request was finished, and whether others were waiting.
    pub fn record_finished(&mut self, now: Duration, waiting: bool) {
        let last = std::mem::replace(&mut self.last, waiting.then_some(now));
        let Some(last) = last else { return };
        let gap = now.saturating_sub(last).as_secs_f64().max(1e-6);
        let keep = (-gap / WINDOW.as_secs_f64()).exp();
        self.sum = self.sum * keep + (1.0 - keep) / gap;
        self.weight = self.weight * keep + (1.0 - keep);
        self.gaps = self.gaps.saturating_add(1);
    }

    /// The expected time until `requests` requests are finished; `None` while the rate is unknown.
    ///
    /// ```
    /// use samphireshift::policy::ServiceRate;
    /// use std::time::Duration;
    /// let mut rate = ServiceRate::default();
    /// for i in 0..1_000 {
    ///     rate.record_finished(Duration::from_millis(i * 10), true);
    /// }
    /// let wait = rate.expected_wait(100).unwrap();
    /// assert!(wait > Duration::from_millis(800) && wait < Duration::from_millis(1_300));
    /// ```
    pub fn expected_wait(&self, requests: usize) -> Option<Duration> {
        if self.gaps < MIN_GAPS {
            return None;
        }
        Duration::try_from_secs_f64(requests as f64 * self.weight / self.sum).ok()
    }
}
