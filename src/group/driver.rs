use super::handle::{Envelope, GroupOptions, GroupStatus, Input, Shared, SubmitError};
use super::{GroupId, Replicated, since_start};
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

/// How often time is passed to the core.
const TICK: Duration = Duration::from_millis(10);
/// Inputs taken into one batch, and so into one sync.
const BATCH_INPUTS: usize = 1_024;

/// The log's size from which on a snapshot is taken, in bytes, however few entries it holds.
const SNAPSHOT_BYTES: usize = 4 << 20;
/// A snapshot is put off while it would be more than this many times as large as the log.
const SNAPSHOT_RATIO: usize = 4;

/// The pause after a snapshot that could not be stored.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(2);
/// The pause before a write is repeated that a full disk refused.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// A command that waits to be committed.
struct Waiting {
    term: u64,
    answer: oneshot::Sender<Result<Bytes, SubmitError>>,
}

/// The group's thread.
pub struct Driver {
    id: GroupId,
    core: Raft,
    store: Option<GroupStore>,
    inbox: Receiver<Input>,
    outbox: mpsc::UnboundedSender<Envelope>,
    shared: Arc<Shared>,
    journal: Arc<Journal>,
    waiting: BTreeMap<u64, Waiting>,
    applied: u64,
    snapshot_every: u64,
    led: Option<(u64, Duration)>,
    storing: Option<JoinHandle<Result<Snapshot, StorageError>>>,
    /// No snapshot is begun before.
    put_off: Option<Duration>,
}

impl Driver {
    pub fn open(options: GroupOptions, inbox: Receiver<Input>, shared: Arc<Shared>) -> Self {
        let (store, recovered) = match options.store {
            Some((store, recovered)) => (Some(store), recovered),
            None => (None, Default::default()),
        };
        let mut applied = 0;
        if let Some(snapshot) = &recovered.snapshot {
            restore(&shared, snapshot);
            applied = snapshot.index;
        }
        let log = Log::new(recovered.snapshot, recovered.entries);
        let seed = rand::random();
        let (now, hard) = (since_start(), recovered.hard);
        let core = Raft::new(options.member, options.timing, seed, now, hard, log);
        Self {
            id: options.id,
            core,
            store,
            inbox,
            outbox: options.outbox,
            shared,
            journal: options.journal,
            waiting: BTreeMap::new(),
            applied,
            snapshot_every: options.snapshot_every,
            led: None,
            storing: None,
            put_off: None,
        }
    }

    pub fn run(mut self) {
        loop {
            let first = match self.inbox.recv_timeout(TICK) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut batch: Vec<Input> = first.into_iter().collect();
            batch.extend(self.inbox.try_iter().take(BATCH_INPUTS));
            for input in batch {
                if matches!(input, Input::Stop) {
                    self.await_snapshot();
                    return;
                }
                self.take(input);
            }
            self.core.tick(since_start());
            self.flush();
            self.compact();
            self.publish();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.core.step(since_start(), message),
            Input::Submit(command, answer) => self.submit(command, answer),
            Input::Change(members, answer) => {
                // The asker may have given up; the change stands all the same.
                let _ = answer.send(self.core.change_members(members).map(|_| ()));
            }
            Input::Found(members) if self.core.log().last_index() == 0 => {
                self.core.bootstrap(members)
            }
            Input::Found(_) => {}
            Input::HandOver => {
                self.core.transfer_leadership();
            }
            Input::Stop => {}
        }
    }

    fn submit(&mut self, command: Bytes, answer: oneshot::Sender<Result<Bytes, SubmitError>>) {
        match self.core.propose(command) {
            Ok((index, term)) => {
                self.waiting.insert(index, Waiting { term, answer });
            }
            Err(ProposeError::NotLeader | ProposeError::ChangePending)
            | Err(ProposeError::TooManyChanges) => {
                let _ = answer.send(Err(SubmitError::NotLeader));
            }
        }
    }

