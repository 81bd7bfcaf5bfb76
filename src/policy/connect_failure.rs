use std::io;

/// Why a server could not be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFailure {
    /// The host answered that nothing takes connections there: the way to it is sound.
    #[error("the connection was refused")]
    Refused,
    /// No answer came in time, or there is no way to the host.
    #[error("the connection attempt got no answer")]
    Silent,
}

impl From<&io::Error> for ConnectFailure {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Self::Refused,
            _ => Self::Silent,
        }
    }
}
