use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its answer would not be whole by its deadline.
    Deadline,
    /// Its answer would come late, and others can be in time.
    Late,
    /// Its organisation uses more than its share.
    Share,
    /// More urgent calls, or others like it, take all the room.
    Rank,
}

impl RefusalCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Late => "late",
            Self::Share => "share",
            Self::Rank => "rank",
        }
    }
}

/// A refusal with its numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overloaded {
    /// Why the call is refused.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub wait: Duration,
    /// How long the call would wait for a place at a server.
    pub expected: Duration,
    /// The part of the pool's calls that is to be refused now, from 0 to 1.
    pub refused: f64,
}

impl Display for Overloaded {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cause {}, {} ms until a place is free, {:.2} of the calls refused, back in {} ms",
            self.cause.name(),
            self.expected.as_millis(),
            self.refused,
            self.wait.as_millis()
        )
    }
}
