use super::{Entry, MemberId, SnapshotPart};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A message between two members of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a message for another incarnation is dropped.
    pub to: MemberId,
    /// The sender's term; for a pre-vote, the term that it would start.
    pub term: u64,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could succeed, changing nothing.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Set where the leader handed over, so that voters need not wait for its silence.
        handed_over: bool,
    },
    /// Answers a vote.
    VoteAnswer {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Sends entries, or none as a heartbeat.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's time of sending, echoed in the answer.
        sent: Duration,
    },
    /// Answers an append or an installed snapshot.
    AppendAnswer {
        /// Whether the entries fitted and are synced.
        accepted: bool,
        /// Accepted: the last index known to match. Refused: where to try next.
        index: u64,
        /// The echoed time of sending.
        sent: Duration,
    },
    /// Sends a part of a snapshot to a member whose next entry is trimmed.
    Install {
        /// The part.
        part: SnapshotPart,
        /// The leader's time of sending, echoed in the answer.
        sent: Duration,
    },
    /// Answers a part while others are missing.
    InstallAnswer {
        /// The last entry that the snapshot includes.
        index: u64,
        /// How much of it has arrived, in bytes.
        offset: u64,
        /// The echoed time of sending.
        sent: Duration,
    },
    /// Tells a member to start an election at once.
    HandOver,
}
