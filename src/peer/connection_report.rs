use crate::control::RouterId;
use crate::name::PoolName;
use crate::policy::ConnectionUse;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a router uses and needs of the connections that servers accept.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConnectionReport {
    /// The router.
    pub router: RouterId,
    /// The largest number of routers that it has been told of lately.
    pub fleet: u32,
    /// All pools whose servers limit their connections.
    pub pools: Vec<(PoolName, ConnectionUse)>,
}

/// The response to a [`ConnectionReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ConnectionResponse {
    /// The report was counted.
    Known {
        /// The connections that the router may have to each server of these pools.
        parts: Vec<(PoolName, u32)>,
    },
    /// This daemon does not lead the control group.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
