use crate::name::{PoolName, ServiceName};
use serde::{Deserialize, Serialize};

/// Whether a service's calls may be sent twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A call runs at most once: claimed before it is sent, never sent again.
    Never,
    /// The service recognises the idempotency key, so a call may be asked again with it.
    ByKey,
    /// A call may be sent as often as needed.
    Freely,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, as callers give it in the path.
    pub name: ServiceName,
    /// The pool of backend servers that serve it.
    pub pool: PoolName,
    /// Whether its calls may be sent twice.
    pub repeat: Repeat,
    /// The price of a call, in millionths of the billing currency.
    #[serde(default)]
    pub price: u64,
}
