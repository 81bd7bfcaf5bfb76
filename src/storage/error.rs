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
