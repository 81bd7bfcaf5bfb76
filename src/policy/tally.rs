use super::GeometricMean;
use crate::name::{ModelName, PoolName, VersionName};
use serde::{Deserialize, Serialize};

/// Calls that one router counted for one version of a pool on one route, since its process started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The pool that the calls went to.
    pub pool: PoolName,
    /// The version; `None` if the platform does not report it.
    pub version: Option<VersionName>,
    /// Name of the route.
    pub route: String,
    /// The requested model; `None` if the router did not choose it.
    pub model: Option<ModelName>,
    /// Calls that ended well.
    pub succeeded: u64,
    /// Calls that the server failed or aborted.
    pub failed: u64,
    /// Ratio of the measured to the expected time to the first event of an answer; a call abandoned
    /// without an answer counts with the time until then if that was longer than expected.
    pub first_ratio: GeometricMean,
    /// Time between two events of an answer, in ms.
    pub event_gap: GeometricMean,
    /// Calls in progress.
    pub running: u64,
}
