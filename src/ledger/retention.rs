use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long records are kept, by ledger time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// A session's pin, from its last recorded use.
    pub pins: Duration,
    /// A claim, from its outcome; running claims are kept however long they run.
    pub claims: Duration,
    /// A bill, from when it was made; sums are kept for ever.
    pub bills: Duration,
}

impl Retention {
    /// The shortest of the three.
    pub fn shortest(&self) -> Duration {
        self.pins.min(self.claims).min(self.bills)
    }
}
