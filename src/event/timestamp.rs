use serde::{Deserialize, Serialize};
use std::fmt;

/// Timestamp of a hybrid logical clock: wall time in milliseconds and a counter. Ordered by time,
/// then by counter.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch: this VM's wall clock, or the largest time received from
    /// another VM if that is later.
    pub millis: u64,
    /// Orders timestamps within one millisecond.
    pub counter: u32,
}

impl Timestamp {
    /// Returns the smallest timestamp after this one.
    ///
    /// ```
    /// use samphireshift::event::Timestamp;
    /// let last = Timestamp { millis: 1, counter: u32::MAX };
    /// assert_eq!(last.next(), Timestamp { millis: 2, counter: 0 });
    /// ```
    pub fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self { millis: self.millis.saturating_add(1), counter: 0 },
        }
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.millis, self.counter)
    }
}
