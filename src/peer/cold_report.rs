use crate::control::RouterId;
use crate::name::{DataCentre, PoolName};
use crate::policy::{ColdServer, TurnPlace};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What a router has found of servers that are cold, or may be.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ColdReport {
    /// The router.
    pub router: RouterId,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The servers that it has found since its last report.
    pub servers: Vec<ColdServer>,
    /// The number of the route table that it has the rates of.
    pub rates_of: Option<u64>,
}

/// The rates at which the servers of pools take requests while they are cold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmUpRateTable {
    /// The number of the route table that they are from.
    pub number: Option<u64>,
    /// Requests a second that each server of a pool takes from all routers together.
    pub rates: Vec<(PoolName, f64)>,
}

/// The response to a [`ColdReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ColdResponse {
    /// The report was counted.
    Known {
        /// The rates, if the router does not have them.
        rates: Option<WarmUpRateTable>,
        /// The router's place in the order of turns, if the leader has heard of all routers.
        place: Option<TurnPlace>,
        /// The leader's time, common to all routers that it answers.
        time: Duration,
    },
    /// This daemon does not lead the control group.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
