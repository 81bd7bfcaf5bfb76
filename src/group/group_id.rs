use serde::{Deserialize, Serialize};
use std::fmt;

/// Which group of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// Configuration, tickets, leases.
    Control,
    /// Pins, claims and bills of a share of the sessions.
    Ledger(u16),
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Control => f.write_str("control"),
            GroupId::Ledger(number) => write!(f, "ledger-{number}"),
        }
    }
}
