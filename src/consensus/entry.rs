use super::{MemberId, Members};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A new leader's first entry.
    Empty,
    /// A command of the replicated state.
    Command(Bytes),
    /// The group's members from here on.
    Members(Members),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, from 1.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Roughly the bytes that the entry takes in a message.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Empty => OVERHEAD_BYTES,
            Payload::Command(bytes) => OVERHEAD_BYTES + bytes.len(),
            Payload::Members(members) => OVERHEAD_BYTES * (1 + members.all().count()),
        }
    }
}

/// What a member must never forget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// Whom the member voted for in that term.
    pub vote: Option<MemberId>,
}

/// The state after applying every entry up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that is included.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that entry.
    pub members: Members,
    /// The replicated state, serialised.
    pub data: Bytes,
}
