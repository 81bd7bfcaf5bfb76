use super::cold_news::ColdCause;
use super::connection_room::ConnectionShares;
use super::helper_list::HelperList;
use super::model_servers::ModelServers;
use super::part_watch::PartWatch;
use super::paths::Paths;
use super::placement::Placement;
use super::response_timeout::SilenceTracker;
use super::room::Rooms;
use super::server_limits::ServerLimits;
use super::server_table::ServerTable;
use super::sessions::Sessions;
use super::tallies::Tallies;
use super::{HeaderFormat, RequestHasher, RouteIndex};
use crate::backend::{ByteBudget, ConnectionPool};
use crate::control::Config;
use crate::event::Journal;
use crate::group::since_start;
use crate::name::{DataCentre, PoolName, VmName};
use crate::peer::PeerIdentity;
use crate::policy::PoolRetryBudget;
use crate::route::RouterLease;
use crate::settings::Settings;
use crate::vms::Vm;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::Duration;
use tokio::sync::watch;

/// Time limit for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The part of all bytes held that is for answers. The bodies of calls have the rest: a flood of
/// them takes none of the room that answers need to leave by.
const ANSWER_FRACTION: f64 = 0.4;

/// Records of calls that were passed on to other routers, which nobody reads: they count there.
#[derive(Debug, Default)]
pub struct PassedOn {
    /// Their results.
    pub tallies: Arc<Tallies>,
    /// Their runs.
    pub runs: Arc<PartWatch>,
}

/// A router of configured routes.
pub struct Gateway {
    /// Reads and writes the headers of callers and backend servers.
    pub format: Arc<dyn HeaderFormat>,
    /// The daemon's settings.
    pub settings: Settings,
    /// The daemon's event journal.
    pub journal: Arc<Journal>,
    /// The router's lease, with the configuration.
    pub lease: Arc<RouterLease>,
    /// The revision of that configuration, for calls that wait.
    pub installed: watch::Sender<u64>,
    /// The connection pool for backend servers.
    pub connections: ConnectionPool,
    /// This router's part of the connections that servers accept.
    pub shares: ConnectionShares,
    /// The backend servers and their state.
    pub servers: ServerTable,
    /// The limits that servers name.
    pub limits: Arc<ServerLimits>,
    /// The work of the models of each pool.
    pub models: ModelServers,
    /// Overload gates of the pools.
    pub rooms: Rooms,
    /// The version that last served each session.
    pub sessions: Sessions,
    /// Call results by version, reported to the voters.
    pub tallies: Arc<Tallies>,
    /// Whether the servers of each pool can be reached.
    pub paths: Paths,
    /// What is learned of the servers of each pool.
    pub placement: Arc<Placement>,
    /// Other routers, for calls to pools that cannot be reached.
    pub helpers: HelperList,
    /// What is recorded of calls that were passed on; it counts at the other router only.
    pub passed_on: PassedOn,
    /// Who this daemon is, for other routers; set when it starts.
    pub identity: OnceLock<PeerIdentity>,
    /// Parts of prompts and requests that end servers.
    pub parts: Arc<PartWatch>,
    /// Gives each request its id.
    pub hasher: RequestHasher,
    /// The budget that the bytes held of answers count towards.
    pub buffers: Arc<ByteBudget>,
    /// The budget that the bodies of calls count towards.
    pub bodies: Arc<ByteBudget>,
    /// How soon servers count as silent.
    pub silence: Mutex<SilenceTracker>,
    /// Whether new calls are rejected.
    pub closed: AtomicBool,
    /// Whether calls under way are answered now, as the process is about to end.
    pub ending: watch::Sender<bool>,
    /// Whether the router is shutting down and reports itself as not ready.
    pub draining: AtomicBool,
    /// The number of routers that share the retry budgets.
    pub router_count: AtomicU32,
    route_index: RwLock<Option<Arc<RouteIndex>>>,
    retry_budgets: Mutex<HashMap<PoolName, PoolRetryBudget>>,
    /// Whether the router has ever had both a configuration and a VM list.
    started: watch::Sender<bool>,
}

