use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a replicated group of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// Holds the configuration and the operators' tickets; its leader grants the routers' leases.
    Control,
    /// Holds session pins, claims of calls that run at most once, and bills, for one shard of the
    /// keys. The number counts from 0.
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
