use super::StorageError;
use super::folder::write_synced;
use super::frame::{self, Parsed};
use crate::consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// A record of the write-ahead log.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Hard(HardState),
    /// Replaces everything from its own index on.
    Entry(Entry),
}

/// What was found at open.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
}

/// Log and snapshot of one consensus group.
#[derive(Debug)]
pub struct GroupStore {
    folder: PathBuf,
    file: File,
    buffer: Vec<u8>,
    hard: HardState,
}

impl GroupStore {
    /// Opens or creates the group's folder and reads what it holds.
    ///
    /// # Errors
    /// On I/O errors, and where a record before the tail is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).map_err(|cause| StorageError::io(folder, cause))?;
        let snapshot = read_snapshot(folder)?;
        let path = folder.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(cause) => return Err(StorageError::io(&path, cause)),
        };
        let (mut recovered, end) = replay(&path, &bytes)?;
        if let Some(snapshot) = &snapshot {
            recovered.entries.retain(|entry| entry.index > snapshot.index);
        }
        recovered.snapshot = snapshot;
        let file = open_log(&path, end)?;
        sync_folder(folder)?;
        let hard = recovered.hard;
        let store = Self { folder: folder.to_path_buf(), file, buffer: Vec::new(), hard };
        Ok((store, recovered))
    }

    /// Adds term and vote to the next batch.
    pub fn put_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.put(&Record::Hard(hard));
    }

    /// Adds entries to the next batch; the first replaces everything from its index on.
    pub fn put_entries(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.put(&Record::Entry(entry.clone()));
        }
    }

    fn put(&mut self, record: &Record) {
        let payload = postcard::to_stdvec(record).expect("records always serialise");
        frame::write(&mut self.buffer, &payload);
    }

    /// Writes the batch and syncs it.
    ///
    /// # Errors
    /// Any I/O error; the caller must then end the process, as the file's state is unknown.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let tried = self.file.write_all(&self.buffer).and_then(|()| self.file.sync_data());
        tried.map_err(|cause| StorageError::io(self.folder.join(LOG_FILE), cause))?;
        self.buffer.clear();
        Ok(())
    }

    /// Stores a snapshot, then rewrites the log to hold only the entries behind it.
    ///
    /// # Errors
    /// Any I/O error; the old files stay whole.
    pub fn compact(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), StorageError> {
        self.sync()?;
        let mut framed = Vec::new();
        let payload = postcard::to_stdvec(snapshot).expect("snapshots always serialise");
        frame::write(&mut framed, &payload);
        write_synced(&self.folder, SNAPSHOT_FILE, &framed)?;
        self.put_hard(self.hard);
        self.put_entries(tail);
        let bytes = std::mem::take(&mut self.buffer);
        write_synced(&self.folder, LOG_FILE, &bytes)?;
        self.file = open_log(&self.folder.join(LOG_FILE), bytes.len())?;
        Ok(())
    }
}

fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>, StorageError> {
    let path = folder.join(SNAPSHOT_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(cause) => return Err(StorageError::io(&path, cause)),
    };
    let Parsed::Record(payload, _) = frame::read(&bytes, 0) else {
        return Err(StorageError::Damaged { path, offset: 0 });
    };
    let parsed = postcard::from_bytes(payload);
    parsed.map(Some).map_err(|_| StorageError::Damaged { path, offset: 0 })
}

fn replay(path: &Path, bytes: &[u8]) -> Result<(Recovered, usize), StorageError> {
    let mut recovered = Recovered::default();
    let mut offset = 0;
    loop {
        let payload = match frame::read(bytes, offset) {
            Parsed::Record(payload, next) => {
                offset = next;
                payload
            }
            Parsed::End => return Ok((recovered, offset)),
            Parsed::Bad if frame::intact_after(bytes, offset) => {
                let path = path.to_path_buf();
                return Err(StorageError::Damaged { path, offset: offset as u64 });
            }
            Parsed::Bad => return Ok((recovered, offset)),
        };
        let record = postcard::from_bytes(payload);
        let damaged = |_| StorageError::Damaged { path: path.to_path_buf(), offset: offset as u64 };
        match record.map_err(damaged)? {
            Record::Hard(hard) => recovered.hard = hard,
            Record::Entry(entry) => {
                let keep = recovered.entries.partition_point(|old: &Entry| old.index < entry.index);
                recovered.entries.truncate(keep);
                recovered.entries.push(entry);
            }
        }
    }
}

fn open_log(path: &Path, end: usize) -> Result<File, StorageError> {
    let wrap = |cause| StorageError::io(path, cause);
    let mut file = OpenOptions::new()
        .create(true)
        .read(true)
        .write(true)
        .truncate(false)
        .open(path)
        .map_err(wrap)?;
    file.set_len(end as u64).map_err(wrap)?;
    file.sync_all().map_err(wrap)?;
    std::io::Seek::seek(&mut file, std::io::SeekFrom::End(0)).map_err(wrap)?;
    Ok(file)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let tried = File::open(folder).and_then(|file| file.sync_all());
    tried.map_err(|cause| StorageError::io(folder, cause))
}
