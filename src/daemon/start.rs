use super::deadly_parts::LeaderParts;
use super::leader_pools::LeaderPools;
use super::lease_renewal::renew_lease;
use super::ledger_maintenance::maintain_ledgers;
use super::membership::maintain_members;
use super::orders::issue_orders;
use super::peer_server::serve_peers;
use super::rollouts::manage_rollouts;
use super::server_limits::LeaderLimits;
use super::{Node, stop};
use crate::backend::{ByteBudget, ConnectionPool, LoadedVersions};
use crate::consensus::{MemberId, Timing};
use crate::control::{ControlState, RouterId};
use crate::distribution::Publisher;
use crate::error::Error;
use crate::event::{Event, Journal};
use crate::group::{Envelope, Group, GroupId, GroupOptions, ReplicatedState};
use crate::ledger::LedgerState;
use crate::listener::{bind, bind_error};
use crate::peer::{Cluster, PeerIdentity, PeerLinks, dispatch_outbox};
use crate::route::{
    Admission, LedgerClient, RequestCounter, RetryBudgets, Router, RouterLease, ServerTracker,
    VersionSelector,
};
use crate::seeds;
use crate::settings::{Role, Settings};
use crate::status_server::install_metrics;
use crate::storage::DataFolder;
use crate::vms::VmList;
use crate::{caller, operator};
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};

/// Number of entries applied since the last snapshot at which a group takes the next one.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Interval at which the capacity of each pool is recomputed from its servers.
const CAPACITY_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Subfolder of the data folder that holds the event files.
const EVENT_FOLDER: &str = "events";

/// The most bytes of answers that are held at the same time.
const MAX_BUFFERED_BYTES: usize = 64 << 20;
/// Maximum number of concurrent calls from a router to the rating service.
const MAX_CONCURRENT_RATINGS: usize = 64;

/// Runs a daemon of role `all` until it receives a stop signal or an operator drains it.
///
/// # Errors
/// If a port, the data folder or another resource cannot be opened.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let callers = bind(settings.caller_address)?;
    let operators = bind(settings.operator_address)?;
    let peers = bind(settings.peer_address)?;
    let node = create_node(settings, install_metrics()).await?;
    let router = node.router.clone().expect("a daemon of role all has a router");
    node.journal.record(Event::DaemonStarted {
        data_centre: node.settings.data_centre.clone(),
        durable: node.identity().durable,
    });
    peers.set_nonblocking(true).map_err(|cause| bind_error(node.settings.peer_address, cause))?;
    let peers = tokio::net::TcpListener::from_std(peers)
        .map_err(|cause| bind_error(node.settings.peer_address, cause))?;
    tokio::spawn(serve_peers(node.clone(), peers));
    tokio::spawn(maintain_members(node.clone()));
    tokio::spawn(renew_lease(node.clone(), router.clone()));
    tokio::spawn(manage_rollouts(node.clone()));
    tokio::spawn(maintain_ledgers(node.clone()));
    tokio::spawn(issue_orders(node.clone()));
    let listening = stop::ListeningSockets::new(&callers, &operators)?;
    let caller_server = caller::serve(router.clone(), callers, node.settings.idle_timeout);
    tokio::spawn(update_capacities(router.clone()));
    let operator_server = operator::serve(node.clone(), operators)?;
    stop::run_until_stopped(node, router, listening, caller_server, operator_server).await
}

async fn create_node(settings: Settings, metrics: PrometheusHandle) -> Result<Arc<Node>, Error> {
    let folder = match &settings.data_folder {
        Some(path) => Some(DataFolder::open(path, &settings.vm)?),
        None => None,
    };
    let journal = open_journal(&settings)?;
    let stored = folder.as_ref().map(DataFolder::identity);
    let identity = PeerIdentity::new(&settings, stored);
    let (member, run) = (identity.member, identity.run);
    let peer_links =
        PeerLinks::spawn(&settings.peer_list, &settings.cluster_secret, identity, &journal);
    let peer_links = Arc::new(peer_links);
    let (outbox, outgoing) = mpsc::unbounded_channel();
    let groups = open_groups(&settings, folder.as_ref(), member, &outbox, &journal)?;
    tokio::spawn(dispatch_outbox(peer_links.clone(), outgoing));
    let cluster = Arc::new(Cluster::new(groups, peer_links));
    let router = create_router(&settings, &cluster, run, &journal).await;
    Ok(Arc::new(Node {
        seeds: seeds::follow(&settings),
        settings,
        journal,
        cluster,
        router: Some(router),
        folder: Mutex::new(folder),
        leases: Mutex::new(None),
        aggregator: Mutex::new(None),
        pools: LeaderPools::default(),
        parts: LeaderParts::default(),
        limits: LeaderLimits::default(),
        connections: Default::default(),
        helpers: Default::default(),
        refused: Default::default(),
        formation: Default::default(),
        departures: Default::default(),
        publisher: Publisher::default(),
        metrics,
        stop: tokio::sync::Notify::new(),
    }))
}

