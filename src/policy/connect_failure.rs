use std::io;

/// Why a server could not be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFailure {
    /// The host answered that nothing takes connections there: the way to it is sound.
    #[error("the connection was refused")]
    Refused,
    /// The server ended the connection right after it was opened: something takes connections
    /// there.
    #[error("the connection was reset as soon as it was opened")]
    Reset,
    /// No answer came in time, or there is no way to the host.
    #[error("the connection attempt got no answer")]
    Silent,
}

impl ConnectFailure {
    /// What it says of a server that never has too many connections: a reset is the end of a server
    /// that is stopping.
    #[must_use]
    pub fn of_uncapped(self) -> Self {
        match self {
            Self::Refused | Self::Reset => Self::Refused,
            Self::Silent => Self::Silent,
        }
    }
}

impl From<&io::Error> for ConnectFailure {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset => Self::Reset,
            _ => Self::Silent,
        }
    }
}
