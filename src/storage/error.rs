use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why durable state could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// An operation on a file or folder failed. After a failed sync the contents of the file are
    /// unknown.
    #[error("{path}: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error from the operating system.
        cause: io::Error,
    },
    /// Nothing was written, for example because the disk is full. The data stored before is intact,
    /// and the write may be retried.
    #[error("{path}: nothing was written: {cause}; free up space on the disk")]
    NotWritten {
        /// The file.
        path: PathBuf,
        /// The error from the operating system.
        cause: io::Error,
    },
    /// A record that is not at the end of the file is corrupt, or the file cannot be parsed.
    #[error(
        "{path}: corrupt record at byte {offset}; move the data folder away, the VM then rejoins as a new member"
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the corrupt record starts, in bytes.
        offset: u64,
    },
    /// A required file does not exist.
    #[error(
        "{path}: file is missing; move the data folder away, the VM then rejoins as a new member"
    )]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// There is no snapshot, or it ends before the log starts, so the entries in between are lost
    /// on this VM.
    #[error(
        "{path}: snapshot ends at entry {snapshot_index}, but the log starts after entry {log_start}; move the data folder away, the VM then rejoins as a new member"
    )]
    SnapshotTooOld {
        /// The snapshot file.
        path: PathBuf,
        /// Index of the last entry that the snapshot includes; 0 without a snapshot.
        snapshot_index: u64,
        /// Index of the entry before the first entry of the log.
        log_start: u64,
    },
    /// An earlier write or sync failed, so the contents of the file are unknown.
    #[error("{path}: an earlier write failed")]
    EarlierWriteFailed {
        /// The file.
        path: PathBuf,
    },
    /// The folder belongs to another VM.
    #[error(
        "{path}: belongs to VM '{found}', not to '{expected}'; use a separate folder for each VM"
    )]
    WrongVm {
        /// The folder.
        path: PathBuf,
        /// The VM that created the folder.
        found: String,
        /// The VM named in the settings.
        expected: String,
    },
}

impl StorageError {
    /// Creates an I/O error with the path that it concerns.
    pub fn io<P>(path: P, cause: io::Error) -> Self
    where
        P: Into<PathBuf>,
    {
        Self::Io { path: path.into(), cause }
    }
}
