use std::time::Duration;

/// Time constant of the average.
const WINDOW: Duration = Duration::from_secs(5);

/// Rate at which a pool finishes requests, as an exponentially weighted average.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    per_second: f64,
    last: Option<Duration>,
}

impl ServiceRate {
    /// Records that a request was finished.
    pub fn record_finished(&mut self, now: Duration) {
        let Some(last) = self.last.replace(now) else { return };
        let gap = now.saturating_sub(last).as_secs_f64().max(1e-6);
        let keep = (-gap / WINDOW.as_secs_f64()).exp();
        self.per_second = self.per_second * keep + (1.0 - keep) / gap;
    }

    /// The expected time until `requests` requests are finished; `None` while the rate is unknown.
    ///
    /// ```
    /// use samphireshift::policy::ServiceRate;
    /// use std::time::Duration;
    /// let mut rate = ServiceRate::default();
    /// for i in 0..1_000 {
    ///     rate.record_finished(Duration::from_millis(i * 10));
    /// }
    /// let wait = rate.expected_wait(100).unwrap();
    /// assert!(wait > Duration::from_millis(800) && wait < Duration::from_millis(1_300));
    /// ```
    pub fn expected_wait(&self, requests: usize) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(requests as f64 / self.per_second).ok()
    }
}
