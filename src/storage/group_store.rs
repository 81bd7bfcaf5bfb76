use super::folder::replace_file;
use super::frame::{self, ParsedFrame};
use super::recovery::ReplayedLog;
use super::{LogWriter, RecoveredState, StorageError};
use crate::consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

pub(super) const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// A record of the write-ahead log.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// The first record: index and term of the entry before the first entry of the log.
    LogStart { index: u64, term: u64 },
    /// Term and vote.
    HardState(HardState),
    /// An entry; it replaces all entries from its index on.
    Entry(Entry),
}

/// Log and snapshot of a consensus group on disk.
#[derive(Debug)]
pub struct GroupStore {
    folder: PathBuf,
    writer: Box<dyn LogWriter>,
    batch: Vec<u8>,
    /// Length of the synced part of the log.
    synced_bytes: u64,
    hard_state: HardState,
    failed: bool,
}

impl GroupStore {
    /// Opens the group's folder, or creates it, and reads the state stored there.
    ///
    /// # Errors
    /// If an I/O operation fails, if a record before the end of the log is corrupt, or if the
    /// snapshot is missing or ends before the log starts.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), StorageError> {
        fs::create_dir_all(folder).map_err(|cause| StorageError::io(folder, cause))?;
        let path = folder.join(LOG_FILE);
        let snapshot = read_snapshot(folder)?;
        let bytes = match read_if_exists(&path)? {
            Some(bytes) => bytes,
            None if snapshot.is_some() => return Err(StorageError::Missing { path }),
            None => create_log(folder)?,
        };
        let replayed = ReplayedLog::read(&path, &bytes)?;
        let writer = Box::new(open_log(&path, replayed.valid_bytes)?);
        let synced_bytes = replayed.valid_bytes as u64;
        let start = replayed.start_index();
        let recovered = replayed.reconcile(&folder.join(SNAPSHOT_FILE), snapshot)?;
        sync_folder(folder)?;
        let hard_state = recovered.hard_state;
        let folder = folder.to_path_buf();
        let mut store =
            Self { folder, writer, batch: Vec::new(), synced_bytes, hard_state, failed: false };
        // A crash may have interrupted a compaction before the log was rewritten.
        let newer = recovered.snapshot.as_ref().filter(|snapshot| snapshot.index != start);
        if let Some(snapshot) = newer {
            store.compact_log(snapshot, &recovered.entries)?;
        }
        Ok((store, recovered))
    }

    /// Sends the log's bytes to another writer until the next compaction. Lets a caller simulate a
    /// failing disk.
    pub fn set_writer(&mut self, writer: Box<dyn LogWriter>) {
        self.writer = writer;
    }

    /// Adds term and vote to the next batch.
    pub fn put_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.batch = encode_record(std::mem::take(&mut self.batch), &Record::HardState(hard_state));
    }

    /// Adds entries to the next batch. They replace all entries from the first one's index on.
    pub fn put_entries(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.batch =
                encode_record(std::mem::take(&mut self.batch), &Record::Entry(entry.clone()));
        }
    }

    /// Writes the batch as one frame and syncs it.
    ///
    /// # Errors
    /// [`StorageError::NotWritten`] if nothing was written and the call may be retried. After any
    /// other error the contents of the file are unknown: all later calls fail, and the caller must
    /// end the process.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let path = self.folder.join(LOG_FILE);
        if self.failed {
            return Err(StorageError::EarlierWriteFailed { path });
        }
        if self.batch.is_empty() {
            return Ok(());
        }
        let mut framed = Vec::with_capacity(self.batch.len() + frame::HEADER_BYTES);
        frame::append(&mut framed, &self.batch);
        if let Err(cause) = self.writer.append(&framed) {
            self.failed = self.writer.truncate(self.synced_bytes).is_err();
            return Err(match self.failed {
                true => StorageError::io(path, cause),
                false => StorageError::NotWritten { path, cause },
            });
        }
        self.batch.clear();
        let synced = self.writer.sync();
        self.failed = synced.is_err();
        self.synced_bytes += framed.len() as u64;
        synced.map_err(|cause| StorageError::io(path, cause))
    }

    /// The group's snapshot file, for use on another thread.
    pub fn snapshot_file(&self) -> SnapshotFile {
        SnapshotFile { folder: self.folder.clone() }
    }

    /// Rewrites the log to start after a snapshot that is already stored. `tail` holds the entries
    /// after the snapshot.
    ///
    /// # Errors
    /// Any I/O error. The old log stays intact, and remains in use after
    /// [`StorageError::NotWritten`].
    pub fn compact_log(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), StorageError> {
        self.sync()?;
        let Snapshot { index, term, .. } = *snapshot;
        let head = encode_record(Vec::new(), &Record::LogStart { index, term });
        let mut batch = encode_record(head, &Record::HardState(self.hard_state));
        for entry in tail {
            batch = encode_record(batch, &Record::Entry(entry.clone()));
        }
        let framed = frame_payload(&batch);
        replace_file(&self.folder, LOG_FILE, &framed)?;
        self.writer = Box::new(open_log(&self.folder.join(LOG_FILE), framed.len())?);
        self.synced_bytes = framed.len() as u64;
        Ok(())
    }

    /// Stores a snapshot, then rewrites the log to hold only `tail`, the entries after the
    /// snapshot.
    ///
    /// # Errors
    /// Any I/O error. The old files stay intact.
    pub fn compact(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), StorageError> {
        self.sync()?;
        self.snapshot_file().write(snapshot)?;
        self.compact_log(snapshot, tail)
    }
}

