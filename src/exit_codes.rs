//! Exit codes of both programs.

use std::process::ExitCode;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Everything that was asked for was done.
    Success,
    /// The request was understood and refused, for example a conflicting ticket.
    Refused,
    /// The command line, the settings or a file was wrong; nothing was done.
    Usage,
    /// The system could not be reached or did not answer in time.
    Unavailable,
    /// The ticket was accepted but was not seen in force in time.
    NotYet,
}

impl Exit {
    /// The number that the operating system sees.
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
            Exit::NotYet => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.number())
    }
}
