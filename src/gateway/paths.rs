//! Whether this router reaches the servers of each pool, and finding out where it is not clear.

use super::Gateway;
use crate::group::since_start;
use crate::name::{PoolName, VmName};
use crate::policy::{MIN_SILENCE, PathMonitor, PathState};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Time limit for the connection with which a silent pool is tried.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Servers that are tried at the same time while a path may be lost.
const PROBES: usize = 3;
/// How often a server is tried while the path to its pool is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before further servers are tried after the first did not accept.
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// How long a silent pool is not tried again after one of its servers accepted a connection.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// The path to the servers of one pool.
#[derive(Debug)]
pub struct PoolPath {
    pool: PoolName,
    monitor: Mutex<PathMonitor>,
    /// When bytes of a response last came, in ms since process start.
    heard_at: AtomicU64,
    /// When a server last accepted a connection with which it was tried, in ms since process start.
    probed_at: AtomicU64,
    is_probing: AtomicBool,
    lost: watch::Sender<bool>,
}

/// The paths to all pools.
#[derive(Debug, Default)]
pub struct Paths {
    pools: Mutex<HashMap<PoolName, Arc<PoolPath>>>,
}

fn now_ms() -> u64 {
    since_start().as_millis() as u64
}

impl Paths {
    /// The path to a pool.
    pub fn pool(&self, pool: &PoolName) -> Arc<PoolPath> {
        let mut pools = self.pools.lock().expect("paths lock");
        if let Some(path) = pools.get(pool) {
            return path.clone();
        }
        let path = Arc::new(PoolPath {
            pool: pool.clone(),
            monitor: Mutex::default(),
            heard_at: AtomicU64::new(now_ms()),
            probed_at: AtomicU64::new(0),
            is_probing: AtomicBool::new(false),
            lost: watch::Sender::new(false),
        });
        pools.insert(pool.clone(), path.clone());
        path
    }

    /// The pools that cannot be reached.
    pub fn lost_pools(&self) -> Vec<PoolName> {
        let pools = self.pools.lock().expect("paths lock");
        let lost = pools.values().filter(|path| path.is_lost());
        lost.map(|path| path.pool.clone()).collect()
    }
}

impl PoolPath {
    /// Bytes of a response have come.
    pub fn record_heard(&self) {
        self.heard_at.store(now_ms(), Ordering::Relaxed);
        if self.is_lost() {
            log::info!("pool {} answers again", self.pool);
            self.record_connected();
        }
    }

    /// A connection to a server was opened.
    pub fn record_connected(&self) {
        self.monitor.lock().expect("path lock").record_connected();
        if self.lost.send_replace(false) {
            log::info!("pool {} can be reached again", self.pool);
        }
    }

    /// A server could not be connected to.
    pub fn record_unreached(self: &Arc<Self>, gateway: &Arc<Gateway>, server: &VmName) {
        self.monitor.lock().expect("path lock").record_unreached(server);
        if self.state(gateway) != PathState::Open {
            self.probe(gateway);
        }
    }

    /// Whether no server of the pool can be reached.
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Whether no new connection to a server of the pool can be opened.
    pub fn refuses_connections(&self, gateway: &Gateway) -> bool {
        self.state(gateway) != PathState::Open
    }

    fn state(&self, gateway: &Gateway) -> PathState {
        let servers = gateway.servers.pool(&self.pool);
        let mut monitor = self.monitor.lock().expect("path lock");
        monitor.retain(|name| servers.iter().any(|server| server.vm.name == *name));
        monitor.state(servers.len(), self.silence())
    }

    /// How long no byte has come from any server of the pool.
    fn silence(&self) -> Duration {
        Duration::from_millis(now_ms().saturating_sub(self.heard_at.load(Ordering::Relaxed)))
    }

    /// Waits until the path is lost. To be called while a server owes a response: if the whole pool
    /// is silent, its servers are tried.
    pub async fn until_lost(self: &Arc<Self>, gateway: &Arc<Gateway>) {
        let mut lost = self.lost.subscribe();
        loop {
            // The sender lives as long as this path.
            let changed = lost.wait_for(|lost| *lost);
            if tokio::time::timeout(MIN_SILENCE, changed).await.is_ok() {
                return;
            }
            let since_probe = now_ms().saturating_sub(self.probed_at.load(Ordering::Relaxed));
            if self.silence() >= MIN_SILENCE && since_probe >= PROBE_PAUSE.as_millis() as u64 {
                self.probe(gateway);
            }
        }
    }

    /// Tries servers of the pool until one accepts a connection, unless that is under way.
    fn probe(self: &Arc<Self>, gateway: &Arc<Gateway>) {
        if !self.is_probing.swap(true, Ordering::Relaxed) {
            tokio::spawn(self.clone().probe_until_reached(gateway.clone()));
        }
    }

    async fn probe_until_reached(self: Arc<Self>, gateway: Arc<Gateway>) {
        let mut count = 1;
        loop {
            let servers = gateway.servers.pool(&self.pool);
            if servers.is_empty() || self.probe_some(&gateway, count).await {
                break;
            }
            if self.state(&gateway) == PathState::Lost && !self.lost.send_replace(true) {
                let silent_ms = self.silence().as_millis();
                log::warn!(
                    "no server of pool {} can be reached, silent for {silent_ms} ms; its calls are \
                     passed on to other routers",
                    self.pool
                );
            }
            let is_open = self.state(&gateway) == PathState::Open;
            count = if is_open { PROBES } else { 1 };
            tokio::time::sleep(if is_open { RECHECK_DELAY } else { PROBE_INTERVAL }).await;
        }
        self.record_connected();
        self.probed_at.store(now_ms(), Ordering::Relaxed);
        self.is_probing.store(false, Ordering::Relaxed);
    }

    /// Tries to connect to some servers at the same time. Returns whether one accepted.
    async fn probe_some(&self, gateway: &Gateway, count: usize) -> bool {
        let servers = gateway.servers.pool(&self.pool);
        let chosen: Vec<_> = servers.choose_multiple(&mut rand::rng(), count).cloned().collect();
        let tries = chosen.iter().map(|server| connects(server.vm.address));
        let reached = futures::future::join_all(tries).await;
        let mut monitor = self.monitor.lock().expect("path lock");
        for (server, is_reached) in chosen.iter().zip(&reached) {
            if !is_reached {
                monitor.record_unreached(&server.vm.name);
            }
        }
        reached.contains(&true)
    }
}

async fn connects(address: SocketAddr) -> bool {
    matches!(tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
