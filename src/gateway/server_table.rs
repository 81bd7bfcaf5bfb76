use super::ReportedLoad;
use super::leaving_servers::LeavingServers;
use super::server_selection::stable_hash;
use super::standing::Standing;
use crate::group::since_start;
use crate::name::{DataCentre, PoolName, VmName};
use crate::policy::{ConnectFailure, Helper, ServerLoad, WorkPace};
use crate::vms::{Vm, VmState};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Cached prompt parts recorded per server before expired ones are removed.
const PRUNE_THRESHOLD_PARTS: usize = 2_048;
/// How long a server is expected to keep a prompt part in its cache after the last call with it.
const CACHED_PART_TTL: Duration = Duration::from_secs(20);
/// Weight of a new observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// The shortest and longest pause of a server; each pause in a row doubles the next one.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));

/// The longest time for which a server is sent nothing at its own request.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// What this router knows about one backend server.
#[derive(Debug)]
pub struct ServerState {
    /// The server's entry in the VM list.
    pub vm: Vm,
    /// Shared with the state of an earlier entry for the same server.
    inner: Arc<Mutex<Inner>>,
    /// A hash of the server's name that is the same in all routers.
    pub hash: u64,
}

#[derive(Debug, Default)]
struct Inner {
    own_calls: u32,
    pending_tokens: u64,
    report: Option<ReportedLoad>,
    reported_at: Option<Instant>,
    pace: WorkPace,
    since_report: i64,
    slowness: f64,
    failure_rate: f64,
    pause_count: u32,
    paused_until: Option<Instant>,
    /// When the server last turned a call away for want of room.
    turned_away_at: Option<Instant>,
    /// When bytes of an answer last came from the server.
    heard_at: Option<Instant>,
    /// When the server was last asked whether it can be connected to, and what came of it if it could not.
    asked: Option<(Instant, Option<ConnectFailure>)>,
    /// Until when the server has asked to be sent nothing.
    backoff_until: Option<Instant>,
    cached_parts: HashMap<u64, Instant>,
}

/// A server's state at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSnapshot {
    /// Calls that run or wait at the server, from its last load report and the calls since.
    pub busy: f64,
    /// Calls that the server runs at the same time; 0 if unknown.
    pub slots: f64,
    /// Uncached prompt tokens of this router's calls that have no response yet.
    pub pending_tokens: f64,
    /// Moving average of actual over expected response time; 1 means as expected.
    pub slowness: f64,
    /// Moving average of the fraction of failed calls.
    pub failure_rate: f64,
    /// Whether the server may get calls.
    pub standing: Standing,
    /// Calls that run or wait at the server by its last load report, and how old that is.
    pub reported: Option<(f64, Duration)>,
    /// Calls of this router sent since that report, less those that have ended.
    pub since_report: f64,
    /// Calls of this router at the server.
    pub own_calls: f64,
    /// How long work takes at the server.
    pub pace: WorkPace,
}

impl ServerState {
    fn new(vm: Vm) -> Self {
        let inner = Inner { slowness: 1.0, ..Inner::default() };
        let hash = stable_hash(vm.name.as_str());
        Self { vm, inner: Arc::new(Mutex::new(inner)), hash }
    }

    /// The state of a call that is passed on to another router, as if that were a server.
    pub(super) fn of_helper(helper: &Helper, pool: &PoolName) -> Arc<Self> {
        Arc::new(Self::new(Vm {
            name: helper.vm.clone(),
            address: helper.address,
            data_centre: helper.data_centre.clone(),
            pool: pool.clone(),
            state: VmState::Live,
            version: None,
            slots: 0,
        }))
    }

    /// The state under a changed entry in the VM list. A server at another address is a new one.
    fn with_entry(&self, vm: &Vm) -> Option<Self> {
        let same = self.vm.name == vm.name && self.vm.address == vm.address;
        same.then(|| Self { vm: vm.clone(), inner: self.inner.clone(), hash: self.hash })
    }

