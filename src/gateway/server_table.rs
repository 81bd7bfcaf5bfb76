use super::ReportedLoad;
use crate::name::{PoolName, VmName};
use crate::vms::{Vm, VmState};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Prompt parts that a server is believed to keep, at most.
const PARTS: usize = 2_048;
/// How long a server is believed to keep a part that nobody asks for.
const PART_LIMIT: Duration = Duration::from_secs(20);
/// What a new observation counts for against all before.
const WEIGHT: f64 = 0.15;
/// The first pause after a failure to connect, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));

/// One backend server as this router knows it.
#[derive(Debug)]
pub struct ServerState {
    /// Its entry in the VM list.
    pub vm: Vm,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    own: u32,
    pending: u64,
    report: Option<ReportedLoad>,
    since_report: i64,
    slowness: f64,
    failed: f64,
    pauses: u32,
    paused: Option<Instant>,
    parts: HashMap<u64, Instant>,
}

/// A server's state at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerGlance {
    /// Calls that run or wait there.
    pub busy: f64,
    /// Calls that it serves at a time; 0 where unknown.
    pub slots: f64,
    /// Prompt tokens of own calls that have brought no answer yet.
    pub pending: f64,
    /// How much longer its answers have taken than expected.
    pub slowness: f64,
    /// The part of its calls that failed lately.
    pub failed: f64,
    /// Whether it may be tried.
    pub usable: bool,
}

impl ServerState {
    fn open(vm: Vm) -> Self {
        Self { vm, inner: Mutex::new(Inner { slowness: 1.0, ..Inner::default() }) }
    }

    /// What is known of it now.
    pub fn glance(&self) -> ServerGlance {
        let inner = self.inner.lock().expect("server lock");
        let own = f64::from(inner.own);
        let reported = inner.report.map(|load| f64::from(load.running + load.waiting));
        let since = inner.since_report as f64;
        let slots = inner.report.map_or(self.vm.slots, |load| load.slots.max(self.vm.slots));
        ServerGlance {
            busy: reported.map_or(own, |load| (load + since).max(own)),
            slots: f64::from(slots),
            pending: inner.pending as f64,
            slowness: inner.slowness,
            failed: inner.failed,
            usable: inner.paused.is_none_or(|until| Instant::now() >= until),
        }
    }

    /// Prompt tokens of the given parts that it is not believed to keep, for a model.
    pub fn unread(&self, parts: &[(u64, u32)]) -> u64 {
        let inner = self.inner.lock().expect("server lock");
        let kept = |part: &&(u64, u32)| {
            inner.parts.get(&part.0).is_some_and(|last| last.elapsed() < PART_LIMIT)
        };
        let known = parts.iter().take_while(kept).count();
        parts[known..].iter().map(|part| u64::from(part.1)).sum()
    }

    /// A call goes there.
    pub fn begin(self: &Arc<Self>, parts: &[(u64, u32)], unread: u64) -> Placed {
        let mut inner = self.inner.lock().expect("server lock");
        inner.own += 1;
        inner.since_report += 1;
        inner.pending += unread;
        let now = Instant::now();
        if inner.parts.len() >= PARTS {
            inner.parts.retain(|_, last| now.duration_since(*last) < PART_LIMIT);
        }
        for (id, _) in parts {
            inner.parts.insert(*id, now);
        }
        Placed { server: self.clone(), pending: unread }
    }

    /// An answer brought a load report.
    pub fn report(&self, load: ReportedLoad) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.report = Some(load);
        inner.since_report = 0;
    }

    /// An answer came, so much longer than expected.
    pub fn answered(&self, ratio: f64) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.slowness =
            (inner.slowness * (1.0 - WEIGHT) + ratio.clamp(0.3, 20.0) * WEIGHT).max(0.3);
        inner.failed *= 1.0 - WEIGHT;
        inner.pauses = 0;
        inner.paused = None;
    }

    /// It failed a call.
    pub fn failed(&self) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.failed = inner.failed * (1.0 - WEIGHT) + WEIGHT;
    }

    /// It could not be reached, or said that it is full or leaving; it is left alone for a while.
    pub fn pause(&self) {
        let mut inner = self.inner.lock().expect("server lock");
        let wait = (PAUSE.0 * 2u32.pow(inner.pauses.min(8))).min(PAUSE.1);
        inner.pauses += 1;
        inner.paused = Some(Instant::now() + wait);
    }
}

/// A call at a server; it has left when this is dropped.
#[derive(Debug)]
pub struct Placed {
    /// The server.
    pub server: Arc<ServerState>,
    pending: u64,
}

impl Placed {
    /// The prompt has been read.
    pub fn read(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        self.server.inner.lock().expect("server lock").pending -= pending;
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.read();
        let mut inner = self.server.inner.lock().expect("server lock");
        inner.own -= 1;
        inner.since_report -= 1;
    }
}

/// The backend servers of all pools.
#[derive(Debug, Default)]
pub struct ServerTable {
    held: RwLock<Held>,
}

#[derive(Debug, Default)]
struct Held {
    digest: u64,
    pools: HashMap<PoolName, Vec<Arc<ServerState>>>,
}

impl ServerTable {
    /// The digest of the VM list in use; 0 before the first.
    pub fn digest(&self) -> u64 {
        self.held.read().expect("server table lock").digest
    }

    /// Takes a VM list in; what is known of servers that stay is kept.
    pub fn install(&self, digest: u64, vms: &[Vm]) {
        let mut held = self.held.write().expect("server table lock");
        let known = std::mem::take(&mut held.pools);
        let known: HashMap<VmName, Arc<ServerState>> =
            known.into_values().flatten().map(|server| (server.vm.vm.clone(), server)).collect();
        let mut names = HashSet::new();
        for vm in vms.iter().filter(|vm| vm.state == VmState::Live) {
            if !names.insert(&vm.vm) {
                continue;
            }
            let same = known.get(&vm.vm).filter(|server| server.vm == *vm).cloned();
            let server = same.unwrap_or_else(|| Arc::new(ServerState::open(vm.clone())));
            held.pools.entry(vm.pool.clone()).or_default().push(server);
        }
        held.digest = digest;
    }

    /// The servers of a pool that are listed as live.
    pub fn pool(&self, pool: &PoolName) -> Vec<Arc<ServerState>> {
        let held = self.held.read().expect("server table lock");
        held.pools.get(pool).cloned().unwrap_or_default()
    }
}
