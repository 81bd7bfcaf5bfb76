use super::{Entry, MemberId, SnapshotChunk};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A Raft message between two members of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver; it drops messages for another incarnation.
    pub to: MemberId,
    /// The sender's term; for a pre-vote request and a granted pre-vote, the term of the proposed
    /// election.
    pub term: u64,
    /// The request or response.
    pub body: MessageBody,
}

/// The body of a Raft message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote; changes no state at the receiver.
    RequestPreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// Whether the receiver would grant the vote.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Set if the leader asked for this election to transfer its leadership: voters then grant
        /// the vote without waiting for the leader's election timeout.
        leadership_transfer: bool,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; without any, a heartbeat.
    AppendEntries {
        /// Index of the entry that precedes `entries`.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        leader_commit: u64,
        /// Send time on the leader's clock, echoed in the response.
        sent_at: Duration,
    },
    /// Response to `AppendEntries`, and to `InstallSnapshot` once the receiver needs no more chunks
    /// of the snapshot or if the sender's term is stale.
    AppendResponse {
        /// Whether the entries matched the receiver's log and are synced.
        accepted: bool,
        /// If accepted, the last index known to match; if rejected, the index to try next.
        index: u64,
        /// The send time echoed from the request.
        sent_at: Duration,
    },
    /// Sends a chunk of a snapshot to a member whose next entry the leader has compacted.
    InstallSnapshot {
        /// The chunk.
        chunk: SnapshotChunk,
        /// Send time on the leader's clock, echoed in the response.
        sent_at: Duration,
    },
    /// Response to `InstallSnapshot` while the snapshot is incomplete.
    InstallResponse {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Number of bytes of its data received so far.
        offset: u64,
        /// The send time echoed from the request.
        sent_at: Duration,
    },
    /// Tells a voter to start an election at once, which transfers leadership to it.
    TimeoutNow,
}
