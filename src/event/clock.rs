use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// A reading of the hybrid logical clock: wall time in milliseconds and a counter within it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, or the largest seen from another VM.
    pub millis: u64,
    /// Orders readings within one millisecond.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.millis, self.counter)
    }
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
        self.advance(Stamp::default())
    }

    /// Takes in a stamp from another VM, so that later readings come after it.
    pub fn observe(&self, seen: Stamp) {
        self.advance(seen);
    }

    fn advance(&self, seen: Stamp) -> Stamp {
        let wall = Stamp { millis: wall_millis(), counter: 0 };
        let mut last = self.last.lock().expect("clock lock");
        let base = (*last).max(seen);
        *last = match wall.millis > base.millis {
            true => wall,
            false => Stamp { millis: base.millis, counter: base.counter + 1 },
        };
        *last
    }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_millis() as u64).unwrap_or(0)
}
