use super::{MemberId, Members};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends one first, since it can only commit entries of its own term
    /// directly.
    Empty,
    /// A serialised command for the replicated state machine.
    Command(Bytes),
    /// The group's new membership, in effect as soon as the entry is in a member's log.
    Members(Members),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Empty => OVERHEAD_BYTES,
            Payload::Command(bytes) => OVERHEAD_BYTES + bytes.len(),
            Payload::Members(members) => OVERHEAD_BYTES * (1 + members.all().count()),
        }
    }
}

/// The Raft state that a member must persist before it sends a message that depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The candidate that the member voted for in that term.
    pub vote: Option<MemberId>,
}

/// The replicated state after applying every entry up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The membership as of that entry.
    pub members: Members,
    /// The serialised replicated state.
    pub data: Bytes,
}
