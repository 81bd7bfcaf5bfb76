use crate::control::{BlockedParts, RouterId};
use crate::policy::RunEnd;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What a router knows of parts of prompts that end servers, and asks the leader about them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartReport {
    /// The router.
    pub router: RouterId,
    /// The version of the blocked parts that the router uses; `None` without any.
    pub version: Option<u64>,
    /// The watched parts that the router knows of.
    pub watched: Vec<u64>,
    /// Calls whose server ended, since the last report.
    pub ended: Vec<RunEnd>,
    /// Watched parts with a sound run since the last report, and how long ago it ended.
    pub sound: Vec<(u64, Duration)>,
    /// Sound runs with any parts since the router started.
    pub sound_runs: u64,
    /// Whether the leader may delay the response until there is something new.
    pub wait: bool,
}

/// The response to a [`PartReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PartResponse {
    /// The report was counted.
    Known {
        /// The blocked parts, if the router has another version.
        blocked: Option<BlockedParts>,
        /// Parts of which sound runs would be news, and with which no call should be tried again.
        watched: Vec<u64>,
    },
    /// This daemon does not lead the control group.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
