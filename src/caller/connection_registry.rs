use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::Interest;

/// The shards of the table, each under its own lock.
const SHARDS: usize = 16;
/// Requests that take no longer than this are not watched.
const PATIENCE: Duration = Duration::from_millis(50);
/// How often a connection with unread bytes is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// The callers' open connections, by their addresses.
///
/// The HTTP library does not read a connection while its request is being served, so that it would
/// learn that the caller has left only by writing to it. Each connection's socket is kept here a
/// second time, so that a request which takes long can watch it.
#[derive(Debug)]
pub struct Presence {
    shards: Vec<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

/// A connection that is in the table until this is dropped.
#[derive(Debug)]
pub struct Present {
    presence: Arc<Presence>,
    address: SocketAddr,
}

impl Presence {
    /// Starts with no connection.
    pub fn open() -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards })
    }

    /// Takes a connection in.
    ///
    /// # Errors
    /// Where its socket cannot be kept twice, for want of descriptors.
    pub fn enter(self: &Arc<Self>, address: SocketAddr, stream: &TcpStream) -> io::Result<Present> {
        let second = stream.try_clone()?;
        self.shard(address).lock().expect("presence lock").insert(address, second);
        Ok(Present { presence: self.clone(), address })
    }

    /// Waits until the caller at `address` has closed its connection, or its sending half.
    pub async fn gone(self: Arc<Self>, address: SocketAddr) {
        tokio::time::sleep(PATIENCE).await;
        let Some(stream) = self.watch(address) else { return std::future::pending().await };
        loop {
            match stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(LOOK_EVERY).await,
                _ => return,
            }
        }
    }

    fn watch(&self, address: SocketAddr) -> Option<tokio::net::TcpStream> {
        let shard = self.shard(address).lock().expect("presence lock");
        let stream = shard.get(&address)?.try_clone().ok()?;
        tokio::net::TcpStream::from_std(stream).ok()
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, TcpStream>> {
        &self.shards[address.port() as usize % SHARDS]
    }
}

impl Drop for Present {
    fn drop(&mut self) {
        let mut shard = self.presence.shard(self.address).lock().expect("presence lock");
        shard.remove(&self.address);
    }
}
