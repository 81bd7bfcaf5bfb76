use crate::name::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A member's incarnation: random, made in an empty data folder, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A VM in one incarnation, and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation.
    pub id: MemberId,
    /// The VM.
    pub vm: VmName,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether its state outlives the process; false for a stand-in.
    pub durable: bool,
}

/// The members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that count towards a quorum.
    pub voters: Vec<Member>,
    /// Members that receive the log and do not vote.
    pub learners: Vec<Member>,
}

impl Members {
    /// The number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.iter().any(|m| m.id == id)
    }

    /// Whether the member is a voter or a learner.
    pub fn contains(&self, id: MemberId) -> bool {
        self.all().any(|m| m.id == id)
    }

    /// Voters, then learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether going to `next` changes at most one voter, which keeps majorities overlapping.
    pub fn one_step(&self, next: &Members) -> bool {
        let gone = self.voters.iter().filter(|m| !next.is_voter(m.id)).count();
        let come = next.voters.iter().filter(|m| !self.is_voter(m.id)).count();
        gone + come <= 1 && !next.voters.is_empty()
    }
}
