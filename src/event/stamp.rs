use serde::{Deserialize, Serialize};
use std::fmt;

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

impl Stamp {
    /// The smallest reading behind this one.
    ///
    /// ```
    /// use samphireshift::event::Stamp;
    /// let last = Stamp { millis: 1, counter: u32::MAX };
    /// assert_eq!(last.next(), Stamp { millis: 2, counter: 0 });
    /// ```
    pub fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self { millis: self.millis.saturating_add(1), counter: 0 },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.millis, self.counter)
    }
}
