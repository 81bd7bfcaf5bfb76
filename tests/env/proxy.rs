//! A TCP proxy in the test's process that brings faults about.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Passes everything on.
    None,
    /// Refuses new connections and closes those that are open.
    Cut,
    /// Connections that are open stay so, and accepted ones too, but nothing passes.
    Stall,
    /// Connections opened before go silent for good; new ones work.
    StallOld,
    /// Nothing passes from the connecting end.
    StallForward,
    /// Nothing passes to the connecting end: requests arrive, answers are lost.
    StallBack,
    /// Everything passes late.
    Delay(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Mode {
    fault: Fault,
    /// Rises with every change.
    epoch: u64,
}

/// A running proxy; it ends with the test's runtime.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    accepted: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let mode = Arc::new(watch::Sender::new(Mode { fault: Fault::None, epoch: 0 }));
        let proxy = Self { address, mode, accepted: Arc::default() };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    /// Brings a fault about, or ends it.
    pub fn set(&self, fault: Fault) {
        self.mode.send_modify(|mode| *mode = Mode { fault, epoch: mode.epoch + 1 });
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            if self.mode.borrow().fault == Fault::Cut {
                continue;
            }
            self.accepted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(carry(near, target, self.mode.subscribe()));
        }
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let mut cut = mode.clone();
    let forward = pump(near_in, far_out, mode.clone(), Fault::StallForward);
    let back = pump(far_in, near_out, mode, Fault::StallBack);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        _ = cut.wait_for(|mode| mode.fault == Fault::Cut) => {}
    }
}

/// Passes one direction on; `own` is the fault that stalls just this direction.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    own: Fault,
) {
    let born = mode.borrow().epoch;
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        let silent = |mode: &Mode| match mode.fault {
            Fault::Stall => true,
            Fault::StallOld => mode.epoch > born,
            fault => fault == own,
        };
        if mode.wait_for(|mode| !silent(mode)).await.is_err() {
            return;
        }
        let late = mode.borrow().fault;
        if let Fault::Delay(by) = late {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
