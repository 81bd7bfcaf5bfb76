use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a server said of its limit, as a router heard it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeardLimit {
    /// The server.
    pub server: VmName,
    /// Requests a second from all routers together; `None` if it names no limit any more.
    pub limit: Option<f64>,
    /// How long ago that was heard; where the limit has ended, how long ago the call was sent.
    pub age: Duration,
}

/// A router's request for tokens, each of which permits one request to a limited server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitAsk {
    /// A token of any of these servers serves.
    pub servers: Vec<VmName>,
    /// The number of tokens.
    pub count: u32,
    /// The rank of the most urgent call that waits, 0 first.
    pub rank: u8,
    /// How long a token could still be used.
    pub lasts: Duration,
}

/// Tokens of one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCount {
    /// The server.
    pub server: VmName,
    /// The number of tokens.
    pub count: u32,
}

/// What a router reports on limits, and asks for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// What servers said since the last report.
    pub heard: Vec<HeardLimit>,
    /// All tokens that the router could use now; replaces what it asked for before.
    pub asks: Vec<LimitAsk>,
    /// The number of routers that the router has been told of.
    pub fleet: u32,
}

/// A server's limit as all routers are to keep it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// The server.
    pub server: VmName,
    /// Requests a second from all routers together; `None` if there is no limit any more.
    pub limit: Option<f64>,
}

/// Which state of the limits a router knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitPosition {
    /// The term of the leader; 0 without any.
    pub term: u64,
    /// The version of the leader's limits.
    pub version: u64,
}

/// The leader's answer to a [`LimitDemand`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The state of the limits with this answer.
    pub position: LimitPosition,
    /// Limits that the router may not know.
    pub limits: Vec<KnownLimit>,
    /// Tokens for the router.
    pub tokens: Vec<TokenCount>,
    /// How fast the tokens are given out that the router asks for.
    pub paces: Vec<ServerPace>,
}

/// How fast a server's tokens are given out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerPace {
    /// The server.
    pub server: VmName,
    /// Tokens a second, for all routers together.
    pub rate: f64,
    /// Routers that ask for them.
    pub routers: u32,
}
