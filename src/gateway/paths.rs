//! Whether this router reaches the servers of each pool, and finding out where it is not clear.

use super::Gateway;
use super::path_sweep::Sweep;
use super::server_table::ServerState;
use crate::group::since_start;
use crate::name::{PoolName, VmName};
use crate::policy::{ConnectFailure, MIN_SILENCE, PathMonitor, PathState};
use rand::seq::IndexedRandom;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// How often servers are tried while none accepts connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Turns in which all servers of a pool are tried once, on average, while none accepts connections.
const TURNS_FOR_ALL: usize = 5;
/// A path is narrow if a pool has more than this many times the servers that can be reached.
const NARROW_PATH_FACTOR: usize = 4;
/// Delay before the servers are tried again if the list has grown meanwhile.
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
    /// The longest pause that a route allows within an answer of this pool, in ms.
    gap: AtomicU64,
    /// When a server last accepted a connection with which it was tried, in ms since process start.
    probed_at: AtomicU64,
    is_probing: AtomicBool,
    lost: watch::Sender<bool>,
    /// Whether few servers can be reached, and the hosts of most others don't answer.
    is_narrow: AtomicBool,
    /// The servers whose hosts did not answer when one of the pool last accepted a connection.
    silent: Mutex<BTreeSet<VmName>>,
    /// The servers that did not accept a connection when one of the pool last did.
    unreached: watch::Sender<BTreeSet<VmName>>,
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
            gap: AtomicU64::new(0),
            probed_at: AtomicU64::new(0),
            is_probing: AtomicBool::new(false),
            lost: watch::Sender::new(false),
            is_narrow: AtomicBool::new(false),
            silent: Mutex::default(),
            unreached: watch::Sender::default(),
        });
        pools.insert(pool.clone(), path.clone());
        path
    }

    /// The pools that cannot be reached, or hardly.
    pub fn lost_pools(&self) -> Vec<PoolName> {
        let pools = self.pools.lock().expect("paths lock");
        let lost = pools.values().filter(|path| path.is_lost() || path.is_narrow());
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

    /// A sound server may be silent for so long within an answer.
    pub fn allow_gap(&self, gap: Duration) {
        self.gap.fetch_max(gap.as_millis() as u64, Ordering::Relaxed);
    }

    /// A connection to a server was opened.
    pub fn record_connected(&self) {
        self.monitor.lock().expect("path lock").record_connected();
        if self.lost.send_replace(false) {
            log::info!("pool {} can be reached again", self.pool);
        }
    }

    /// A server could not be connected to.
    pub fn record_unreached(
        self: &Arc<Self>,
        gateway: &Arc<Gateway>,
        server: &VmName,
        failure: ConnectFailure,
    ) {
        let servers = gateway.servers_in_use(&self.pool);
        let mut monitor = self.monitor.lock().expect("path lock");
        monitor.record_unreached(server, failure, since_start());
        monitor.retain(|name| servers.iter().any(|server| server.vm.name == *name));
        let is_suspect = monitor.is_suspect(servers.len());
        drop(monitor);
        if is_suspect {
            self.probe(gateway);
        }
    }

    /// Whether no server of the pool can be reached.
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Whether so few servers can be reached, as the hosts of the others don't answer, that another router may
    /// have a better path.
    pub fn is_narrow(&self) -> bool {
        self.is_narrow.load(Ordering::Relaxed)
    }

    /// Whether no new connection to a server of the pool can be opened: all have been tried.
    pub fn refuses_connections(&self, gateway: &Gateway) -> bool {
        self.state(gateway) != PathState::Open
    }

    /// Why a server could not be connected to, if that was so since a connection was last opened.
    pub fn failure(&self, server: &VmName) -> Option<ConnectFailure> {
        self.monitor.lock().expect("path lock").failure(server)
    }

    fn state(&self, gateway: &Gateway) -> PathState {
        let servers = gateway.servers_in_use(&self.pool);
        let gap = Duration::from_millis(self.gap.load(Ordering::Relaxed));
        let mut monitor = self.monitor.lock().expect("path lock");
        monitor.retain(|name| servers.iter().any(|server| server.vm.name == *name));
        monitor.state(servers.len(), self.silence(), gap)
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
            self.try_if_silent(gateway);
        }
    }

    /// Tries the servers if the whole pool is silent. To be called while one owes a response.
    pub fn try_if_silent(self: &Arc<Self>, gateway: &Arc<Gateway>) {
        let since_probe = now_ms().saturating_sub(self.probed_at.load(Ordering::Relaxed));
        if self.silence() >= MIN_SILENCE && since_probe >= PROBE_PAUSE.as_millis() as u64 {
            self.probe(gateway);
        }
    }

    /// Waits until this server is found not to accept connections while another one does.
    pub async fn until_unreached(&self, server: &VmName) {
        let mut unreached = self.unreached.subscribe();
        while unreached.changed().await.is_ok() {
            if unreached.borrow_and_update().contains(server) {
                return;
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
        loop {
            let servers = gateway.servers_in_use(&self.pool);
            if servers.is_empty() || self.sweep(&gateway, servers).await {
                self.record_connected();
                self.probe_while_narrow(&gateway).await;
                break;
            }
            if self.state(&gateway) == PathState::Lost && !self.lost.send_replace(true) {
                self.log_lost(&gateway);
            }
            let has_untried = self.state(&gateway) == PathState::Open;
            tokio::time::sleep(if has_untried { RECHECK_DELAY } else { PROBE_INTERVAL }).await;
        }
        self.record_connected();
        self.probed_at.store(now_ms(), Ordering::Relaxed);
        self.is_probing.store(false, Ordering::Relaxed);
    }

    /// Tries servers: all of them, or some in turn once none of them has accepted. Returns whether one
    /// accepts connections.
    async fn sweep(&self, gateway: &Gateway, mut servers: Vec<Arc<ServerState>>) -> bool {
        if self.state(gateway) != PathState::Open {
            let count = servers.len().div_ceil(TURNS_FOR_ALL);
            servers = servers.choose_multiple(&mut rand::rng(), count).cloned().collect();
        }
        let sweep = match self.may_be_narrow(gateway) {
            true => Sweep::count(gateway, servers).await,
            false => Sweep::find(gateway, servers).await,
        };
        let mut monitor = self.monitor.lock().expect("path lock");
        for (server, failure) in &sweep.failed {
            monitor.record_unreached(&server.vm.name, *failure, since_start());
        }
        let evidence = monitor.evidence(since_start());
        drop(monitor);
        let Some(accepted) = &sweep.accepted else { return false };
        self.silent.lock().expect("path lock").clear();
        if !sweep.failed.is_empty() {
            log::info!(
                "pool {}: {evidence}; server {accepted} accepts connections, so the path is not lost",
                self.pool
            );
            sweep.failed.iter().for_each(|(server, _)| server.pause_unreached());
            let names = sweep.failed.iter().map(|(server, _)| server.vm.name.clone());
            self.unreached.send_replace(names.collect());
            let silent = sweep.silent().map(|server| server.vm.name.clone());
            *self.silent.lock().expect("path lock") = silent.collect();
        }
        true
    }

    /// Whether a host does not answer on a path that is not lost: others may be silent as well.
    fn may_be_narrow(&self, gateway: &Gateway) -> bool {
        let has_silent = self.monitor.lock().expect("path lock").has_silent();
        has_silent && !self.is_lost() && self.state(gateway) == PathState::Open
    }

    /// Tries the servers whose hosts don't answer until one of them accepts a connection, if they are most of
    /// the pool.
    async fn probe_while_narrow(&self, gateway: &Gateway) {
        loop {
            let servers = gateway.servers_in_use(&self.pool);
            let known = self.silent.lock().expect("path lock").clone();
            let is_silent = |server: &&Arc<ServerState>| known.contains(&server.vm.name);
            let silent: Vec<_> = servers.iter().filter(is_silent).cloned().collect();
            let is_narrow = servers.len() > (servers.len() - silent.len()) * NARROW_PATH_FACTOR;
            if self.is_narrow.swap(is_narrow, Ordering::Relaxed) != is_narrow {
                log::info!(
                    "pool {}: the hosts of {} of {} servers don't answer, new calls are passed on: {is_narrow}",
                    self.pool,
                    silent.len(),
                    servers.len()
                );
            }
            if !is_narrow {
                return;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
            let count = silent.len().div_ceil(TURNS_FOR_ALL);
            let chosen = silent.choose_multiple(&mut rand::rng(), count).cloned().collect();
            if Sweep::find(gateway, chosen).await.accepted.is_some() {
                self.silent.lock().expect("path lock").clear();
            }
        }
    }

    fn log_lost(&self, gateway: &Gateway) {
        metrics::counter!("samphireshift_paths_lost_total").increment(1);
        let evidence = self.monitor.lock().expect("path lock").evidence(since_start());
        log::warn!(
            "no server of pool {} can be reached: of {} {evidence}; silent for {} ms, a sound one for up \
             to {} ms; its calls are passed on to other routers",
            self.pool,
            gateway.servers_in_use(&self.pool).len(),
            self.silence().as_millis(),
            self.gap.load(Ordering::Relaxed)
        );
    }
}
