use crate::name::{PoolName, ServiceName};
use serde::{Deserialize, Serialize};

/// How a service's calls may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// A call runs at most once: the router claims it before sending it and never sends it again.
    Never,
    /// The service deduplicates by idempotency key, so a call with a key may be sent again.
    ByKey,
    /// A call may be sent any number of times.
    #[serde(rename = "freely")]
    Always,
}

/// A service that is not a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, as it appears in the request path.
    pub name: ServiceName,
    /// The pool of backend servers that serve it.
    pub pool: PoolName,
    /// How calls may be retried.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// The price of one call, in millionths of the billing currency.
    #[serde(default)]
    pub price: u64,
}
