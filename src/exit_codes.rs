//! Exit codes of the daemon and the command-line tool.

use std::process::ExitCode;

/// Result of a program, as reported by its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded (0).
    Success,
    /// The daemon understood the request and refused it, for example a conflicting ticket; or a check
    /// of a configuration found something (1).
    Refused,
    /// The command line, the settings or an input file is invalid, or a configuration could not
    /// be checked; nothing was done (2).
    Usage,
    /// A daemon, port or data folder is unavailable, or no answer came in time (3).
    Unavailable,
    /// The ticket was accepted, but was not confirmed to be in force before the timeout (4).
    NotInForce,
}

impl Exit {
    /// The numeric exit code, 0 to 4.
    ///
    /// ```
    /// assert_eq!(samphireshift::exit_codes::Exit::Usage.number(), 2);
    /// ```
    pub fn number(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unavailable => 3,
            Exit::NotInForce => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.number())
    }
}
