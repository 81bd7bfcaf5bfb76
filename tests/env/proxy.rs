//! A TCP proxy within the test process that injects network faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// Heads of the requests that a proxy read, and when: before a fault holds them back.
type Requests = Arc<Mutex<Vec<(Instant, String)>>>;

/// A network fault that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards everything.
    None,
    /// Closes open connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Open connections stay open and new ones are accepted, but nothing is forwarded.
    Stall,
    /// Connections opened before the fault was set are stalled; new ones work.
    StallExisting,
    /// Nothing is forwarded from the client to the target.
    StallForward,
    /// Nothing is forwarded from the target to the client: requests arrive, responses are lost.
    StallBack,
    /// Every chunk of data is forwarded after this delay.
    Delay(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Mode {
    fault: ProxyFault,
    /// Incremented at every change of the fault.
    epoch: u64,
}

/// A handle to a running proxy, which ends with the Tokio runtime of the test.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    accepted: Arc<AtomicU64>,
    requests: Requests,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`, on a free port of the same IP address.
    pub async fn spawn(target: SocketAddr) -> Self {
        Self::spawn_at(SocketAddr::new(target.ip(), 0), target).await
    }

    /// The same, on an address of the test's choice.
    pub async fn spawn_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let mode = Arc::new(watch::Sender::new(Mode { fault: ProxyFault::None, epoch: 0 }));
        let proxy = Self { address, mode, accepted: Arc::default(), requests: Arc::default() };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    /// Sets the current fault; [`ProxyFault::None`] ends it.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.mode.send_modify(|mode| *mode = Mode { fault, epoch: mode.epoch + 1 });
    }

    /// Number of connections accepted so far, without those closed at once.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// When the head of each request was read from a client, and that head.
    pub fn requests(&self) -> Vec<(Instant, String)> {
        self.requests.lock().unwrap().clone()
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            if self.mode.borrow().fault == ProxyFault::Disconnect {
                continue;
            }
            self.accepted.fetch_add(1, Ordering::SeqCst);
            let requests = self.requests.clone();
            tokio::spawn(relay(client, target, self.mode.subscribe(), requests));
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>, log: Requests) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut disconnect = mode.clone();
    let heard = |bytes: &[u8]| {
        let head = request_head(bytes);
        log.lock().unwrap().extend(head.map(|head| (Instant::now(), head)));
    };
    let stall = ProxyFault::StallForward;
    let requests = forward_data(client_read, server_write, mode.clone(), stall, heard);
    let responses = forward_data(server_read, client_write, mode, ProxyFault::StallBack, |_| ());
    tokio::select! {
        _ = async { tokio::join!(requests, responses) } => {}
        _ = disconnect.wait_for(|mode| mode.fault == ProxyFault::Disconnect) => {}
    }
}

/// Forwards the data of one direction; `stall` is the fault that stalls only this direction.
async fn forward_data(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    stall: ProxyFault,
    heard: impl Fn(&[u8]),
) {
    let start_epoch = mode.borrow().epoch;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        heard(&buffer[..read]);
        let stalled = |mode: &Mode| match mode.fault {
            ProxyFault::Stall => true,
            ProxyFault::StallExisting => mode.epoch > start_epoch,
            fault => fault == stall,
        };
        if mode.wait_for(|mode| !stalled(mode)).await.is_err() {
            return;
        }
        let fault = mode.borrow().fault;
        if let ProxyFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// The head of a request that begins here.
fn request_head(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    head.lines().next()?.ends_with(" HTTP/1.1").then(|| head.to_owned())
}
