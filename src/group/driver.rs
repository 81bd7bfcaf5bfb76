use super::shared::{Envelope, GroupOptions, GroupStatus, Input, Shared, SubmitError};
use super::write_retry::{abort_process, retry_until_written};
use super::{GroupId, ReplicatedState, since_start};
use crate::consensus::{Entry, Log, Message, Output, Payload, ProposeError, Raft, Role, Snapshot};
use crate::event::{Event, Journal};
use crate::storage::{GroupStore, StorageError};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum time to wait for an input before the consensus state machine is ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of queued inputs that are added to one batch. A batch shares its syncs.
const MAX_BATCH_INPUTS: usize = 1_024;

/// Log size from which on a snapshot is taken, however few entries the log holds.
const SNAPSHOT_LOG_BYTES: usize = 4 << 20;
/// A snapshot is delayed while it would be more than this many times as large as the log, judged by
/// the size of the previous snapshot.
const MAX_SNAPSHOT_LOG_RATIO: usize = 4;

/// Delay after a failed attempt to store a snapshot.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A proposed command whose caller waits for the outcome.
struct PendingCommand {
    term: u64,
    reply: oneshot::Sender<Result<Bytes, SubmitError>>,
}

/// The outcome of a command, kept until the state that includes it is published.
struct Reply {
    to: oneshot::Sender<Result<Bytes, SubmitError>>,
    outcome: Result<Bytes, SubmitError>,
}

/// The state of a group's thread, which drives the consensus state machine.
pub struct Driver {
    id: GroupId,
    raft: Raft,
    store: Option<GroupStore>,
    inbox: Receiver<Input>,
    outbox: mpsc::UnboundedSender<Envelope>,
    shared: Arc<Shared>,
    journal: Arc<Journal>,
    /// Proposed commands, by the index of their entry.
    pending: BTreeMap<u64, PendingCommand>,
    /// Outcomes of applied commands that are not sent yet.
    replies: Vec<Reply>,
    /// Index of the last applied entry.
    applied: u64,
    snapshot_entries: u64,
    /// The term that this member leads and when it began to; `None` if it is not the leader.
    leadership: Option<(u64, Duration)>,
    /// The term that this member began to serve reads in last, as leader.
    served_term: Option<u64>,
    /// Whether this member is asking for pre-votes.
    campaigning: bool,
    /// The thread that stores the latest snapshot.
    snapshot_job: Option<JoinHandle<Result<Snapshot, StorageError>>>,
    /// No snapshot is taken before this time, set after a failed attempt to store one.
    snapshot_after: Option<Duration>,
}

impl Driver {
    pub fn new(options: GroupOptions, inbox: Receiver<Input>, shared: Arc<Shared>) -> Self {
        let (store, recovered) = match options.store {
            Some((store, recovered)) => (Some(store), recovered),
            None => (None, Default::default()),
        };
        let mut applied = 0;
        if let Some(snapshot) = &recovered.snapshot {
            restore_state(&shared, snapshot);
            applied = snapshot.index;
        }
        let log = Log::new(recovered.snapshot, recovered.entries);
        let seed = rand::random();
        let (now, hard_state) = (since_start(), recovered.hard_state);
        let raft = Raft::new(options.member, options.timing, seed, now, hard_state, log);
        Self {
            id: options.id,
            raft,
            store,
            inbox,
            outbox: options.outbox,
            shared,
            journal: options.journal,
            pending: BTreeMap::new(),
            replies: Vec::new(),
            applied,
            snapshot_entries: options.snapshot_entries,
            leadership: None,
            served_term: None,
            campaigning: false,
            snapshot_job: None,
            snapshot_after: None,
        }
    }

    pub fn run(mut self) {
        loop {
            let first = match self.inbox.recv_timeout(TICK_INTERVAL) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut batch: Vec<Input> = first.into_iter().collect();
            batch.extend(self.inbox.try_iter().take(MAX_BATCH_INPUTS));
            for input in batch {
                if matches!(input, Input::Stop) {
                    self.finish_snapshot();
                    return;
                }
                self.handle_input(input);
            }
            self.raft.tick(since_start());
            self.process_outputs();
            // Published first: who gets a reply may at once ask for what it led to.
            self.publish();
            self.send_replies();
            self.maybe_snapshot();
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.raft.step(since_start(), message),
            Input::Submit(command, reply) => self.submit(command, reply),
            Input::ChangeMembers(members, reply) => {
                // The caller may have given up; the change is proposed all the same.
                let _ = reply.send(self.raft.change_members(members).map(|_| ()));
            }
            Input::Bootstrap(members) if self.raft.log().last_index() == 0 => {
                self.raft.bootstrap(members)
            }
            Input::Bootstrap(_) => {}
            Input::TransferLeadership => {
                self.raft.transfer_leadership();
            }
            Input::Stop => {}
        }
    }

