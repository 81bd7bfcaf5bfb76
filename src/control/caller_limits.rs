use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Size and time limits for requests to configured routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a client may take to send a request head.
    pub head_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        let (head_timeout, idle_timeout) = (Duration::from_secs(3), Duration::from_secs(15));
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, head_timeout, idle_timeout }
    }
}
