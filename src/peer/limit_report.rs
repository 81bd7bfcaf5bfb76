use crate::control::RouterId;
use crate::policy::{LimitDemand, LimitNews, LimitPosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a router has heard of the limits of servers, and the tokens that it asks the leader for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitReport {
    /// The router.
    pub router: RouterId,
    /// The state of the limits that the router knows.
    pub known: LimitPosition,
    /// What the router has heard and asks for.
    pub demand: LimitDemand,
    /// Whether the leader may delay the response until there is something new.
    pub wait: bool,
}

/// The response to a [`LimitReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LimitResponse {
    /// The report was counted.
    Known(LimitNews),
    /// This daemon does not lead the control group.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