    fn flush(&mut self) {
        loop {
            let output = self.core.take_output();
            if output.is_empty() {
                return;
            }
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        let writes = output.needs_sync();
        // Before any message leaves that lets others elect a leader.
        self.publish_lease();
        self.post(output.immediate);
        if let Some(hard) = output.hard_state
            && let Some(store) = &mut self.store
        {
            store.put_hard(hard);
        }
        if let Some(snapshot) = &output.snapshot {
            self.await_snapshot();
            restore(&self.shared, snapshot);
            self.applied = snapshot.index;
            persist(self.store.as_mut(), |store| store.compact(snapshot, &[]));
        }
        if let Some(store) = &mut self.store {
            store.put_entries(&output.entries);
        }
        if writes {
            persist(self.store.as_mut(), GroupStore::sync);
        }
        if writes {
            self.core.on_persisted();
        }
        self.post(output.after_sync);
        for entry in output.committed {
            self.apply(entry);
        }
    }

    fn post(&self, messages: Vec<Message>) {
        for message in messages {
            // The receiver is gone only while the daemon stops.
            let _ = self.outbox.send(Envelope { group: self.id, message });
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let outcome = match &entry.payload {
            Payload::Command(command) => {
                let mut state = self.shared.state.write().expect("state lock");
                Some(state.apply(command).expect("committed commands can be read"))
            }
            _ => None,
        };
        let Some(waiting) = self.waiting.remove(&entry.index) else { return };
        let answer = match outcome {
            Some(outcome) if waiting.term == entry.term => Ok(outcome),
            _ => Err(SubmitError::Lost),
        };
        // The asker may have given up.
        let _ = waiting.answer.send(answer);
    }

    /// Takes a snapshot where one is due; the disk's part is done on a thread of its own, so that
    /// heartbeats and commits go on.
    fn compact(&mut self) {
        if self.storing.as_ref().is_some_and(|storing| !storing.is_finished()) {
            return;
        }
        self.await_snapshot();
        let waits = self.put_off.is_some_and(|until| since_start() < until);
        if waits || !self.snapshot_due() {
            return;
        }
        let data = self.shared.state.read().expect("state lock").snapshot();
        let snapshot = self.core.snapshot_at(self.applied, data);
        let Some(store) = &self.store else {
            self.trim(snapshot);
            return;
        };
        let file = store.snapshots();
        let work = move || file.write(&snapshot).map(|()| snapshot);
        let builder = std::thread::Builder::new().name("snapshot".to_owned());
        self.storing = Some(builder.spawn(work).expect("a thread can be started"));
    }

    /// Whether the log is long, and not short against the snapshot that would replace it.
    fn snapshot_due(&self) -> bool {
        let log = self.core.log();
        let entries = self.applied.saturating_sub(log.snapshot_index());
        let long = entries >= self.snapshot_every || log.size() >= SNAPSHOT_BYTES;
        entries > 0 && long && log.size() * SNAPSHOT_RATIO >= log.snapshot().data.len()
    }

    /// Waits for the snapshot that is being stored, if any, and trims the log behind it.
    fn await_snapshot(&mut self) {
        let Some(storing) = self.storing.take() else { return };
        match storing.join().expect("the snapshot's thread does not panic") {
            Ok(snapshot) => self.trim(snapshot),
            Err(StorageError::NotWritten { path, cause }) => {
                self.put_off = Some(since_start() + SNAPSHOT_PAUSE);
                log::warn!("{}: no snapshot can be stored: {cause}", path.display());
            }
            Err(error) => fail(&error),
        }
    }

    fn trim(&mut self, snapshot: Snapshot) {
        let log = self.core.log();
        if snapshot.index <= log.snapshot_index() {
            return;
        }
        let last = log.last_index();
        let tail = match last > snapshot.index {
            true => log.range(snapshot.index + 1, last).to_vec(),
            false => Vec::new(),
        };
        persist(self.store.as_mut(), |store| store.trim(&snapshot, &tail));
        let (group, index) = (self.id.to_string(), snapshot.index);
        self.core.compact(snapshot);
        self.journal.record(Event::SnapshotTaken { group, index });
    }

    /// Publishes until when this member may serve reads.
    fn publish_lease(&self) {
        let now = since_start();
        let until = match self.core.may_serve_reads(now) && self.applied == self.core.commit_index()
        {
            true => self.core.lease_expiry().unwrap_or_default(),
            false => Duration::ZERO,
        };
        self.shared.serve_until.store(until.as_micros() as u64, Ordering::Release);
    }

    fn publish(&mut self) {
        self.publish_lease();
        self.note_leadership(since_start());
        let mut status = GroupStatus {
            term: self.core.term(),
            leader: self.core.leader(),
            leading: self.core.is_leader(),
            since: self.led.map_or(Duration::ZERO, |(_, since)| since),
            commit: self.core.commit_index(),
            last: self.core.log().last_index(),
            members: self.core.members().clone(),
            matched: Vec::new(),
            acked: Vec::new(),
        };
        if let Role::Leader { peers, .. } = self.core.role() {
            status.matched = peers.iter().map(|(id, p)| (*id, p.match_index)).collect();
            let acked =
                |(id, p): (&_, &crate::consensus::Progress)| p.last_contact.map(|at| (*id, at));
            status.acked = peers.iter().filter_map(acked).collect();
        }
        *self.shared.status.lock().expect("status lock") = status;
        self.shared.applied.send_if_modified(|applied| {
            let changed = *applied != self.applied;
            *applied = self.applied;
            changed
        });
    }

    fn note_leadership(&mut self, now: Duration) {
        let group = self.id.to_string();
        let term = self.core.term();
        match (self.core.is_leader(), self.led) {
            (true, Some((led, _))) if led == term => {}
            (true, _) => {
                self.led = Some((term, now));
                self.journal.record(Event::LeaderElected { group, term });
            }
            (false, Some((term, _))) => {
                self.led = None;
                self.fail_waiting();
                self.journal.record(Event::LeaderLost { group, term });
            }
            (false, None) => {}
        }
    }

    fn fail_waiting(&mut self) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let _ = waiting.answer.send(Err(SubmitError::Lost));
        }
    }
}

fn restore(shared: &Shared, snapshot: &Snapshot) {
    let mut state: std::sync::RwLockWriteGuard<'_, Replicated> =
        shared.state.write().expect("state lock");
    state.restore(&snapshot.data).expect("a snapshot that passed its checksum can be read");
}

/// Does a write until it is done. A full disk is waited for: meanwhile this member is silent, so
/// that others take over, and nothing that it has not stored is promised.
fn persist<F>(store: Option<&mut GroupStore>, mut write: F)
where
    F: FnMut(&mut GroupStore) -> Result<(), StorageError>,
{
    let Some(store) = store else { return };
    let mut refused = 0;
    loop {
        match write(store) {
            Ok(()) => break,
            Err(error @ StorageError::NotWritten { .. }) => {
                if refused == 0 {
                    log::error!("storage refuses writes, this member waits: {error}");
                }
                refused += 1;
                std::thread::sleep(WRITE_PAUSE);
            }
            Err(error) => fail(&error),
        }
    }
    if refused > 0 {
        log::info!("storage takes writes again, after {refused} refusals");
    }
}

/// Ends the process: what the disk holds is unknown.
fn fail(error: &StorageError) -> ! {
    log::error!("storage failed, the process ends: {error}");
    std::process::abort();
}