/// Recomputes pool capacities and drops the statistics of servers that are no longer listed,
/// forever.
async fn update_capacities(router: Arc<Router>) {
    loop {
        router.update_pool_capacities();
        router.remove_unlisted_servers();
        tokio::time::sleep(CAPACITY_UPDATE_INTERVAL).await;
    }
}

/// Opens the event journal. If its files cannot be opened in the data folder, events are kept in
/// memory only.
fn open_journal(settings: &Settings) -> Result<Arc<Journal>, Error> {
    let vm = settings.vm.clone();
    let journal = match &settings.data_folder {
        None => Journal::in_memory(vm),
        Some(folder) => {
            Journal::open(vm.clone(), &folder.join(EVENT_FOLDER)).unwrap_or_else(|error| {
                log::error!("cannot open the event files; events are kept in memory only: {error}");
                Journal::in_memory(vm)
            })
        }
    };
    let journal = Arc::new(journal);
    let wrap = |cause| Error::Bind { address: "events".to_owned(), cause };
    journal.spawn_writer().map_err(wrap)?;
    Ok(journal)
}

pub(super) fn open_groups(
    settings: &Settings,
    folder: Option<&DataFolder>,
    member: MemberId,
    outbox: &mpsc::UnboundedSender<Envelope>,
    journal: &Arc<Journal>,
) -> Result<Vec<Group>, Error> {
    let count = if settings.role == Role::All { settings.ledger_groups } else { 0 };
    let ledgers = (0..count).map(GroupId::Ledger);
    let mut groups = Vec::new();
    for id in [GroupId::Control].into_iter().chain(ledgers) {
        let store = folder.map(|folder| folder.open_group(&id.to_string())).transpose()?;
        let state = match id {
            GroupId::Control => ReplicatedState::Control(ControlState::default()),
            GroupId::Ledger(_) => ReplicatedState::Ledger(LedgerState::default()),
        };
        groups.push(Group::spawn(GroupOptions {
            id,
            member,
            timing: Timing {
                election_timeout: settings.election_timeout,
                heartbeat_interval: settings.heartbeat_interval,
            },
            store,
            state,
            outbox: outbox.clone(),
            journal: journal.clone(),
            snapshot_entries: SNAPSHOT_ENTRIES,
        }));
    }
    Ok(groups)
}

async fn create_router(
    settings: &Settings,
    cluster: &Arc<Cluster>,
    run: u64,
    journal: &Arc<Journal>,
) -> Arc<Router> {
    let connections = Arc::new(ConnectionPool::new(settings.connect_timeout));
    let source = settings.vm_list.clone();
    let vms =
        VmList::spawn(source, settings.poll_interval, connections.clone(), journal.clone()).await;
    let servers = ServerTracker::new(journal.clone());
    let loads = LoadedVersions::spawn(vms.clone(), connections.clone(), servers.clone());
    let name = RouterId { vm: settings.vm.clone(), run };
    let sample = settings.rating_address.map_or(0, |_| settings.sample_permille);
    let selector = VersionSelector::new(name.clone(), settings.weights, sample, journal.clone());
    Arc::new(Router {
        data_centre: settings.data_centre.clone(),
        lease: Arc::new(RouterLease::default()),
        ledger: LedgerClient::new(cluster.clone(), name, settings.retention.pins),
        connections,
        buffers: ByteBudget::new(MAX_BUFFERED_BYTES),
        vms,
        loads,
        servers,
        admission: Admission::new(),
        budgets: RetryBudgets::full(),
        balance: settings.balance,
        counter: RequestCounter::new(),
        journal: journal.clone(),
        rating_service: settings.rating_address,
        selector,
        rating_slots: Arc::new(Semaphore::new(MAX_CONCURRENT_RATINGS)),
        first_token: settings.first_token,
        token_gap: settings.token_gap,
        default_timeout: settings.default_timeout,
        receive_timeout: settings.receive_timeout,
        body_limit: settings.body_limit,
        draining: AtomicBool::new(false),
        runtime: tokio::runtime::Handle::current(),
        tie_breaker: AtomicUsize::new(0),
    })
}
