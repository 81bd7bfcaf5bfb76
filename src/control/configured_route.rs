use super::CallKind;
use crate::name::{ModelName, PoolName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How calls to one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// Its name.
    pub name: String,
    /// The host that callers name, without a port, in lower case.
    pub host: String,
    /// The beginning of the path, from a slash to a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time to the answer, or to its first event, that the operator aims at.
    pub aim: Duration,
    /// The longest pause between two events that the operator aims at.
    pub pause: Option<Duration>,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Backend servers that one call may be sent to, at most.
    pub attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
    /// Models to choose from, smallest first; empty where callers name theirs.
    pub models: Vec<ModelName>,
    /// The pools that share its calls.
    pub pools: Vec<PoolShare>,
}

/// A pool's part of a route's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// Its part, relative to those of the other pools.
    pub weight: u32,
}
