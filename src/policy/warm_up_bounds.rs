use std::time::Duration;

/// The most and the least part of the rate that the turns of all routers make up.
const FRACTION_RANGE: (f64, f64) = (0.1, 1.0);
/// The most that turns make up that fall at random, so that some seconds have many more than others.
const MAX_RANDOM_FRACTION: f64 = 0.5;
/// Requests a second that are left out: turns of routers that hear late fall beside those of others.
const STRAY_REQUESTS: f64 = 2.0;
/// By how many of its standard deviations a second may exceed the mean where turns fall at random.
const DEVIATIONS: f64 = 3.5;
/// An unused turn is kept for at most `KEPT_TIME` plus the time of `KEPT_REQUESTS` requests, and never
/// longer than `MAX_KEPT`.
const KEPT_TIME: Duration = Duration::from_millis(300);
/// See [`KEPT_TIME`].
const KEPT_REQUESTS: f64 = 4.0;
/// See [`KEPT_TIME`].
const MAX_KEPT: Duration = Duration::from_secs(1);

/// What a server that is cold may get in any second: its rate times `overshoot`, and `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for WarmUpBounds {
    fn default() -> Self {
        Self { overshoot: 1.5, slack: 5.0 }
    }
}

impl WarmUpBounds {
    /// The most requests in any second.
    ///
    /// ```
    /// use samphireshift::policy::WarmUpBounds;
    /// assert_eq!(WarmUpBounds { overshoot: 1.5, slack: 5.0 }.allowed(8.0), 17.0);
    /// ```
    pub fn allowed(self, rate: f64) -> f64 {
        rate * self.overshoot + self.slack
    }

    /// The part of the rate that turns at equal distances make up together.
    pub fn placed_fraction(self, rate: f64) -> f64 {
        let (least, most) = FRACTION_RANGE;
        ((self.allowed(rate) - STRAY_REQUESTS) / rate).clamp(least, most)
    }

    /// The part of the rate that turns at random moments make up together.
    pub fn random_fraction(self, rate: f64) -> f64 {
        // The mean from which the allowed number is `DEVIATIONS` standard deviations away.
        let root = (DEVIATIONS * DEVIATIONS + 4.0 * self.allowed(rate)).sqrt();
        let mean = ((root - DEVIATIONS) / 2.0).powi(2);
        (mean / rate).clamp(FRACTION_RANGE.0, MAX_RANDOM_FRACTION)
    }

    /// How long a turn that nobody takes is kept: all that were kept may meet a server in one second.
    pub fn kept(self, rate: f64) -> Duration {
        let room = self.allowed(rate) - rate * self.placed_fraction(rate) - STRAY_REQUESTS;
        let seconds = |number: f64| Duration::try_from_secs_f64(number).unwrap_or(MAX_KEPT);
        let most = KEPT_TIME.saturating_add(seconds(KEPT_REQUESTS / rate));
        seconds(room.max(0.0) / rate).min(most).min(MAX_KEPT)
    }
}
