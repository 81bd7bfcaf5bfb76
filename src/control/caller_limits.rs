use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head: usize,
    /// The largest request body, in bytes.
    pub body: usize,
    /// The longest that a request head may take.
    pub receive: Duration,
    /// How long an idle connection is kept.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        let (receive, idle) = (Duration::from_secs(3), Duration::from_secs(15));
        Self { head: 16 << 10, body: 4 << 20, receive, idle }
    }
}
