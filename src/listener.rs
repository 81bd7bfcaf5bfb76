//! Ports that a daemon accepts connections on.

use crate::error::Error;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The most connections that the kernel keeps until the daemon accepts them. Beyond it a caller's first packet is
/// dropped, and sent again only after a second; the kernel may allow less.
pub const MAX_BACKLOG: u16 = 4_096;

/// Listens on an address.
///
/// # Errors
/// [`Error::Bind`] if the port cannot be opened.
///
/// ```
/// use samphireshift::listener::bind;
/// let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert!(std::net::TcpStream::connect(listener.local_addr().unwrap()).is_ok());
/// ```
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    listen(address).map_err(|cause| bind_error(address, cause))
}

/// The error for a port that cannot be opened or used.
pub fn bind_error(address: SocketAddr, cause: io::Error) -> Error {
    Error::Bind { address: address.to_string(), cause }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A port can be bound again while connections of the last process on it still end.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(MAX_BACKLOG.into())?;
    Ok(socket.into())
}
