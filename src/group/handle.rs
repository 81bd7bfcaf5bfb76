use super::driver::Driver;
use super::{GroupId, ReplicatedState, since_start};
use crate::consensus::{MemberId, Members, Message, ProposeError, Timing};
use crate::event::Journal;
use crate::storage::{GroupStore, RecoveredState};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
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

/// Handle of this member's part in a running group. Dropping it stops the group's thread.
pub struct Group {
    id: GroupId,
    member: MemberId,
    input: Sender<Input>,
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Group {
    /// Starts the group's thread; panics if the thread cannot be created.
    pub fn spawn(options: GroupOptions) -> Self {
        let (input, inbox): (Sender<Input>, Receiver<Input>) = channel();
        let shared = Arc::new(Shared {
            state: RwLock::new(options.state.clone()),
            status: Mutex::new(GroupStatus::default()),
            serve_until: AtomicU64::new(0),
            applied: watch::Sender::new(0),
        });
        let (id, member) = (options.id, options.member);
        let driver = Driver::new(options, inbox, shared.clone());
        let builder = std::thread::Builder::new().name(id.to_string());
        let thread =
            builder.spawn(move || driver.run()).expect("failed to start the thread of a group");
        Self { id, member, input, shared, thread: Mutex::new(Some(thread)) }
    }

    /// The id of the group.
    pub fn id(&self) -> GroupId {
        self.id
    }

    /// The id of this member.
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// Passes a message from another member to the group's thread.
    pub fn step(&self, message: Message) {
        self.send(Input::Message(message));
    }

    /// Bootstraps the group with `members`, whose only voter must be this member. Does nothing if the
    /// log is not empty.
    pub fn bootstrap(&self, members: Members) {
        self.send(Input::Bootstrap(members));
    }

    /// Transfers leadership to another voter as soon as one has the whole log; does nothing if this
    /// member is not the leader or the only voter. Cancelled if no voter catches up within the
    /// election timeout.
    pub fn transfer_leadership(&self) {
        self.send(Input::TransferLeadership);
    }

    /// Proposes a command, waits until it is committed and applied, and returns its serialised
    /// outcome.
    ///
    /// # Errors
    /// [`SubmitError::NotLeader`] if the command was not proposed, and
    /// [`SubmitError::LeadershipLost`] if it is unknown whether it will be committed. Commands are
    /// idempotent, so both can be retried.
    pub async fn submit(&self, command: Bytes) -> Result<Bytes, SubmitError> {
        let (reply, outcome) = oneshot::channel();
        self.send(Input::Submit(command, reply));
        outcome.await.unwrap_or(Err(SubmitError::LeadershipLost))
    }

    /// Proposes a new membership; returns without waiting until it is committed.
    ///
    /// # Errors
    /// The same as [`crate::consensus::Raft::change_members`], and [`ProposeError::NotLeader`] if
    /// the group has stopped.
    pub async fn change_members(&self, members: Members) -> Result<(), ProposeError> {
        let (reply, outcome) = oneshot::channel();
        self.send(Input::ChangeMembers(members, reply));
        outcome.await.unwrap_or(Err(ProposeError::NotLeader))
    }

    /// Whether this member is the leader and no other member can be: its state is then current and
    /// may serve linearizable reads.
    pub fn may_serve_reads(&self) -> bool {
        let until = Duration::from_micros(self.shared.serve_until.load(Ordering::Acquire));
        since_start() < until
    }

    /// A receiver that holds the index of the last applied entry and is notified when it changes.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// The status that the group's thread last published.
    pub fn status(&self) -> GroupStatus {
        self.shared.status.lock().expect("status lock poisoned").clone()
    }

    /// Reads the applied state, which may be stale unless [`Group::may_serve_reads`] returns true
    /// after the read.
    pub fn read<F, T>(&self, reader: F) -> T
    where
        F: FnOnce(&ReplicatedState) -> T,
    {
        reader(&self.shared.state.read().expect("state lock poisoned"))
    }

    /// Stops the group's thread and waits until it has ended.
    pub fn stop(&self) {
        self.send(Input::Stop);
        let thread = self.thread.lock().expect("thread lock poisoned").take();
        if let Some(thread) = thread {
            // If the thread panicked, the panic hook has already reported it.
            let _ = thread.join();
        }
    }

    fn send(&self, input: Input) {
        // Fails only after the thread has ended; callers that wait for a reply then see their
        // channel closed.
        let _ = self.input.send(input);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop();
    }
}
