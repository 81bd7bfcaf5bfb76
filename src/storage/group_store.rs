use super::folder::write_synced;
use super::frame::{self, Parsed};
use super::recovery::Replayed;
use super::{Media, Recovered, StorageError};
use crate::consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

pub(super) const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// A record of the write-ahead log.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// The first record: the entry that the log starts behind.
    Base { index: u64, term: u64 },
    /// Term and vote.
    Hard(HardState),
    /// Replaces everything from its own index on.
    Entry(Entry),
}

/// Log and snapshot of one consensus group.
#[derive(Debug)]
pub struct GroupStore {
    folder: PathBuf,
    media: Box<dyn Media>,
    batch: Vec<u8>,
    /// Bytes of the log that are synced.
    end: u64,
    hard: HardState,
    failed: bool,
}

impl GroupStore {
    /// Opens or creates the group's folder and reads what it holds.
    ///
    /// # Errors
    /// On I/O errors, where a record before the tail is damaged, and where the snapshot is gone or
    /// older than the log.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).map_err(|cause| StorageError::io(folder, cause))?;
        let path = folder.join(LOG_FILE);
        let snapshot = read_snapshot(folder)?;
        let bytes = match read_whole(&path)? {
            Some(bytes) => bytes,
            None if snapshot.is_some() => return Err(StorageError::Missing { path }),
            None => create(folder)?,
        };
        let replayed = Replayed::read(&path, &bytes)?;
        let media = Box::new(open_log(&path, replayed.end)?);
        let end = replayed.end as u64;
        let start = replayed.start();
        let recovered = replayed.fit(&folder.join(SNAPSHOT_FILE), snapshot)?;
        sync_folder(folder)?;
        let hard = recovered.hard;
        let folder = folder.to_path_buf();
        let mut store = Self { folder, media, batch: Vec::new(), end, hard, failed: false };
        let cut_short = recovered.snapshot.as_ref().filter(|snapshot| snapshot.index != start);
        if let Some(snapshot) = cut_short {
            store.trim(snapshot, &recovered.entries)?;
        }
        Ok((store, recovered))
    }

    /// Sends the log's bytes elsewhere until the next compaction, such as to a disk that fails.
    pub fn redirect(&mut self, media: Box<dyn Media>) {
        self.media = media;
    }

    /// Adds term and vote to the next batch.
    pub fn put_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.batch = put(std::mem::take(&mut self.batch), &Record::Hard(hard));
    }

    /// Adds entries to the next batch; the first replaces everything from its index on.
    pub fn put_entries(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.batch = put(std::mem::take(&mut self.batch), &Record::Entry(entry.clone()));
        }
    }

    /// Writes the batch as one frame and syncs it.
    ///
    /// # Errors
    /// [`StorageError::NotWritten`] where nothing was written and the call may be repeated. Any other
    /// I/O error, and every later call after one: the caller must end the process, as what the file
    /// holds is unknown.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let path = self.folder.join(LOG_FILE);
        if self.failed {
            return Err(StorageError::Failed { path });
        }
        if self.batch.is_empty() {
            return Ok(());
        }
        let mut framed = Vec::with_capacity(self.batch.len() + frame::HEADER_BYTES);
        frame::write(&mut framed, &self.batch);
        if let Err(cause) = self.media.append(&framed) {
            self.failed = self.media.cut(self.end).is_err();
            return Err(match self.failed {
                true => StorageError::io(path, cause),
                false => StorageError::NotWritten { path, cause },
            });
        }
        self.batch.clear();
        let tried = self.media.sync();
        self.failed = tried.is_err();
        self.end += framed.len() as u64;
        tried.map_err(|cause| StorageError::io(path, cause))
    }

    /// Where this group's snapshots go; usable on another thread.
    pub fn snapshots(&self) -> SnapshotFile {
        SnapshotFile { folder: self.folder.clone() }
    }

    /// Rewrites the log to start behind a snapshot that is stored already.
    ///
    /// # Errors
    /// Any I/O error; the old log stays whole, and after [`StorageError::NotWritten`] in use.
    pub fn trim(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), StorageError> {
        self.sync()?;
        let Snapshot { index, term, .. } = *snapshot;
        let head = put(Vec::new(), &Record::Base { index, term });
        let mut batch = put(head, &Record::Hard(self.hard));
        for entry in tail {
            batch = put(batch, &Record::Entry(entry.clone()));
        }
        let framed = framed(&batch);
        write_synced(&self.folder, LOG_FILE, &framed)?;
        self.media = Box::new(open_log(&self.folder.join(LOG_FILE), framed.len())?);
        self.end = framed.len() as u64;
        Ok(())
    }

    /// Stores a snapshot, then rewrites the log to hold only the entries behind it.
    ///
    /// # Errors
    /// Any I/O error; the old files stay whole.
    pub fn compact(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), StorageError> {
        self.sync()?;
        self.snapshots().write(snapshot)?;
        self.trim(snapshot, tail)
    }
}

/// The snapshot file of one group.
#[derive(Debug)]
pub struct SnapshotFile {
    folder: PathBuf,
}

impl SnapshotFile {
    /// Replaces the stored snapshot; after a crash the old or the new one stands, whole.
    ///
    /// # Errors
    /// Any I/O error.
    pub fn write(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(snapshot).expect("snapshots always serialise");
        write_synced(&self.folder, SNAPSHOT_FILE, &framed(&payload))
    }
}

fn put(batch: Vec<u8>, record: &Record) -> Vec<u8> {
    postcard::to_extend(record, batch).expect("records always serialise")
}

fn framed(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
    frame::write(&mut out, payload);
    out
}

/// Puts a log without entries in place, whole.
fn create(folder: &Path) -> Result<Vec<u8>, StorageError> {
    let head = put(Vec::new(), &Record::Base { index: 0, term: 0 });
    let bytes = framed(&head);
    write_synced(folder, LOG_FILE, &bytes)?;
    Ok(bytes)
}

fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>, StorageError> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(bytes) = read_whole(&path)? else { return Ok(None) };
    let Parsed::Payload(payload, _) = frame::read(&bytes, 0) else {
        return Err(StorageError::Damaged { path, offset: 0 });
    };
    let parsed = postcard::from_bytes(payload);
    parsed.map(Some).map_err(|_| StorageError::Damaged { path, offset: 0 })
}

fn read_whole(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(StorageError::io(path, cause)),
    }
}

fn open_log(path: &Path, end: usize) -> Result<File, StorageError> {
    let wrap = |cause| StorageError::io(path, cause);
    let mut file = OpenOptions::new().write(true).open(path).map_err(wrap)?;
    file.set_len(end as u64).map_err(wrap)?;
    file.sync_all().map_err(wrap)?;
    std::io::Seek::seek(&mut file, std::io::SeekFrom::End(0)).map_err(wrap)?;
    Ok(file)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let tried = File::open(folder).and_then(|file| file.sync_all());
    tried.map_err(|cause| StorageError::io(folder, cause))
}
