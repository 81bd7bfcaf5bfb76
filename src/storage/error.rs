use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why durable state could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system reported an error; after a failed sync nothing more may be trusted.
    #[error("{path}: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        cause: io::Error,
    },
    /// Nothing was written, as on a full disk; what was stored before is whole, and the same may be
    /// written again.
    #[error("{path}: nothing was written: {cause}; make room on the disk")]
    NotWritten {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        cause: io::Error,
    },
    /// A record before the tail is damaged.
    #[error(
        "{path}: damaged record at byte {offset}; move the data folder away, the VM then rejoins as a new member"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damaged record starts, in bytes.
        offset: u64,
    },
    /// A file that must be there is gone.
    #[error("{path}: missing; move the data folder away, the VM then rejoins as a new member")]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// The snapshot is gone or older than the log, so entries in between are lost here.
    #[error(
        "{path}: reaches entry {found} only, but the log starts behind entry {wanted}; move the data folder away, the VM then rejoins as a new member"
    )]
    Older {
        /// The snapshot's file.
        path: PathBuf,
        /// The last entry that the snapshot includes; 0 without a snapshot.
        found: u64,
        /// The entry that the log starts behind.
        wanted: u64,
    },
    /// An earlier write or sync failed, so what the file holds is unknown.
    #[error("{path}: an earlier write failed")]
    Failed {
        /// The file.
        path: PathBuf,
    },
    /// The folder belongs to another VM.
    #[error("{path}: belongs to VM '{found}', not to '{wanted}'; give this VM a folder of its own")]
    WrongVm {
        /// The folder.
        path: PathBuf,
        /// The VM that made the folder.
        found: String,
        /// The VM named in the settings.
        wanted: String,
    },
}

impl StorageError {
    /// Wraps an I/O error with its path.
    pub fn io<P>(path: P, cause: io::Error) -> Self
    where
        P: Into<PathBuf>,
    {
        Self::Io { path: path.into(), cause }
    }
}
