//! A daemon of role voter: it replicates the control group and serves operators, whose requests are
//! parsed by an [`OperatorFormat`].

use super::Node;
use super::deadly_parts::{LeaderParts, block_deadly_parts};
use super::leader_pools::LeaderPools;
use super::membership::maintain_members;
use super::peer_server::serve_peers;
use super::pool_rollouts::manage_pool_rollouts;
use super::renewals::publish_changes;
use super::server_limits::{LeaderLimits, keep_server_limits};
use super::start::open_groups;
use super::warm_up_rates::WarmUpRates;
use crate::consensus::Members;
use crate::distribution::Publisher;
use crate::error::Error;
use crate::event::{Event, Journal, run_log_loop};
use crate::listener::{bind, bind_error};
use crate::operator::{OperatorFormat, serve_with_format};
use crate::peer::{Cluster, PeerIdentity, PeerLinks, dispatch_outbox};
use crate::seeds;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::status_server::{install_metrics, metrics_response, serve_status};
use crate::storage::DataFolder;
use crate::vms::VmSource;
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Time for the new leaders to receive the leadership transfers before the groups stop.
const LEADERSHIP_TRANSFER_WAIT: Duration = Duration::from_millis(300);
/// Time for the last answers to operators after the port is closed.
const LAST_ANSWERS_WAIT: Duration = Duration::from_millis(300);
/// Maximum time to fetch the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs a voter until it receives a stop signal or an operator drains it.
///
/// # Errors
/// If a signal handler, a port or the data folder cannot be opened.
pub async fn run_voter(
    settings: Settings,
    format: Arc<dyn OperatorFormat>,
    source: Arc<dyn VmSource>,
) -> Result<(), Error> {
    // This comes first: a signal without a handler would end the process.
    let signals = Signals::register()?;
    let operators = bind(settings.operator_address)?;
    let peers = bind(settings.peer_address)?;
    let handle = install_metrics();
    if let Some(address) = settings.metrics_address {
        let listener = bind(address)?;
        let wrap = |cause| bind_error(address, cause);
        listener.set_nonblocking(true).map_err(wrap)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(wrap)?;
        let handle = handle.clone();
        tokio::spawn(serve_status(listener, move |path| metrics_response(&handle, path)));
    }
    let node = create_node(settings, handle)?;
    let (data_centre, durable) = (node.settings.data_centre.clone(), node.identity().durable);
    node.journal.record(Event::DaemonStarted { data_centre, durable });
    let wrap = |cause| bind_error(node.settings.peer_address, cause);
    peers.set_nonblocking(true).map_err(wrap)?;
    let peers = tokio::net::TcpListener::from_std(peers).map_err(wrap)?;
    bootstrap_if_first(&node);
    tokio::spawn(serve_peers(node.clone(), peers));
    tokio::spawn(maintain_members(node.clone()));
    tokio::spawn(refresh_vm_list(node.clone(), source, format.clone()));
    tokio::spawn(manage_pool_rollouts(node.clone()));
    tokio::spawn(publish_changes(node.clone()));
    tokio::spawn(block_deadly_parts(node.clone()));
    tokio::spawn(keep_server_limits(node.clone()));
    tokio::spawn(run_log_loop(node.journal.clone()));
    let (stopping, stopped) = watch::channel(false);
    let server = tokio::spawn(serve_with_format(node.clone(), format, operators, stopped));
    run_until_stopped(&node, signals).await;
    // Fails only if the listener could not be used.
    let _ = stopping.send(true);
    if tokio::time::timeout(LAST_ANSWERS_WAIT, server).await.is_err() {
        log::warn!("questions of operators are left unanswered at the end");
    }
    node.cluster.groups().for_each(|group| group.stop());
    node.journal.record(Event::DaemonStopped);
    node.journal.flush();
    Ok(())
}

fn create_node(settings: Settings, metrics: PrometheusHandle) -> Result<Arc<Node>, Error> {
    let folder = match &settings.data_folder {
        Some(path) => Some(DataFolder::open(path, &settings.vm)?),
        None => None,
    };
    let journal = Arc::new(Journal::in_memory(settings.vm.clone()));
    let stored = folder.as_ref().map(DataFolder::identity);
    let identity = PeerIdentity::new(&settings, stored);
    let member = identity.member;
    let peer_links =
        PeerLinks::spawn(&settings.peer_list, &settings.cluster_secret, identity, &journal);
    let peer_links = Arc::new(peer_links);
    let (outbox, outgoing) = mpsc::unbounded_channel();
    let groups = open_groups(&settings, folder.as_ref(), member, &outbox, &journal)?;
    tokio::spawn(dispatch_outbox(peer_links.clone(), outgoing));
    Ok(Arc::new(Node {
        seeds: seeds::follow(&settings),
        settings,
        journal,
        cluster: Arc::new(Cluster::new(groups, peer_links)),
        router: None,
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

/// Creates the cluster if the settings declare a first start and this daemon is the lowest of the
/// seeds. After a crash in between, the next start repeats the remaining steps. This is safe: no
/// other daemon can have joined a group whose first entry was never synced.
fn bootstrap_if_first(node: &Node) {
    let first = node.settings.seeds.iter().min();
    let own = node.settings.operator_address;
    if !node.settings.first_start || first != Some(&own) || !node.identity().durable {
        return;
    }
    if node.identity().cluster.is_none() {
        if let Err(error) = node.bootstrap() {
            log::error!("cannot found the cluster: {error}");
        }
        return;
    }
    let members = Members { voters: vec![node.member()], learners: Vec::new() };
    // This only has an effect on groups whose log is still empty.
    node.cluster.groups().for_each(|group| group.bootstrap(members.clone()));
}

/// Fetches the VM list for all routers while this daemon leads the control group.
async fn refresh_vm_list(
    node: Arc<Node>,
    source: Arc<dyn VmSource>,
    format: Arc<dyn OperatorFormat>,
) {
    let control = node.cluster.control();
    let mut rates = WarmUpRates::new(format);
    let mut applied = control.applied();
    loop {
        if control.status().leading && control.may_serve_reads() {
            match tokio::time::timeout(VM_LIST_TIMEOUT, source.fetch()).await {
                Ok(Ok(reading)) => {
                    rates.update(&node);
                    node.set_warming(rates.group(&reading));
                    node.pools.record_fetched(reading.vms);
                    node.install_vm_list();
                }
                Ok(Err(error)) => log::warn!("{error}; the previous VM list stays in use"),
                Err(_) => {
                    log::warn!("fetching the VM list timed out; the previous one stays in use")
                }
            }
            tokio::time::sleep(node.settings.poll_interval).await;
        } else {
            node.pools.forget_list();
            // The first entry of a new leader ends the wait early, because routers cannot serve
            // without the list. `changed` cannot fail: the group's thread lives as long as this
            // daemon.
            let _ = tokio::time::timeout(node.settings.poll_interval, applied.changed()).await;
        }
    }
}

async fn run_until_stopped(node: &Node, signals: Signals) {
    tokio::select! {
        () = signals.wait_for_stop() => {}
        () = node.stop.notified() => {}
    }
    node.journal.record(Event::DaemonStopping);
    node.leave_groups().await;
    node.cluster.groups().for_each(|group| group.transfer_leadership());
    tokio::time::sleep(LEADERSHIP_TRANSFER_WAIT).await;
}
