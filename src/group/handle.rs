use super::driver::Driver;
use super::{GroupId, Replicated, since_start};
use crate::consensus::{MemberId, Members, Message, ProposeError, Timing};
use crate::event::Journal;
use crate::storage::{GroupStore, Recovered};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

/// A message and the group that it belongs to.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// The group.
    pub group: GroupId,
    /// The message.
    pub message: Message,
}

/// Why a command was not applied, or is not known to have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, serde::Serialize, serde::Deserialize)]
pub enum SubmitError {
    /// Another member leads; nothing was done.
    #[error("this member does not lead the group")]
    NotLeader,
    /// Leadership was lost on the way; the command may or may not be committed.
    #[error("leadership was lost before the command was committed")]
    Lost,
}

/// What a group's thread is asked to do.
pub(super) enum Input {
    Message(Message),
    Submit(Bytes, oneshot::Sender<Result<Bytes, SubmitError>>),
    Change(Members, oneshot::Sender<Result<(), ProposeError>>),
    Found(Members),
    HandOver,
    Stop,
}

/// A group's state as its thread last published it.
#[derive(Debug, Clone, Default)]
pub struct GroupStatus {
    /// The term.
    pub term: u64,
    /// The leader as far as known.
    pub leader: Option<MemberId>,
    /// Whether this member leads.
    pub leading: bool,
    /// When this member's leadership began.
    pub since: Duration,
    /// The last committed index.
    pub commit: u64,
    /// The last index in the log.
    pub last: u64,
    /// The members.
    pub members: Members,
    /// What each other member has synced, where this member leads.
    pub matched: Vec<(MemberId, u64)>,
    /// When each other member last answered, where this member leads.
    pub acked: Vec<(MemberId, Duration)>,
}

/// What a group needs to start.
pub struct GroupOptions {
    /// Which group.
    pub id: GroupId,
    /// This member.
    pub member: MemberId,
    /// Election and heartbeat times.
    pub timing: Timing,
    /// Durable state; `None` on a diskless VM.
    pub store: Option<(GroupStore, Recovered)>,
    /// The empty state to start from.
    pub state: Replicated,
    /// Where messages to other members go.
    pub outbox: mpsc::UnboundedSender<Envelope>,
    /// Where events go.
    pub journal: Arc<Journal>,
    /// Entries behind a snapshot before the next one is taken.
    pub snapshot_every: u64,
}

/// State that the thread shares with its handle.
pub(super) struct Shared {
    pub state: RwLock<Replicated>,
    pub status: Mutex<GroupStatus>,
    /// Until when this member may serve reads as leader, in microseconds since start; 0 for never.
    pub serve_until: AtomicU64,
    /// The last applied index.
    pub applied: watch::Sender<u64>,
}

/// A running group. Dropping the handle stops the thread.
pub struct Group {
    id: GroupId,
    member: MemberId,
    input: Sender<Input>,
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Group {
    /// Starts the group's thread.
    pub fn spawn(options: GroupOptions) -> Self {
        let (input, inbox): (Sender<Input>, Receiver<Input>) = channel();
        let shared = Arc::new(Shared {
            state: RwLock::new(options.state.clone()),
            status: Mutex::new(GroupStatus::default()),
            serve_until: AtomicU64::new(0),
            applied: watch::Sender::new(0),
        });
        let (id, member) = (options.id, options.member);
        let driver = Driver::open(options, inbox, shared.clone());
        let builder = std::thread::Builder::new().name(id.to_string());
        let thread = builder.spawn(move || driver.run()).expect("a thread can be started");
        Self { id, member, input, shared, thread: Mutex::new(Some(thread)) }
    }

    /// Which group this is.
    pub fn id(&self) -> GroupId {
        self.id
    }

    /// This member.
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// Takes in a message from another member.
    pub fn step(&self, message: Message) {
        self.send(Input::Message(message));
    }

    /// Founds the group with this member as its only voter.
    pub fn found(&self, members: Members) {
        self.send(Input::Found(members));
    }

    /// Hands leadership over, if this member leads and another voter has everything.
    pub fn hand_over(&self) {
        self.send(Input::HandOver);
    }

    /// Commits and applies a command; returns its serialised outcome.
    ///
    /// # Errors
    /// [`SubmitError::NotLeader`] where nothing was done, [`SubmitError::Lost`] where the outcome
    /// is open; commands are idempotent, so both may be tried again.
    pub async fn submit(&self, command: Bytes) -> Result<Bytes, SubmitError> {
        let (answer, outcome) = oneshot::channel();
        self.send(Input::Submit(command, answer));
        outcome.await.unwrap_or(Err(SubmitError::Lost))
    }

    /// Proposes new members.
    ///
    /// # Errors
    /// As [`crate::consensus::Raft::change_members`].
    pub async fn change(&self, members: Members) -> Result<(), ProposeError> {
        let (answer, outcome) = oneshot::channel();
        self.send(Input::Change(members, answer));
        outcome.await.unwrap_or(Err(ProposeError::NotLeader))
    }

    /// Whether this member leads and nobody else can: reads of its state are then current.
    pub fn may_serve(&self) -> bool {
        let until = Duration::from_micros(self.shared.serve_until.load(Ordering::Acquire));
        since_start() < until
    }

    /// The last applied index, and its changes.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// What the thread last published.
    pub fn status(&self) -> GroupStatus {
        self.shared.status.lock().expect("status lock").clone()
    }

    /// Reads the applied state, which may be old unless [`Group::may_serve`] holds afterwards.
    pub fn read<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&Replicated) -> T,
    {
        look(&self.shared.state.read().expect("state lock"))
    }

    /// Stops the thread and waits for it.
    pub fn stop(&self) {
        self.send(Input::Stop);
        let thread = self.thread.lock().expect("thread lock").take();
        if let Some(thread) = thread {
            // A thread that panicked has already been reported by the panic hook.
            let _ = thread.join();
        }
    }

    fn send(&self, input: Input) {
        // The thread is gone only after `stop`; waiting callers then see their channel closed.
        let _ = self.input.send(input);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop();
    }
}
