use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::Interest;

/// Shards of the registry, each with its own lock.
const SHARDS: usize = 16;
/// How long a request runs before its connection is watched for a disconnect.
const WATCH_DELAY: Duration = Duration::from_millis(50);
/// How often a connection with unread bytes is checked. Such a socket is always readable, so
/// waiting for it to become readable returns at once.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The sockets of the callers' open connections, by the callers' addresses.
///
/// The HTTP library does not read from a connection while it serves a request, so it would notice
/// that the caller has disconnected only when a write fails. The registry holds a duplicate of each
/// socket, with which a long request can watch its connection.
#[derive(Debug)]
pub struct ConnectionRegistry {
    shards: Vec<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

/// Keeps a connection registered until it is dropped.
#[derive(Debug)]
pub struct RegisteredConnection {
    registry: Arc<ConnectionRegistry>,
    address: SocketAddr,
}

impl ConnectionRegistry {
    /// Creates an empty registry.
    pub fn new() -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards })
    }

    /// Registers a caller's connection.
    ///
    /// # Errors
    /// If its socket cannot be duplicated, as when the process is out of file descriptors.
    pub fn register(
        self: &Arc<Self>,
        address: SocketAddr,
        stream: &TcpStream,
    ) -> io::Result<RegisteredConnection> {
        let duplicate = stream.try_clone()?;
        self.shard(address).lock().expect("registry lock").insert(address, duplicate);
        Ok(RegisteredConnection { registry: self.clone(), address })
    }

    /// Waits until the caller at `address` has closed its connection or the sending half of it.
    /// Never returns if the connection is not registered or its socket cannot be duplicated.
    pub async fn disconnected(self: Arc<Self>, address: SocketAddr) {
        tokio::time::sleep(WATCH_DELAY).await;
        let Some(stream) = self.clone_socket(address) else { return std::future::pending().await };
        loop {
            match stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(POLL_INTERVAL).await,
                _ => return,
            }
        }
    }

    fn clone_socket(&self, address: SocketAddr) -> Option<tokio::net::TcpStream> {
        let shard = self.shard(address).lock().expect("registry lock");
        let stream = shard.get(&address)?.try_clone().ok()?;
        tokio::net::TcpStream::from_std(stream).ok()
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, TcpStream>> {
        &self.shards[address.port() as usize % SHARDS]
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let mut shard = self.registry.shard(self.address).lock().expect("registry lock");
        shard.remove(&self.address);
    }
}
