use crate::control::{BlockedParts, RouterId, Suspect};
use crate::policy::RunEnd;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What a router knows of parts of prompts and requests that end servers, and asks the leader about
/// them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The router.
    pub router: RouterId,
    /// The version of the blocked parts and requests that the router uses; `None` without any.
    pub version: Option<u64>,
    /// The watched suspects that the router knows of.
    pub watched: Vec<Suspect>,
    /// Calls whose server ended, which this leader may not have counted yet, each with its number
    /// among those of this router; 0 if they are not numbered.
    pub ended: Vec<(u64, RunEnd)>,
    /// Watched suspects with a sound run since the last report, and how long ago it ended.
    pub sound: Vec<(Suspect, Duration)>,
    /// Sound runs of any calls since the router started.
    pub sound_runs: u64,
    /// Whether the leader may delay the response until there is something new.
    pub wait: bool,
}

/// What is blocked, as routers need it: without the evidence.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockedSuspects {
    /// Increases by one with every change.
    pub version: u64,
    /// The blocked parts and requests, in order.
    pub suspects: Vec<Suspect>,
}

impl BlockedSuspects {
    /// Whether calls with this are blocked.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.suspects.binary_search(&suspect).is_ok()
    }
}

impl From<&BlockedParts> for BlockedSuspects {
    fn from(blocked: &BlockedParts) -> Self {
        let mut suspects: Vec<Suspect> = blocked.all().map(|(suspect, _)| suspect).collect();
        suspects.sort_unstable();
        Self { version: blocked.version, suspects }
    }
}

/// The response to a [`SuspectReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SuspectResponse {
    /// The report was counted.
    Known {
        /// The blocked parts and requests, if the router has another version.
        blocked: Option<BlockedSuspects>,
        /// Suspects of which sound runs would be news, and with which no call should be tried again.
        watched: Vec<Suspect>,
    },
    /// This daemon does not lead the control group.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
