use std::time::Duration;

/// The time over which the rate is averaged.
const WINDOW: Duration = Duration::from_secs(5);

/// How many requests a pool finishes a second, as an exponentially weighted average.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    per_second: f64,
    last: Option<Duration>,
}

impl ServiceRate {
    /// A request was finished.
    pub fn finished(&mut self, now: Duration) {
        let Some(last) = self.last.replace(now) else { return };
        let gap = now.saturating_sub(last).as_secs_f64().max(1e-6);
        let keep = (-gap / WINDOW.as_secs_f64()).exp();
        self.per_second = self.per_second * keep + (1.0 - keep) / gap;
    }

    /// How long `before` requests take to be finished; `None` before anything is known.
    ///
    /// ```
    /// use samphireshift::policy::ServiceRate;
    /// use std::time::Duration;
    /// let mut rate = ServiceRate::default();
    /// for i in 0..1_000 {
    ///     rate.finished(Duration::from_millis(i * 10));
    /// }
    /// let wait = rate.wait(100).unwrap();
    /// assert!(wait > Duration::from_millis(800) && wait < Duration::from_millis(1_300));
    /// ```
    pub fn wait(&self, before: usize) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(before as f64 / self.per_second).ok()
    }
}
