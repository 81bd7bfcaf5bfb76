use super::LogMean;
use crate::name::{ModelName, PoolName, VersionName};
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
    /// The model that was asked; `None` where the router did not choose it.
    pub model: Option<ModelName>,
    /// Calls that ended well.
    pub good: u64,
    /// Calls that the server failed or broke off.
    pub bad: u64,
    /// How much longer than expected answers took to begin, at least.
    pub first: LogMean,
    /// The time between two events of an answer, in ms.
    pub pace: LogMean,
    /// Calls that are running now.
    pub running: u64,
}