    /// The state of the server now.
    pub fn snapshot(&self) -> ServerSnapshot {
        let inner = self.inner.lock().expect("server lock");
        let own_calls = f64::from(inner.own_calls);
        let reported = inner.report.map(|load| f64::from(load.running + load.waiting));
        let since = inner.since_report as f64;
        let slots = inner.report.map_or(self.vm.slots, |load| load.slots.max(self.vm.slots));
        ServerSnapshot {
            busy: reported.map_or(own_calls, |load| (load + since).max(own_calls)),
            slots: f64::from(slots),
            pending_tokens: inner.pending_tokens as f64,
            slowness: inner.slowness,
            failure_rate: inner.failure_rate,
            standing: Standing::new(inner.pause_count, inner.paused_until),
            reported: reported.zip(inner.reported_at.map(|at| at.elapsed())),
            since_report: since,
            own_calls,
            pace: inner.pace,
        }
    }

    /// The load of the server now, for the decision who is sent to its pool.
    pub fn load(&self) -> ServerLoad {
        let snapshot = self.snapshot();
        let inner = self.inner.lock().expect("server lock");
        // What was sent since then waits behind those.
        let since = inner.since_report.max(0) as f64;
        let waiting = inner.report.map_or(0, |load| load.waiting);
        let waiting = if waiting > 0 { f64::from(waiting) + since } else { 0.0 };
        ServerLoad {
            busy: snapshot.busy,
            waiting,
            slots: snapshot.slots,
            own_calls: f64::from(inner.own_calls),
            age: inner.reported_at.map(|at| at.elapsed()),
        }
    }

    /// Bytes of an answer have come from the server.
    pub fn record_heard(&self) {
        self.inner.lock().expect("server lock").heard_at = Some(Instant::now());
    }

    /// Whether bytes have come from the server within `span`.
    pub fn is_heard_within(&self, span: Duration) -> bool {
        let heard_at = self.inner.lock().expect("server lock").heard_at;
        heard_at.is_some_and(|at| at.elapsed() < span)
    }

    /// What came of asking the server within the last `span`; `None` if it is to be asked by the caller of
    /// this, which counts as asking.
    pub fn ask_within(&self, span: Duration) -> Option<Option<ConnectFailure>> {
        let mut inner = self.inner.lock().expect("server lock");
        match inner.asked {
            Some((at, failure)) if at.elapsed() < span => Some(failure),
            _ => {
                inner.asked = Some((Instant::now(), None));
                None
            }
        }
    }

    /// Records what came of asking whether the server can be connected to.
    pub fn record_asked(&self, failure: Option<ConnectFailure>) {
        self.inner.lock().expect("server lock").asked = Some((Instant::now(), failure));
    }

    /// Pauses the server, as it could not be connected to. Where many calls find that at once, it counts
    /// once.
    pub fn pause_unreached(&self) {
        if self.snapshot().standing != Standing::Paused {
            self.pause();
        }
    }

    /// Whether the server has failed and not answered since.
    pub fn is_failing(&self) -> bool {
        self.inner.lock().expect("server lock").pause_count > 0
    }

    /// How much longer the server wants to be sent nothing; zero if it takes calls.
    pub fn backoff_left(&self) -> Duration {
        let backoff_until = self.inner.lock().expect("server lock").backoff_until;
        backoff_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Sends the server nothing for `wait`, as it asked for. At most `MAX_BACKOFF` is kept to, and an
    /// earlier, longer wait stays in force.
    pub fn back_off(&self, wait: Duration) {
        let until = Instant::now() + wait.min(MAX_BACKOFF);
        let mut inner = self.inner.lock().expect("server lock");
        inner.backoff_until = inner.backoff_until.max(Some(until));
    }

    /// Records that the server turned a call away for want of room.
    pub fn record_turned_away(&self) {
        self.inner.lock().expect("server lock").turned_away_at = Some(Instant::now());
    }

    /// Whether the server turned a call away for want of room in the last `span`.
    pub fn has_turned_away(&self, span: Duration) -> bool {
        let turned_away_at = self.inner.lock().expect("server lock").turned_away_at;
        turned_away_at.is_some_and(|at| at.elapsed() < span)
    }

    /// Prompt tokens that are not expected to be in the server's cache. Caching works by prefix:
    /// parts after the first uncached one count in full.
    pub fn uncached_tokens(&self, parts: &[(u64, u32)]) -> u64 {
        let inner = self.inner.lock().expect("server lock");
        let is_cached = |part: &&(u64, u32)| {
            inner.cached_parts.get(&part.0).is_some_and(|last| last.elapsed() < CACHED_PART_TTL)
        };
        let cached_count = parts.iter().take_while(is_cached).count();
        parts[cached_count..].iter().map(|part| u64::from(part.1)).sum()
    }

    /// Calls `work` with a function that tells how long ago this router sent the server a prompt part.
    pub fn with_part_ages<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&dyn Fn(u64) -> Option<Duration>) -> T,
    {
        let inner = self.inner.lock().expect("server lock");
        work(&|id| inner.cached_parts.get(&id).map(Instant::elapsed))
    }

