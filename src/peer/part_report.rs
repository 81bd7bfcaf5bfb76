//! What daemons of builds before [`ProtocolVersion::DEADLY_REQUESTS`](super::ProtocolVersion) tell each
//! other of parts of prompts that end servers. They know nothing of whole requests.

use super::{BlockedSuspects, SuspectReport, SuspectResponse};
use crate::control::{BlockedPart, BlockedParts, RouterId, Suspect};
use crate::name::VmName;
use crate::policy::RunEnd;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Ends that lie further back are not told: these builds take each for one that has just happened.
const MAX_AGO: Duration = Duration::from_secs(1);

/// A call whose server ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartEnd {
    /// The parts of the prompt that other calls may share.
    pub parts: Vec<u64>,
    /// The server.
    pub server: VmName,
    /// Time since the call was sent to the server.
    pub age: Duration,
}

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
    pub ended: Vec<PartEnd>,
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

fn parts(suspects: &[Suspect]) -> Vec<u64> {
    let part = |suspect: &Suspect| match suspect {
        Suspect::Part(id) => Some(*id),
        Suspect::Request(_) => None,
    };
    suspects.iter().filter_map(part).collect()
}

/// Routers of earlier builds look at the ids only.
fn blocked_parts(blocked: &BlockedSuspects) -> BlockedParts {
    let entry = |id| (id, BlockedPart { since: blocked.version, evidence: String::new() });
    let entries = parts(&blocked.suspects).into_iter().map(entry).collect();
    BlockedParts { version: blocked.version, parts: entries, ..BlockedParts::default() }
}

impl From<PartReport> for SuspectReport {
    fn from(report: PartReport) -> Self {
        let suspects = |parts: Vec<u64>| parts.into_iter().map(Suspect::Part).collect();
        let end = |PartEnd { parts, server, age }| {
            (0, RunEnd { suspects: suspects(parts), server, age, ago: Duration::ZERO })
        };
        Self {
            router: report.router,
            version: report.version,
            watched: suspects(report.watched),
            ended: report.ended.into_iter().map(end).collect(),
            sound: report.sound.into_iter().map(|(id, ago)| (Suspect::Part(id), ago)).collect(),
            sound_runs: report.sound_runs,
            wait: report.wait,
        }
    }
}

impl From<SuspectReport> for PartReport {
    fn from(report: SuspectReport) -> Self {
        let new = report.ended.into_iter().filter(|(_, end)| end.ago < MAX_AGO);
        let end = |(_, RunEnd { suspects, server, age, .. }): (u64, RunEnd)| PartEnd {
            parts: parts(&suspects),
            server,
            age,
        };
        let sound = |(suspect, ago)| match suspect {
            Suspect::Part(id) => Some((id, ago)),
            Suspect::Request(_) => None,
        };
        Self {
            router: report.router,
            version: report.version,
            watched: parts(&report.watched),
            ended: new.map(end).collect(),
            sound: report.sound.into_iter().filter_map(sound).collect(),
            sound_runs: report.sound_runs,
            wait: report.wait,
        }
    }
}

impl From<PartResponse> for SuspectResponse {
    fn from(response: PartResponse) -> Self {
        match response {
            PartResponse::Known { blocked, watched } => Self::Known {
                blocked: blocked.as_ref().map(BlockedSuspects::from),
                watched: watched.into_iter().map(Suspect::Part).collect(),
            },
            PartResponse::NotLeader { address } => Self::NotLeader { address },
        }
    }
}

impl From<SuspectResponse> for PartResponse {
    fn from(response: SuspectResponse) -> Self {
        match response {
            SuspectResponse::Known { blocked, watched } => Self::Known {
                blocked: blocked.as_ref().map(blocked_parts),
                watched: parts(&watched),
            },
            SuspectResponse::NotLeader { address } => Self::NotLeader { address },
        }
    }
}