    fn submit(&mut self, command: Bytes, reply: oneshot::Sender<Result<Bytes, SubmitError>>) {
        match self.raft.propose(command) {
            Ok((index, term)) => {
                self.pending.insert(index, PendingCommand { term, reply });
            }
            Err(ProposeError::NotLeader | ProposeError::ChangePending)
            | Err(ProposeError::TooManyChanges) => {
                let _ = reply.send(Err(SubmitError::NotLeader));
            }
        }
    }

    fn process_outputs(&mut self) {
        loop {
            let output = self.raft.take_output();
            if output.is_empty() {
                return;
            }
            self.process_output(output);
        }
    }

    fn process_output(&mut self, output: Output) {
        let needs_sync = output.needs_sync();
        // The lease has to be withdrawn before a message is sent that lets others elect a leader.
        self.publish_lease();
        self.send_messages(output.immediate);
        if let Some(hard_state) = output.hard_state
            && let Some(store) = &mut self.store
        {
            store.put_hard_state(hard_state);
        }
        if let Some(snapshot) = &output.snapshot {
            self.finish_snapshot();
            restore_state(&self.shared, snapshot);
            self.applied = snapshot.index;
            retry_until_written(self.store.as_mut(), |store| store.compact(snapshot, &[]));
        }
        if let Some(store) = &mut self.store {
            store.put_entries(&output.entries);
        }
        if needs_sync {
            retry_until_written(self.store.as_mut(), GroupStore::sync);
        }
        if needs_sync {
            self.raft.on_persisted();
        }
        self.send_messages(output.after_sync);
        for entry in output.committed {
            self.apply(entry);
        }
    }

