//! Pattern: some servers take a call and stay silent, while others answer. How long to wait for the
//! first byte before a call that may be repeated is sent to another server.

use std::time::Duration;

/// Lower end of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(1);
/// Ratio of the ends of a bucket.
const BUCKET_RATIO: f64 = 1.2;
/// Number of buckets; the last one begins after 85 s.
const BUCKET_COUNT: usize = 64;
/// Observations after which the weight of the earlier ones is halved.
const HALVING_COUNT: f64 = 400.0;
/// Observations without which there is no quantile.
const MIN_OBSERVATIONS: f64 = 30.0;
/// The quantile of the response times that the timeout is derived from. Silent servers beyond this
/// share would hide themselves, as their calls are among the observations.
const QUANTILE: f64 = 0.85;
/// How much longer than that quantile to wait, as a factor.
const QUANTILE_FACTOR: f64 = 2.5;
/// Fraction of the target latency below which a server does not count as silent.
const MIN_TARGET_FRACTION: f64 = 0.3;
/// Calls repeated because of silence, as a fraction of all calls.
const REPEAT_RATIO: f64 = 0.05;
/// Repeats that may be saved up.
const MAX_SAVED_REPEATS: f64 = 5.0;

/// Times to the first byte of recent responses, in a histogram with logarithmic buckets.
#[derive(Debug, Clone)]
pub struct ResponseTimes {
    counts: [f64; BUCKET_COUNT],
    total: f64,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self { counts: [0.0; BUCKET_COUNT], total: 0.0 }
    }
}

impl ResponseTimes {
    /// Adds an observation: the time of a response, or how long one was waited for in vain. The
    /// latter keeps the timeouts of an overloaded pool from staying where they were.
    pub fn record(&mut self, time: Duration) {
        if self.total >= HALVING_COUNT {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        let ratio = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
        let bucket = ratio.max(1.0).log(BUCKET_RATIO) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1.0;
        self.total += 1.0;
    }

    /// The upper end of the bucket with the quantile; `None` with too few observations.
    ///
    /// ```
    /// use samphireshift::policy::ResponseTimes;
    /// use std::time::Duration;
    /// let mut times = ResponseTimes::default();
    /// assert_eq!(times.quantile(0.5), None);
    /// (0..100).for_each(|_| times.record(Duration::from_millis(100)));
    /// let median = times.quantile(0.5).unwrap().as_millis();
    /// assert!((100..125).contains(&median));
    /// ```
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let mut below = 0.0;
        let bucket = self.counts.iter().position(|count| {
            below += count;
            below >= self.total * quantile
        });
        let end = BUCKET_RATIO.powi(bucket.unwrap_or(BUCKET_COUNT - 1) as i32 + 1);
        Some(FIRST_BUCKET.mul_f64(end))
    }

    /// How long a server may be silent before another one is tried, for calls with this target
    /// latency. Before enough is known, the target itself.
    pub fn silence_timeout(&self, target: Duration) -> Duration {
        let known = self.quantile(QUANTILE).map(|time| time.mul_f64(QUANTILE_FACTOR));
        known.unwrap_or(target).max(target.mul_f64(MIN_TARGET_FRACTION))
    }
}

/// Limits how many calls are repeated because a server was silent, so that a pool that is slow as a
/// whole gets few more calls for it.
#[derive(Debug, Default)]
pub struct SilenceBudget {
    saved: f64,
}

impl SilenceBudget {
    /// Counts a call.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + REPEAT_RATIO).min(MAX_SAVED_REPEATS);
    }

    /// Takes a repeat; false if there is none left.
    pub fn take(&mut self) -> bool {
        let left = self.saved >= 1.0;
        if left {
            self.saved -= 1.0;
        }
        left
    }
}
