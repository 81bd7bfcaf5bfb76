use std::time::Duration;

/// Failures in a row that eject a server.
const FAILURES: u32 = 3;
/// How long the first ejection lasts; each further one in a row lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// How long a probe may stay without an outcome before another is allowed.
const PROBE_LIMIT: Duration = Duration::from_secs(10);

/// Whether a server answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Up {
        /// Failures in a row.
        failures: u32,
    },
    /// It gets nothing until a time.
    Ejected {
        /// When one probe is allowed.
        until: Duration,
        /// Ejections in a row.
        times: u32,
    },
    /// One request tries it out.
    Probing {
        /// When the probe began.
        since: Duration,
        /// Ejections in a row.
        times: u32,
    },
}

impl Default for Health {
    fn default() -> Self {
        Health::Up { failures: 0 }
    }
}

impl Health {
    /// Whether a request may be sent; for an ejected server whose time is over, one probe.
    pub fn may_use(&self, now: Duration) -> bool {
        match self {
            Health::Up { .. } => true,
            Health::Ejected { until, .. } => now >= *until,
            Health::Probing { since, .. } => now >= *since + PROBE_LIMIT,
        }
    }

    /// A request is sent.
    pub fn begun(&mut self, now: Duration) {
        match self {
            Health::Ejected { times, .. } | Health::Probing { times, .. } => {
                *self = Health::Probing { since: now, times: *times };
            }
            Health::Up { .. } => {}
        }
    }

    /// A request was answered. Returns whether the server was restored by it.
    pub fn succeeded(&mut self) -> bool {
        let restored = !matches!(self, Health::Up { .. });
        *self = Health::Up { failures: 0 };
        restored
    }

    /// A request failed. Returns whether the server was ejected by it.
    ///
    /// ```
    /// use samphireshift::policy::Health;
    /// use std::time::Duration;
    /// let (mut health, now) = (Health::default(), Duration::from_secs(1));
    /// assert!(!health.failed(now) && !health.failed(now) && health.failed(now));
    /// assert!(!health.may_use(now) && health.may_use(now * 2));
    /// ```
    pub fn failed(&mut self, now: Duration) -> bool {
        let times = match self {
            Health::Up { failures } if *failures + 1 < FAILURES => {
                *failures += 1;
                return false;
            }
            Health::Up { .. } => 0,
            Health::Ejected { .. } => return false,
            Health::Probing { times, .. } => *times,
        };
        let pause = FIRST_EJECTION.saturating_mul(1 << times.min(16)).min(LONGEST_EJECTION);
        *self = Health::Ejected { until: now + pause, times: times + 1 };
        true
    }
}
