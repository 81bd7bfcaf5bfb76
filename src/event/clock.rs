use super::Stamp;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// How far a stamp may run ahead of this VM's wall clock and still be followed, in milliseconds.
pub const DRIFT_LIMIT: u64 = 60_000;

/// A stamp came from a wall clock too far ahead of this VM's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a stamp is {ahead} ms ahead of this VM's clock")]
pub struct ClockDrift {
    /// How far ahead, in milliseconds.
    pub ahead: u64,
}

/// A hybrid logical clock, shared by all threads of a daemon.
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<Stamp>,
}

impl Clock {
    /// A reading later than every earlier reading and every stamp observed.
    ///
    /// ```
    /// let clock = samphireshift::event::Clock::default();
    /// assert!(clock.now() < clock.now());
    /// ```
    pub fn now(&self) -> Stamp {
        self.now_at(wall_millis())
    }

    /// A reading while the wall clock shows `wall`, in milliseconds since 1970.
    pub fn now_at(&self, wall: u64) -> Stamp {
        self.advance(wall, Stamp::default())
    }

    /// Takes in a stamp from another VM, so that later readings come after it.
    ///
    /// # Errors
    /// [`ClockDrift`] where it is more than [`DRIFT_LIMIT`] ahead; it is not followed then.
    pub fn observe(&self, seen: Stamp) -> Result<(), ClockDrift> {
        self.observe_at(wall_millis(), seen)
    }

    /// Takes in a stamp while the wall clock shows `wall`, in milliseconds since 1970.
    ///
    /// # Errors
    /// As [`Clock::observe`].
    pub fn observe_at(&self, wall: u64, seen: Stamp) -> Result<(), ClockDrift> {
        let ahead = seen.millis.saturating_sub(wall);
        if ahead > DRIFT_LIMIT {
            return Err(ClockDrift { ahead });
        }
        self.advance(wall, seen);
        Ok(())
    }

    /// Goes on behind a reading that this VM made before a restart, however far ahead it is.
    pub fn restore(&self, own: Stamp) {
        let mut last = self.last.lock().expect("clock lock");
        *last = (*last).max(own);
    }

    fn advance(&self, wall: u64, seen: Stamp) -> Stamp {
        let mut last = self.last.lock().expect("clock lock");
        let base = (*last).max(seen);
        *last = match wall > base.millis {
            true => Stamp { millis: wall, counter: 0 },
            false => base.next(),
        };
        *last
    }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_millis() as u64).unwrap_or(0)
}
