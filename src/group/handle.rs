use super::driver::Driver;
use super::shared::{GroupOptions, GroupStatus, Input, Shared, SubmitError};
use super::{GroupId, ReplicatedState, since_start};
use crate::consensus::{MemberId, Members, Message, ProposeError};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

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
        let driver = Driver::new(options, input.clone(), inbox, shared.clone());
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
