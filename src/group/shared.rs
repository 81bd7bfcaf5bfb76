//! What a group's thread and its handle exchange.

use super::{GroupId, ReplicatedState};
use crate::consensus::{MemberId, Members, Message, ProposeError, Snapshot, Timing, WriteNumber};
use crate::event::Journal;
use crate::storage::{GroupStore, RecoveredState};
use bytes::Bytes;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

/// A Raft message and the group that it belongs to.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// The group whose members exchange the message.
    pub group: GroupId,
    /// The message, with its sender and receiver.
    pub message: Message,
}

/// Why a command was not applied, or may not have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, serde::Serialize, serde::Deserialize)]
pub enum SubmitError {
    /// This member is not the leader or is transferring its leadership; the command was not proposed.
    #[error("this member is not the leader of the group; retry on the leader")]
    NotLeader,
    /// Leadership was lost, or the group stopped, before the command was committed; it may or may
    /// not still be committed.
    #[error(
        "leadership was lost before the command was committed, so it may or may not take effect; retry on the leader"
    )]
    LeadershipLost,
}

/// What the storage thread of a group reports.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// A write and all earlier ones are synced, and their messages sent.
    Persisted(WriteNumber),
    /// A snapshot is stored; the log may now be compacted up to it.
    SnapshotStored(Snapshot),
    /// A snapshot could not be stored; the earlier one is intact.
    SnapshotNotStored,
}

/// Inputs of a group's thread.
pub(super) enum Input {
    /// A message from another member.
    Message(Message),
    /// Proposes a command; the reply is its serialised outcome.
    Submit(Bytes, oneshot::Sender<Result<Bytes, SubmitError>>),
    /// Proposes a new membership; the reply comes before it is committed.
    ChangeMembers(Members, oneshot::Sender<Result<(), ProposeError>>),
    /// Bootstraps the group; ignored if the log is not empty.
    Bootstrap(Members),
    TransferLeadership,
    /// Says how far the group's storage got.
    Store(StoreEvent),
    Stop,
}

/// A group's state as its thread last published it.
#[derive(Debug, Clone, Default)]
pub struct GroupStatus {
    /// The current term.
    pub term: u64,
    /// The leader of that term, as far as this member knows.
    pub leader: Option<MemberId>,
    /// Whether this member is the leader.
    pub leading: bool,
    /// When this member became the leader, as a time since process start; zero if it is not.
    pub leader_since: Duration,
    /// Index of the last entry known to be committed.
    pub commit_index: u64,
    /// Index of the last entry in the log.
    pub last_index: u64,
    /// The newest membership in the log, committed or not.
    pub members: Members,
    /// Term and index of the entry that set it; the highest one is the newest.
    pub members_version: (u64, u64),
    /// Whether that membership is known to be committed.
    pub members_committed: bool,
    /// Index of the last entry known to be synced on each other member; empty if this member is not
    /// the leader.
    pub match_indexes: Vec<(MemberId, u64)>,
    /// Send time of the newest message that each other member has answered; empty if this member is
    /// not the leader. Members that have not answered yet are left out.
    pub last_contacts: Vec<(MemberId, Duration)>,
}

/// Options to start a group with.
pub struct GroupOptions {
    /// The group to run.
    pub id: GroupId,
    /// The id of this member.
    pub member: MemberId,
    /// Election timeout and heartbeat interval; the same on all voters of the group.
    pub timing: Timing,
    /// The group's storage and the state recovered from it; `None` on a diskless VM.
    pub store: Option<(GroupStore, RecoveredState)>,
    /// The empty state machine, used unless a snapshot was recovered.
    pub state: ReplicatedState,
    /// Receives the messages to be sent to other members.
    pub outbox: mpsc::UnboundedSender<Envelope>,
    /// Receives the group's events.
    pub journal: Arc<Journal>,
    /// Number of entries applied since the last snapshot at which the next one is taken.
    pub snapshot_entries: u64,
}

/// State that the group's thread shares with its handle.
pub(super) struct Shared {
    pub state: RwLock<ReplicatedState>,
    pub status: Mutex<GroupStatus>,
    /// When the right to serve reads as leader expires, in microseconds since process start; 0 if
    /// this member has no such right.
    pub serve_until: AtomicU64,
    /// Index of the last applied entry.
    pub applied: watch::Sender<u64>,
}
