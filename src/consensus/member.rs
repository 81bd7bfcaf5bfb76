use crate::name::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Identifies one incarnation of a member. Generated at random when a VM starts without stored
/// state, and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of a consensus group: one incarnation of a VM, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifies the incarnation; a VM that loses its state comes back under a new one.
    pub id: MemberId,
    /// The VM that the member runs on.
    pub vm: VmName,
    /// The data centre of that VM.
    pub data_centre: DataCentre,
    /// The address at which it accepts peer connections.
    pub address: SocketAddr,
    /// Whether its state is stored on disk and survives a restart; false for a diskless member.
    pub durable: bool,
}

/// The membership of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote and count towards a quorum.
    pub voters: Vec<Member>,
    /// Members that receive the log but do not vote.
    pub learners: Vec<Member>,
}

impl Members {
    /// The number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member is a voter; false for learners and unknown members.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.iter().any(|m| m.id == id)
    }

    /// Whether the member is a voter or a learner.
    pub fn contains(&self, id: MemberId) -> bool {
        self.all().any(|m| m.id == id)
    }

    /// Iterates over the voters, then the learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a change to `next` adds or removes at most one voter and leaves at least one, so that
    /// any majority of the old voters overlaps any majority of the new ones.
    pub fn is_single_change(&self, next: &Members) -> bool {
        let removed = self.voters.iter().filter(|m| !next.is_voter(m.id)).count();
        let added = next.voters.iter().filter(|m| !self.is_voter(m.id)).count();
        removed + added <= 1 && !next.voters.is_empty()
    }
}
