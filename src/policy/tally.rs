use crate::name::{PoolName, VersionName};
use serde::{Deserialize, Serialize};

/// What one router saw of one version of a pool on one route, since its process started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The pool.
    pub pool: PoolName,
    /// The version; `None` where the platform does not tell it.
    pub version: Option<VersionName>,
    /// The route.
    pub route: String,
    /// Calls that ended well.
    pub good: u64,
    /// Calls that the server failed or broke off.
    pub bad: u64,
    /// The sum of the logarithms of how much longer answers took than expected.
    pub slowness: f64,
    /// Calls that are running now.
    pub running: u64,
}