    fn send_messages(&self, messages: Vec<Message>) {
        for message in messages {
            // The receiver is dropped only while the daemon shuts down.
            let _ = self.outbox.send(Envelope { group: self.id, message });
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let outcome = match &entry.payload {
            Payload::Command(command) => {
                let mut state = self.shared.state.write().expect("state lock poisoned");
                Some(state.apply(command).expect("failed to apply a committed command"))
            }
            _ => None,
        };
        let Some(pending) = self.pending.remove(&entry.index) else { return };
        let outcome = match outcome {
            Some(outcome) if pending.term == entry.term => Ok(outcome),
            _ => Err(SubmitError::LeadershipLost),
        };
        self.replies.push(Reply { to: pending.reply, outcome });
    }

    fn send_replies(&mut self) {
        for reply in self.replies.drain(..) {
            // The caller may have given up.
            let _ = reply.to.send(reply.outcome);
        }
    }

    /// Takes a snapshot if one is due. It is written to disk on a separate thread, so that heartbeats
    /// and commits continue meanwhile.
    fn maybe_snapshot(&mut self) {
        if self.snapshot_job.as_ref().is_some_and(|job| !job.is_finished()) {
            return;
        }
        self.finish_snapshot();
        let delayed = self.snapshot_after.is_some_and(|until| since_start() < until);
        if delayed || !self.snapshot_due() {
            return;
        }
        let data = self.shared.state.read().expect("state lock poisoned").snapshot();
        let snapshot = self.raft.snapshot_at(self.applied, data);
        let Some(store) = &self.store else {
            self.compact_log(snapshot);
            return;
        };
        let file = store.snapshot_file();
        let work = move || file.write(&snapshot).map(|()| snapshot);
        let builder = std::thread::Builder::new().name("snapshot".to_owned());
        self.snapshot_job = Some(builder.spawn(work).expect("failed to start the snapshot thread"));
    }

    /// Whether the log is long enough to take a snapshot, and not too short compared with the size
    /// of the snapshot that would replace it.
    fn snapshot_due(&self) -> bool {
        let log = self.raft.log();
        let entries = self.applied.saturating_sub(log.snapshot_index());
        let long_enough = entries >= self.snapshot_entries || log.size() >= SNAPSHOT_LOG_BYTES;
        entries > 0
            && long_enough
            && log.size() * MAX_SNAPSHOT_LOG_RATIO >= log.snapshot().data.len()
    }

    /// Waits until the snapshot that is being stored, if any, is complete, and compacts the log up
    /// to it.
    fn finish_snapshot(&mut self) {
        let Some(job) = self.snapshot_job.take() else { return };
        match job.join().expect("the snapshot thread panicked") {
            Ok(snapshot) => self.compact_log(snapshot),
            Err(StorageError::NotWritten { path, cause }) => {
                self.snapshot_after = Some(since_start() + SNAPSHOT_RETRY_DELAY);
                log::warn!(
                    "{}: failed to store a snapshot, a new one will be taken later: {cause}",
                    path.display()
                );
            }
            Err(error) => abort_process(&error),
        }
    }

    /// Replaces the log up to a stored snapshot, on disk and in memory, unless the log already starts
    /// from a newer one.
    fn compact_log(&mut self, snapshot: Snapshot) {
        let log = self.raft.log();
        if snapshot.index <= log.snapshot_index() {
            return;
        }
        let last = log.last_index();
        let tail = match last > snapshot.index {
            true => log.range(snapshot.index + 1, last).to_vec(),
            false => Vec::new(),
        };
        retry_until_written(self.store.as_mut(), |store| store.compact_log(&snapshot, &tail));
        let (group, index) = (self.id.to_string(), snapshot.index);
        self.raft.compact(snapshot);
        self.journal.record(Event::SnapshotTaken { group, index });
    }

    /// Publishes when this member's right to serve reads expires.
    fn publish_lease(&mut self) {
        let now = since_start();
        // A write may have taken longer than a lease; an only voter leads all the same.
        self.raft.advance_clock(now);
        let until = match self.raft.may_serve_reads(now) && self.applied == self.raft.commit_index()
        {
            true => self.raft.lease_expiry().unwrap_or_default(),
            false => Duration::ZERO,
        };
        self.shared.serve_until.store(until.as_micros() as u64, Ordering::Release);
    }

    /// Publishes the status and the last applied index to the handle.
    fn publish(&mut self) {
        self.publish_lease();
        self.record_leadership(since_start());
        self.log_progress();
        let mut status = GroupStatus {
            term: self.raft.term(),
            leader: self.raft.leader(),
            leading: self.raft.is_leader(),
            leader_since: self.leadership.map_or(Duration::ZERO, |(_, since)| since),
            commit_index: self.raft.commit_index(),
            last_index: self.raft.log().last_index(),
            members: self.raft.members().clone(),
            members_version: self.raft.members_version(),
            members_committed: self.raft.members_committed(),
            match_indexes: Vec::new(),
            last_contacts: Vec::new(),
        };
        if let Role::Leader { peers, .. } = self.raft.role() {
            status.match_indexes = peers.iter().map(|(id, p)| (*id, p.match_index)).collect();
            let contact =
                |(id, p): (&_, &crate::consensus::Progress)| p.last_contact.map(|at| (*id, at));
            status.last_contacts = peers.iter().filter_map(contact).collect();
        }
        *self.shared.status.lock().expect("status lock poisoned") = status;
        self.shared.applied.send_if_modified(|applied| {
            let changed = *applied != self.applied;
            *applied = self.applied;
            changed
        });
    }

    /// Records events when this member gains or loses leadership; on a loss, fails the pending
    /// commands.
    fn record_leadership(&mut self, now: Duration) {
        let group = self.id.to_string();
        let term = self.raft.term();
        match (self.raft.is_leader(), self.leadership) {
            (true, Some((led_term, _))) if led_term == term => {}
            (true, _) => {
                self.leadership = Some((term, now));
                self.journal.record(Event::LeaderElected { group, term });
            }
            (false, Some((term, _))) => {
                self.leadership = None;
                self.fail_pending();
                self.journal.record(Event::LeaderLost { group, term });
            }
            (false, None) => {}
        }
    }

    /// Logs the steps towards a leader that serves reads.
    fn log_progress(&mut self) {
        let (id, term) = (self.id, self.raft.term());
        let campaigning = matches!(self.raft.role(), Role::PreCandidate { .. });
        if campaigning && !self.campaigning {
            log::info!("{id}: no leader is heard of; asks for pre-votes after term {term}");
        }
        self.campaigning = campaigning;
        if self.served_term != Some(term) && self.raft.may_serve_reads(since_start()) {
            self.served_term = Some(term);
            log::info!("serves reads of {id} in term {term} from entry {}", self.applied);
        }
    }

    fn fail_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.reply.send(Err(SubmitError::LeadershipLost));
        }
    }
}

fn restore_state(shared: &Shared, snapshot: &Snapshot) {
    let mut state: std::sync::RwLockWriteGuard<'_, ReplicatedState> =
        shared.state.write().expect("state lock poisoned");
    state.restore(&snapshot.data).expect("failed to restore a snapshot that passed its checksum");
}
