use super::Timestamp;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// How far a received timestamp may be ahead of this VM's wall clock, in milliseconds; one further
/// ahead is ignored.
pub const MAX_DRIFT_MS: u64 = 60_000;

/// A received timestamp is too far ahead of this VM's wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("received timestamp is {ahead_ms} ms ahead of this VM's clock")]
pub struct ClockDriftError {
    /// How far ahead it is, in milliseconds.
    pub ahead_ms: u64,
}

/// A hybrid logical clock, shared by all threads of a daemon.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<Timestamp>,
}

impl HybridClock {
    /// Returns a timestamp later than all earlier ones of this clock and all observed ones.
    ///
    /// ```
    /// let clock = samphireshift::event::HybridClock::default();
    /// assert!(clock.now() < clock.now());
    /// ```
    pub fn now(&self) -> Timestamp {
        self.now_at(wall_millis())
    }

    /// Like [`HybridClock::now`], with the wall clock at `wall_ms` milliseconds since the Unix
    /// epoch.
    pub fn now_at(&self, wall_ms: u64) -> Timestamp {
        self.advance(wall_ms, Timestamp::default())
    }

    /// Advances the clock past a timestamp received from another VM.
    ///
    /// # Errors
    /// [`ClockDriftError`] if it is more than [`MAX_DRIFT_MS`] ahead; the clock is then unchanged.
    pub fn observe(&self, seen: Timestamp) -> Result<(), ClockDriftError> {
        self.observe_at(wall_millis(), seen)
    }

    /// Like [`HybridClock::observe`], with the wall clock at `wall_ms` milliseconds since the Unix
    /// epoch.
    ///
    /// # Errors
    /// The same as those of [`HybridClock::observe`].
    pub fn observe_at(&self, wall_ms: u64, seen: Timestamp) -> Result<(), ClockDriftError> {
        let ahead_ms = seen.millis.saturating_sub(wall_ms);
        if ahead_ms > MAX_DRIFT_MS {
            return Err(ClockDriftError { ahead_ms });
        }
        self.advance(wall_ms, seen);
        Ok(())
    }

    /// Advances the clock past a timestamp that this VM made before a restart, however far ahead of
    /// the wall clock it is.
    pub fn restore(&self, own: Timestamp) {
        let mut last = self.last.lock().expect("clock lock");
        *last = (*last).max(own);
    }

    fn advance(&self, wall_ms: u64, seen: Timestamp) -> Timestamp {
        let mut last = self.last.lock().expect("clock lock");
        let base = (*last).max(seen);
        *last = match wall_ms > base.millis {
            true => Timestamp { millis: wall_ms, counter: 0 },
            false => base.next(),
        };
        *last
    }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_millis() as u64).unwrap_or(0)
}
