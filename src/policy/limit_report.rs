use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The rank of calls that were sent before, the most urgent: what was done for them would be lost.
pub const SENT_RANK: u8 = 0;

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
    /// All servers that are warming up; `None` if the router knows them, or the leader doesn't yet.
    pub warming: Option<Vec<WarmingServers>>,
    /// The router's place in the order of turns, if the leader has heard of all routers.
    pub place: Option<TurnPlace>,
}

/// The place of a router among all that take turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnPlace {
    /// The routers before it.
    pub index: u32,
    /// All routers.
    pub count: u32,
}

/// Servers that have just started and take few requests until they are warm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmingServers {
    /// Requests a second that each of them takes from all routers together.
    pub rate: f64,
    /// The servers, sorted.
    pub servers: Vec<VmName>,
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
