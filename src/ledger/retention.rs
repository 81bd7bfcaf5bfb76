use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long records are kept, in ledger time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// How long a session's pin is kept after its last recorded use.
    pub pins: Duration,
    /// How long a claim is kept after its outcome was recorded; running claims do not expire.
    pub claims: Duration,
    /// How long a bill is kept after it was recorded; totals do not expire.
    pub bills: Duration,
}

impl Retention {
    /// The shortest of the three periods.
    pub fn shortest(&self) -> Duration {
        self.pins.min(self.claims).min(self.bills)
    }
}
