//! The error type of the daemon and the command-line tool.

use crate::exit_codes::Exit;
use crate::settings::SettingsErrors;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends a program or a command; its text is printed to standard error.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file has missing, unknown or invalid entries.
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    /// A file cannot be read or written.
    #[error("{path}: {cause}; check that the file exists and that this user may access it")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        cause: io::Error,
    },
    /// A port cannot be bound, or another resource of the process (a signal handler, a thread, the
    /// async runtime) cannot be set up.
    #[error("cannot open {address}: {cause}; if it is a port, check that it is free")]
    Bind {
        /// The socket address from the settings, or the name of the resource.
        address: String,
        /// The error from the operating system.
        cause: io::Error,
    },
    /// The data folder cannot be opened, read or written.
    #[error("data folder: {0}")]
    Storage(#[from] crate::storage::StorageError),
    /// A daemon did not answer a request of the command-line tool.
    #[error("cannot reach {address}: {cause}; check that the daemon is running")]
    Unreachable {
        /// The operator address of the daemon.
        address: String,
        /// The connection error or timeout.
        cause: String,
    },
    /// A daemon understood the request and refused it.
    #[error("{message}")]
    Refused {
        /// The reason that the daemon gave.
        message: String,
    },
    /// The check of a configuration found something.
    #[error("{message}")]
    Findings {
        /// The file, and how much was found.
        message: String,
    },
    /// A configuration could not be checked, or not be compared with the version in force.
    #[error("cannot check: {message}")]
    CannotCheck {
        /// The reason, and what to try.
        message: String,
    },
    /// An argument or input file of a command, or the response of a daemon, is invalid.
    #[error("{message}")]
    InvalidInput {
        /// What is invalid, and what to try.
        message: String,
    },
    /// A ticket was accepted, but its revision was not in force on all routers before the timeout.
    #[error("{message}")]
    NotInForce {
        /// The revision and the routers that have not confirmed it, as far as known.
        message: String,
    },
}

impl Error {
    /// Exit code of a program that ends with this error.
    pub fn exit_code(&self) -> Exit {
        match self {
            Error::Settings(_)
            | Error::File { .. }
            | Error::InvalidInput { .. }
            | Error::CannotCheck { .. } => Exit::Usage,
            Error::Bind { .. } | Error::Storage(_) | Error::Unreachable { .. } => Exit::Unavailable,
            Error::Refused { .. } | Error::Findings { .. } => Exit::Refused,
            Error::NotInForce { .. } => Exit::NotInForce,
        }
    }
}
