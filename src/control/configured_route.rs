use super::CallKind;
use crate::name::{ModelName, PoolName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How calls to one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// The operator's name for the route.
    pub name: String,
    /// The host of the request, without a port, in lower case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether and how failed calls may be retried.
    pub kind: CallKind,
    /// The time limit of a call, retries included.
    pub timeout: Duration,
    /// The operator's target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// The operator's target for the longest gap between two events of a stream.
    pub gap_target: Option<Duration>,
    /// The priority of calls that have none from their organisation; 0 is the highest.
    pub priority: u8,
    /// The maximum number of backend servers that one call is sent to.
    pub max_attempts: u32,
    /// Whether calls without an API key are accepted.
    pub public: bool,
    /// Models to choose from, smallest first; empty if callers name the model themselves.
    pub models: Vec<ModelName>,
    /// The pools that the calls are distributed over.
    pub pools: Vec<PoolShare>,
}

/// The share of a route's calls that one pool receives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool that receives the calls.
    pub pool: PoolName,
    /// Weight relative to the route's other pools.
    pub weight: u32,
}
