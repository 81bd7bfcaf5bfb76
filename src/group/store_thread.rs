use super::shared::{Envelope, Input, StoreEvent};
use super::write_retry::{abort_process, retry_until_written};
use super::{GroupId, since_start};
use crate::consensus::{Entry, HardState, Snapshot, WriteNumber};
use crate::storage::{GroupStore, StorageError};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of queued writes that share a sync.
const MAX_BATCH_WORK: usize = 1_024;

/// Work of a storage thread, done in the order in which it is queued.
pub enum StoreWork {
    /// Adds to the log, syncs it, and sends messages that depend on that.
    Write(StoreWrite),
    /// Replaces snapshot and log by a snapshot that the leader sent, after a new term.
    Install(Option<HardState>, Snapshot),
    /// Starts to store a snapshot that this member took, beside later writes.
    StoreSnapshot(Snapshot),
    /// Rewrites the log to start behind a stored snapshot; the entries follow it.
    Compact(Snapshot, Vec<Entry>),
}

/// A write to the log, and what waits for its sync.
#[derive(Default)]
pub struct StoreWrite {
    /// Reported once the write is synced; `None` if only messages wait, for earlier writes.
    pub number: Option<WriteNumber>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; they replace all from the first one's index on.
    pub entries: Vec<Entry>,
    /// Messages to be sent after the sync.
    pub messages: Vec<Envelope>,
}

/// What the storage thread of a group is started with.
pub struct StoreOptions {
    /// The group, named in warnings and metrics.
    pub id: GroupId,
    /// The group's files.
    pub store: GroupStore,
    /// A sync that takes longer than this is warned of.
    pub slow_after: Duration,
    /// Receives the messages that wait for a sync.
    pub outbox: mpsc::UnboundedSender<Envelope>,
    /// Receives the reports.
    pub reports: Sender<Input>,
}

/// Handle of a running thread that writes and syncs a group's files, so that the group's own thread
/// goes on while the disk stalls. Dropping it waits until all queued work is done.
pub struct StoreThread {
    queue: Option<Sender<StoreWork>>,
    thread: Option<JoinHandle<()>>,
}

impl StoreThread {
    /// Starts the thread; panics if it cannot be created.
    pub fn spawn(options: StoreOptions) -> Self {
        let (queue, work) = channel();
        let builder = std::thread::Builder::new().name(format!("{}-disk", options.id));
        let worker = Worker { options, waiting: StoreWrite::default(), snapshot_job: None };
        let thread = builder.spawn(move || worker.run(work));
        let thread = thread.expect("failed to start the storage thread of a group");
        Self { queue: Some(queue), thread: Some(thread) }
    }

    /// Adds work to the queue.
    pub fn queue(&self, work: StoreWork) {
        let sent = self.queue.as_ref().is_some_and(|queue| queue.send(work).is_ok());
        assert!(sent, "the storage thread of a group has ended");
    }
}

impl Drop for StoreThread {
    fn drop(&mut self) {
        drop(self.queue.take());
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the panic hook has already reported it.
            let _ = thread.join();
        }
    }
}

/// The state of the thread.
struct Worker {
    options: StoreOptions,
    /// Number and messages of the writes that are in the store's batch.
    waiting: StoreWrite,
    /// The thread that stores the latest snapshot.
    snapshot_job: Option<JoinHandle<()>>,
}

impl Worker {
    fn run(mut self, work: Receiver<StoreWork>) {
        while let Ok(first) = work.recv() {
            self.process(first);
            for next in work.try_iter().take(MAX_BATCH_WORK) {
                self.process(next);
            }
            self.sync();
        }
        self.join_snapshot_job();
    }

    fn process(&mut self, work: StoreWork) {
        match work {
            StoreWork::Write(write) => self.put(write),
            StoreWork::Install(hard_state, snapshot) => {
                self.sync();
                self.join_snapshot_job();
                let store = &mut self.options.store;
                if let Some(hard_state) = hard_state {
                    store.put_hard_state(hard_state);
                }
                retry_until_written(store, |store| store.compact(&snapshot, &[]));
            }
            StoreWork::StoreSnapshot(snapshot) => self.store_snapshot(snapshot),
            StoreWork::Compact(snapshot, tail) => {
                self.sync();
                let store = &mut self.options.store;
                retry_until_written(store, |store| store.compact_log(&snapshot, &tail));
            }
        }
    }

    fn put(&mut self, write: StoreWrite) {
        let StoreWrite { number, hard_state, entries, messages } = write;
        if let Some(hard_state) = hard_state {
            self.options.store.put_hard_state(hard_state);
        }
        self.options.store.put_entries(&entries);
        self.waiting.number = number.or(self.waiting.number);
        self.waiting.messages.extend(messages);
    }

    /// Syncs the batch, sends what waited for that and reports it.
    fn sync(&mut self) {
        let StoreWrite { number, messages, .. } = std::mem::take(&mut self.waiting);
        if number.is_some() {
            self.sync_timed();
        }
        for message in messages {
            // The receiver is dropped only while the daemon shuts down.
            let _ = self.options.outbox.send(message);
        }
        if let Some(number) = number {
            self.report(StoreEvent::Persisted(number));
        }
    }

    fn sync_timed(&mut self) {
        let started = since_start();
        retry_until_written(&mut self.options.store, GroupStore::sync);
        let (id, took) = (self.options.id, since_start() - started);
        metrics::histogram!("samphireshift_sync_seconds", "group" => id.to_string())
            .record(took.as_secs_f64());
        if took > self.options.slow_after {
            log::warn!("{id}: a write and its sync took {} ms", took.as_millis());
        }
    }

    fn report(&self, event: StoreEvent) {
        // The group's thread may have ended.
        let _ = self.options.reports.send(Input::Store(event));
    }

    /// Stores a snapshot on a thread of its own, as it may be large.
    fn store_snapshot(&mut self, snapshot: Snapshot) {
        self.join_snapshot_job();
        let file = self.options.store.snapshot_file();
        let reports = self.options.reports.clone();
        let work = move || {
            let event = match file.write(&snapshot) {
                Ok(()) => StoreEvent::SnapshotStored(snapshot),
                Err(StorageError::NotWritten { path, cause }) => {
                    log::warn!(
                        "{}: failed to store a snapshot, a new one will be taken later: {cause}",
                        path.display()
                    );
                    StoreEvent::SnapshotNotStored
                }
                Err(error) => abort_process(&error),
            };
            // The group's thread may have ended.
            let _ = reports.send(Input::Store(event));
        };
        let builder = std::thread::Builder::new().name("snapshot".to_owned());
        self.snapshot_job = Some(builder.spawn(work).expect("failed to start the snapshot thread"));
    }

    /// Waits until no snapshot is being stored: two must not write the file at once.
    fn join_snapshot_job(&mut self) {
        if let Some(job) = self.snapshot_job.take() {
            job.join().expect("the snapshot thread panicked");
        }
    }
}