    /// Records how long work takes at the server at this moment, by its own word.
    pub fn record_pace(&self, pace: f64) {
        self.inner.lock().expect("server lock").pace.read(pace, since_start());
    }

    /// Records an answer that took `ratio` times as long as expected at the pace that the server named.
    pub fn record_time_ratio(&self, ratio: f64) {
        self.inner.lock().expect("server lock").pace.observe(ratio, since_start());
    }

    /// Records that a call is sent to the server.
    pub fn begin_call(
        self: &Arc<Self>,
        parts: &[(u64, u32)],
        uncached_tokens: u64,
    ) -> InFlightCall {
        let mut inner = self.inner.lock().expect("server lock");
        inner.own_calls += 1;
        inner.since_report += 1;
        inner.pending_tokens += uncached_tokens;
        let now = Instant::now();
        if inner.cached_parts.len() >= PRUNE_THRESHOLD_PARTS {
            inner.cached_parts.retain(|_, last| now.duration_since(*last) < CACHED_PART_TTL);
        }
        for (id, _) in parts {
            inner.cached_parts.insert(*id, now);
        }
        InFlightCall { server: self.clone(), pending_tokens: uncached_tokens }
    }

    /// Records the load reported in a response.
    pub fn record_load(&self, load: ReportedLoad) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.report = Some(load);
        inner.reported_at = Some(Instant::now());
        inner.since_report = 0;
    }

    /// Records a response that took `ratio` times as long as expected, and ends any pause.
    pub fn record_response(&self, ratio: f64) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.slowness =
            (inner.slowness * (1.0 - EWMA_WEIGHT) + ratio.clamp(0.3, 20.0) * EWMA_WEIGHT).max(0.3);
        inner.failure_rate *= 1.0 - EWMA_WEIGHT;
        inner.pause_count = 0;
        inner.paused_until = None;
    }

    /// Records a failed call.
    pub fn record_failure(&self) {
        let mut inner = self.inner.lock().expect("server lock");
        inner.failure_rate = inner.failure_rate * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
    }

    /// Pauses the server with exponential backoff, after it could not be reached, or declined a
    /// call as it is full or leaving.
    pub fn pause(&self) {
        let mut inner = self.inner.lock().expect("server lock");
        let wait = (PAUSE_RANGE.0 * 2u32.pow(inner.pause_count.min(8))).min(PAUSE_RANGE.1);
        inner.pause_count += 1;
        inner.paused_until = Some(Instant::now() + wait);
    }
}

/// A call at a server; dropping it records the end of the call.
#[derive(Debug)]
pub struct InFlightCall {
    /// The server of the call.
    pub server: Arc<ServerState>,
    pending_tokens: u64,
}

impl InFlightCall {
    /// Records that the server has processed the prompt.
    pub fn prompt_read(&mut self) {
        let pending_tokens = std::mem::take(&mut self.pending_tokens);
        self.server.inner.lock().expect("server lock").pending_tokens -= pending_tokens;
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.prompt_read();
        let mut inner = self.server.inner.lock().expect("server lock");
        inner.own_calls -= 1;
        inner.since_report -= 1;
    }
}

