//! Errors that end a program or a command.

use crate::exit_codes::Exit;
use crate::settings::SettingsErrors;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a program or command could not do what was asked.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file was wrong.
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    /// A file could not be read or written.
    #[error("{path}: {cause}; check that the file exists and may be read")]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        cause: io::Error,
    },
    /// A port could not be bound.
    #[error("cannot listen on {address}: {cause}; is another process using the port?")]
    Bind {
        /// The address from the settings.
        address: String,
        /// What the operating system said.
        cause: io::Error,
    },
    /// The data folder could not be used.
    #[error("data folder: {0}")]
    Storage(#[from] crate::storage::StorageError),
    /// A daemon could not be reached.
    #[error("cannot reach {address}: {cause}; is the daemon running?")]
    Unreachable {
        /// The operator address.
        address: String,
        /// What went wrong.
        cause: String,
    },
    /// A daemon answered with a refusal.
    #[error("{message}")]
    Refused {
        /// What the daemon said.
        message: String,
    },
    /// The input of a command was wrong.
    #[error("{message}")]
    Input {
        /// What was wrong and what to try.
        message: String,
    },
    /// A ticket was accepted but not seen in force in time.
    #[error("{message}")]
    NotYet {
        /// What is known.
        message: String,
    },
}

impl Error {
    /// The exit code that stands for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Settings(_) | Error::File { .. } | Error::Input { .. } => Exit::Usage,
            Error::Bind { .. } | Error::Storage(_) | Error::Unreachable { .. } => Exit::Unavailable,
            Error::Refused { .. } => Exit::Refused,
            Error::NotYet { .. } => Exit::NotYet,
        }
    }
}
