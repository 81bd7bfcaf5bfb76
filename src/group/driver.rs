use super::shared::{Envelope, GroupOptions, GroupStatus, Input, Shared, StoreEvent, SubmitError};
use super::store_thread::{StoreOptions, StoreThread, StoreWork, StoreWrite};
use super::{GroupId, ReplicatedState, since_start};
use crate::consensus::{Entry, Log, Message, Output, Payload, ProposeError, Raft, Role, Snapshot};
use crate::event::{Event, Journal};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
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
    /// `None` on a diskless VM, where everything counts as synced at once.
    store: Option<StoreThread>,
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
    /// Whether the disk had stalled when this was last looked at, so that it is logged once.
    stalled: bool,
    /// Whether a snapshot is being stored.
    storing_snapshot: bool,
    /// A stored snapshot that the log is to be compacted up to.
    stored_snapshot: Option<Snapshot>,
    /// No snapshot is taken before this time, set after a failed attempt to store one.
    snapshot_after: Option<Duration>,
}

impl Driver {
    /// A driver that receives the reports of its own storage thread through `reports`.
    pub fn new(
        options: GroupOptions,
        reports: Sender<Input>,
        inbox: Receiver<Input>,
        shared: Arc<Shared>,
    ) -> Self {
        let (store, recovered) = match options.store {
            Some((store, recovered)) => (Some(store), recovered),
            None => (None, Default::default()),
        };
        let mut applied = 0;
        if let Some(snapshot) = &recovered.snapshot {
            restore_state(&shared, snapshot);
            applied = snapshot.index;
        }
        let spawn = |store| {
            let (id, slow_after) = (options.id, options.timing.heartbeat_interval);
            let outbox = options.outbox.clone();
            StoreThread::spawn(StoreOptions { id, store, slow_after, outbox, reports })
        };
        let store = store.map(spawn);
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
            stalled: false,
            storing_snapshot: false,
            stored_snapshot: None,
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
            Input::Store(event) => self.on_store_event(event),
            Input::Stop => {}
        }
    }

    fn on_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Persisted(write) => self.raft.on_persisted(write),
            StoreEvent::SnapshotStored(snapshot) => {
                self.storing_snapshot = false;
                self.stored_snapshot = Some(snapshot);
            }
            StoreEvent::SnapshotNotStored => {
                self.storing_snapshot = false;
                self.snapshot_after = Some(since_start() + SNAPSHOT_RETRY_DELAY);
            }
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
        // The lease has to be withdrawn before a message is sent that lets others elect a leader.
        self.publish_lease();
        self.send_messages(output.immediate);
        if let Some(snapshot) = &output.snapshot {
            restore_state(&self.shared, snapshot);
            self.applied = snapshot.index;
        }
        let Some(store) = &self.store else {
            if let Some(write) = output.write {
                self.raft.on_persisted(write);
            }
            self.send_messages(output.after_sync);
            self.apply_all(output.committed);
            return;
        };
        if let Some(snapshot) = output.snapshot {
            store.queue(StoreWork::Install(output.hard_state, snapshot));
        }
        match self.raft.is_synced() {
            // Nothing is written, so the messages wait for nothing.
            true => self.send_messages(output.after_sync),
            false if output.write.is_none() && output.after_sync.is_empty() => {}
            false => store.queue(StoreWork::Write(StoreWrite {
                number: output.write,
                hard_state: output.hard_state,
                entries: output.entries,
                messages: self.envelopes(output.after_sync),
            })),
        }
        self.apply_all(output.committed);
    }

    fn apply_all(&mut self, committed: Vec<Entry>) {
        for entry in committed {
            self.apply(entry);
        }
    }

    fn envelopes(&self, messages: Vec<Message>) -> Vec<Envelope> {
        messages.into_iter().map(|message| Envelope { group: self.id, message }).collect()
    }

    fn send_messages(&self, messages: Vec<Message>) {
        for envelope in self.envelopes(messages) {
            // The receiver is dropped only while the daemon shuts down.
            let _ = self.outbox.send(envelope);
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

    /// Compacts the log up to a snapshot that is stored, and takes the next one if it is due. It is
    /// stored on a separate thread, so that heartbeats and commits continue meanwhile.
    fn maybe_snapshot(&mut self) {
        if let Some(snapshot) = self.stored_snapshot.take() {
            self.compact_log(snapshot);
        }
        let delayed = self.snapshot_after.is_some_and(|until| since_start() < until);
        if delayed || self.storing_snapshot || !self.snapshot_due() {
            return;
        }
        let data = self.shared.state.read().expect("state lock poisoned").snapshot();
        let snapshot = self.raft.snapshot_at(self.applied, data);
        let Some(store) = &self.store else {
            self.compact_log(snapshot);
            return;
        };
        self.storing_snapshot = true;
        store.queue(StoreWork::StoreSnapshot(snapshot));
    }

    /// Whether the log is long enough to take a snapshot, and not too short compared with the size
    /// of the snapshot that would replace it. A snapshot holds only what is synced in the log.
    fn snapshot_due(&self) -> bool {
        let log = self.raft.log();
        let entries = self.applied.saturating_sub(log.snapshot_index());
        let long_enough = entries >= self.snapshot_entries || log.size() >= SNAPSHOT_LOG_BYTES;
        entries > 0
            && self.applied <= self.raft.persisted_index()
            && long_enough
            && log.size() * MAX_SNAPSHOT_LOG_RATIO >= log.snapshot().data.len()
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
        if let Some(store) = &self.store {
            store.queue(StoreWork::Compact(snapshot.clone(), tail));
        }
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
        let stalled = self.raft.is_disk_stalled();
        if stalled && !self.stalled {
            log::error!(
                "{id}: the disk has stalled; this member hands leadership over and, as a follower, answers no more"
            );
        }
        self.stalled = stalled;
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