impl Gateway {
    /// Creates a router without a lease, configuration or servers.
    pub fn new(settings: Settings, format: Arc<dyn HeaderFormat>, journal: Arc<Journal>) -> Self {
        let limits = Arc::<ServerLimits>::default();
        let answer_bytes = (settings.held_limit as f64 * ANSWER_FRACTION) as usize;
        limits.set_bounds(settings.fleet_limits.warm_up);
        Self {
            format,
            journal,
            lease: Arc::default(),
            installed: watch::Sender::new(0),
            connections: ConnectionPool::new(CONNECT_TIMEOUT).with_buffers(settings.socket_buffer),
            shares: ConnectionShares::new(),
            servers: ServerTable::default(),
            limits,
            models: ModelServers::default(),
            rooms: Rooms::default(),
            sessions: Sessions::new(settings.fleet_limits.session_timeout * 2),
            tallies: Arc::default(),
            paths: Paths::default(),
            placement: Arc::default(),
            helpers: HelperList::default(),
            passed_on: PassedOn::default(),
            identity: OnceLock::new(),
            parts: Arc::default(),
            hasher: RequestHasher::new(&settings.cluster_secret),
            buffers: ByteBudget::new(answer_bytes),
            bodies: ByteBudget::new(settings.held_limit - answer_bytes),
            silence: Mutex::default(),
            closed: AtomicBool::new(false),
            ending: watch::Sender::new(false),
            draining: AtomicBool::new(false),
            router_count: AtomicU32::new(1),
            route_index: RwLock::default(),
            retry_budgets: Mutex::default(),
            started: watch::Sender::new(false),
            settings,
        }
    }

    /// The data centre that the router runs in.
    pub fn data_centre(&self) -> &DataCentre {
        &self.settings.data_centre
    }

    /// The indexed configuration; `None` without a lease or a route table.
    pub fn route_index(&self) -> Option<Arc<RouteIndex>> {
        let config = self.lease.config()?;
        let cached = self.route_index.read().expect("configuration lock").clone();
        if let Some(cached) = cached.filter(|cached| cached.config.revision == config.revision) {
            return Some(cached);
        }
        self.prepare(&config)
    }

    /// Indexes a configuration before it is used, so that no call waits for it; `None` without a
    /// route table.
    pub fn prepare(&self, config: &Arc<Config>) -> Option<Arc<RouteIndex>> {
        let index = Arc::new(RouteIndex::build(config.clone())?);
        *self.route_index.write().expect("configuration lock") = Some(index.clone());
        Some(index)
    }

    /// Whether a load balancer may send calls here.
    pub fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && self.can_serve()
    }

    /// Whether the router has a valid configuration and a VM list.
    fn can_serve(&self) -> bool {
        self.servers.is_known() && self.route_index().is_some()
    }

    /// Whether the router has been able to serve calls at any time since it started.
    pub fn has_started(&self) -> bool {
        *self.started.borrow()
    }

    /// Marks the router as started, and wakes the calls that wait for it, once it can serve.
    pub fn update_started(&self) {
        if !self.has_started() && self.can_serve() {
            self.started.send_replace(true);
        }
    }

    /// Waits until the router can serve for the first time.
    pub async fn wait_started(&self) {
        let mut started = self.started.subscribe();
        // The sender lives as long as this gateway.
        let _ = started.wait_for(|started| *started).await;
    }

    /// Waits until calls under way have to be answered, as the process is about to end.
    pub async fn until_ending(&self) {
        let mut ending = self.ending.subscribe();
        // The sender lives as long as this gateway.
        let _ = ending.wait_for(|ending| *ending).await;
    }

    /// Replaces the VM list.
    pub(super) fn replace_vms(&self, vms: &[Vm]) {
        let new = self.servers.replace_list(vms);
        let listed: HashSet<&VmName> = vms.iter().map(|vm| &vm.name).collect();
        self.limits.retain(|server| listed.contains(server));
        self.limits.presume_cold(&new, ColdCause::New);
    }

    /// Counts a call to a pool towards its retry budget.
    pub fn record_call(&self, pool: &PoolName) {
        self.with_budget(pool, |budget| budget.record_call(since_start()));
    }

    /// Takes one retry from a pool's retry budget; false if the budget is used up.
    pub fn take_retry(&self, pool: &PoolName) -> bool {
        self.with_budget(pool, |budget| budget.take(since_start()))
    }

    fn with_budget<F, T>(&self, pool: &PoolName, work: F) -> T
    where
        F: FnOnce(&mut PoolRetryBudget) -> T,
    {
        let limits = &self.settings.fleet_limits;
        let router_count = self.router_count.load(Ordering::Relaxed).max(1);
        let allowance = f64::from(limits.extra_retries) / f64::from(router_count);
        let mut retry_budgets = self.retry_budgets.lock().expect("budget lock");
        let new_budget =
            || PoolRetryBudget::new(limits.retry_window, limits.retry_ratio, allowance);
        let budget = retry_budgets.entry(pool.clone()).or_insert_with(new_budget);
        budget.set_allowance(allowance);
        work(budget)
    }
}