/// The backend servers of all pools.
#[derive(Debug, Default)]
pub struct ServerTable {
    list: RwLock<ServerList>,
}

#[derive(Debug, Default)]
struct ServerList {
    /// Whether a VM list has been received.
    known: bool,
    pools: HashMap<PoolName, Vec<Arc<ServerState>>>,
    leaving: LeavingServers,
    /// Servers that are not in the list but have asked for a pause that has not ended: one reading of the
    /// list may leave out servers that are there.
    pausing: Vec<Arc<ServerState>>,
}

impl ServerTable {
    /// Whether a VM list has been received.
    pub fn is_known(&self) -> bool {
        self.list.read().expect("server table lock").known
    }

    /// Replaces the VM list. Servers that stay at their address keep their state; those that are
    /// known to be leaving are left out. Returns the servers that are new, unless it is the first list.
    pub fn replace_list(&self, vms: &[Vm]) -> Vec<Vm> {
        let mut list = self.list.write().expect("server table lock");
        let list = &mut *list;
        let live: HashSet<&VmName> =
            vms.iter().filter(|vm| vm.state == VmState::Live).map(|vm| &vm.name).collect();
        list.leaving.update(Instant::now(), |server| live.contains(server));
        let known = std::mem::take(&mut list.pools);
        let known = known.into_values().flatten().chain(std::mem::take(&mut list.pausing));
        let known: HashMap<VmName, Arc<ServerState>> =
            known.map(|server| (server.vm.name.clone(), server)).collect();
        let (mut names, mut new) = (HashSet::new(), Vec::new());
        for vm in vms.iter().filter(|vm| vm.state == VmState::Live) {
            if !names.insert(&vm.name) || list.leaving.contains(&vm.name) {
                continue;
            }
            let server = match known.get(&vm.name) {
                Some(server) if server.vm == *vm => server.clone(),
                Some(server) => {
                    let changed = server.with_entry(vm);
                    Arc::new(changed.unwrap_or_else(|| ServerState::new(vm.clone())))
                }
                None => {
                    new.push(vm.clone());
                    Arc::new(ServerState::new(vm.clone()))
                }
            };
            list.pools.entry(vm.pool.clone()).or_default().push(server);
        }
        let unlisted = known.into_iter().filter(|(name, _)| !names.contains(name));
        let pausing = unlisted.filter(|(_, server)| !server.backoff_left().is_zero());
        list.pausing = pausing.map(|(_, server)| server).collect();
        let was_known = std::mem::replace(&mut list.known, true);
        new.retain(|_| was_known);
        new
    }

    /// Takes a server that has said that it is leaving out of its pool. Returns whether that is new.
    pub fn mark_leaving(&self, vm: &Vm) -> bool {
        let mut list = self.list.write().expect("server table lock");
        if !list.leaving.mark(&vm.name, Instant::now()) {
            return false;
        }
        if let Some(servers) = list.pools.get_mut(&vm.pool) {
            servers.retain(|server| server.vm.name != vm.name);
        }
        true
    }

    /// Whether a server has said that it is leaving.
    pub fn is_leaving(&self, server: &VmName) -> bool {
        self.list.read().expect("server table lock").leaving.contains(server)
    }

    /// Servers that have said that they are leaving, but are still in the VM list.
    pub fn leaving(&self) -> Vec<VmName> {
        let list = self.list.read().expect("server table lock");
        list.leaving.still_listed().cloned().collect()
    }

    /// The live servers of a data centre.
    pub fn in_data_centre(&self, data_centre: &DataCentre) -> Vec<Arc<ServerState>> {
        let list = self.list.read().expect("server table lock");
        let servers = list.pools.values().flatten();
        servers.filter(|server| server.vm.data_centre == *data_centre).cloned().collect()
    }

    /// The live servers of a pool.
    pub fn pool(&self, pool: &PoolName) -> Vec<Arc<ServerState>> {
        let list = self.list.read().expect("server table lock");
        list.pools.get(pool).cloned().unwrap_or_default()
    }
}