/// The snapshot file of a consensus group.
#[derive(Debug)]
pub struct SnapshotFile {
    folder: PathBuf,
}

impl SnapshotFile {
    /// Replaces the stored snapshot atomically: after a crash the file holds either the old or the
    /// new snapshot, complete.
    ///
    /// # Errors
    /// Any I/O error.
    pub fn write(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(snapshot).expect("snapshots always serialise");
        replace_file(&self.folder, SNAPSHOT_FILE, &frame_payload(&payload))
    }
}

/// Appends an encoded record to a batch.
fn encode_record(batch: Vec<u8>, record: &Record) -> Vec<u8> {
    postcard::to_extend(record, batch).expect("records always serialise")
}

fn frame_payload(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
    frame::append(&mut out, payload);
    out
}

/// Creates a log without entries, atomically, and returns its contents.
fn create_log(folder: &Path) -> Result<Vec<u8>, StorageError> {
    let head = encode_record(Vec::new(), &Record::LogStart { index: 0, term: 0 });
    let bytes = frame_payload(&head);
    replace_file(folder, LOG_FILE, &bytes)?;
    Ok(bytes)
}

fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>, StorageError> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(bytes) = read_if_exists(&path)? else { return Ok(None) };
    let ParsedFrame::Payload(payload, _) = frame::parse(&bytes, 0) else {
        return Err(StorageError::Corrupt { path, offset: 0 });
    };
    let parsed = postcard::from_bytes(payload);
    parsed.map(Some).map_err(|_| StorageError::Corrupt { path, offset: 0 })
}

fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(StorageError::io(path, cause)),
    }
}

/// Opens a log for appending and truncates it to `end` bytes.
fn open_log(path: &Path, end: usize) -> Result<File, StorageError> {
    let wrap = |cause| StorageError::io(path, cause);
    let mut file = OpenOptions::new().write(true).open(path).map_err(wrap)?;
    file.set_len(end as u64).map_err(wrap)?;
    file.sync_all().map_err(wrap)?;
    std::io::Seek::seek(&mut file, std::io::SeekFrom::End(0)).map_err(wrap)?;
    Ok(file)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|cause| StorageError::io(folder, cause))
}
