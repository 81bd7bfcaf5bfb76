use std::time::Duration;

/// The lowest rate, in requests a second. A server that names less gets one request in this time as a
/// trial, as only an answer tells that it takes more again.
const MIN_RATE: f64 = 1.0 / 30.0;
/// From which rate on a rising one doubles each second, in requests a second.
const FIRST_RISE: f64 = 1.0;
/// Time's worth of tokens that are kept while nobody takes them, and tokens kept beside these.
const KEPT_TIME: Duration = Duration::from_millis(250);
/// See [`KEPT_TIME`].
const KEPT_TOKENS: f64 = 1.0;

/// A token bucket that starts empty. A lower limit holds at once; towards a higher one the rate only
/// doubles each second, so that no burst meets a server that recovers.
///
/// ```
/// use samphireshift::policy::PacedBucket;
/// use std::time::Duration;
/// let mut bucket = PacedBucket::new(Duration::ZERO, 2.0);
/// assert!(!bucket.take());
/// bucket.advance(Duration::from_millis(500), 1.0);
/// assert!(bucket.take() && !bucket.take());
/// ```
#[derive(Debug, Clone)]
pub struct PacedBucket {
    tokens: f64,
    rate: f64,
    limit: f64,
    at: Duration,
}

impl PacedBucket {
    /// An empty bucket that is filled at `limit` requests a second.
    pub fn new(now: Duration, limit: f64) -> Self {
        let limit = limit.max(MIN_RATE);
        Self { tokens: 0.0, rate: limit, limit, at: now }
    }

    /// Sets the limit, in requests a second.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit.max(MIN_RATE);
        if self.limit < self.rate {
            self.rate = self.limit;
            self.tokens = self.tokens.min(self.most_kept());
        }
    }

    /// Fills in the tokens of the time since the last call; `fraction` of the rate is for those who
    /// take from this bucket.
    pub fn advance(&mut self, now: Duration, fraction: f64) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + seconds * self.rate * fraction).min(self.most_kept());
        if self.rate < self.limit {
            self.rate = (self.rate.max(FIRST_RISE) * seconds.exp2()).min(self.limit);
        }
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self) -> bool {
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }

    /// Whole and partial tokens now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// The present rate, in requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn most_kept(&self) -> f64 {
        KEPT_TOKENS + self.rate * KEPT_TIME.as_secs_f64()
    }
}
