//! A daemon that only votes: it keeps the control group and serves operators in their own format.

use super::Node;
use super::membership::keep_members;
use super::peer_server::serve_peers;
use super::pool_rollouts::keep_pool_rollouts;
use super::pools::LeaderPools;
use super::start::{bind, bind_error, open_groups};
use crate::consensus::Members;
use crate::error::Error;
use crate::event::{Event, Journal, keep_log};
use crate::operator::{OperatorFormat, serve_orders};
use crate::peer::{Cluster, PeerIdentity, PeerNet, dispatch};
use crate::settings::Settings;
use crate::signals::Signals;
use crate::status_front::{keep_metrics, metrics_answer, serve_status};
use crate::storage::DataFolder;
use crate::vms::{VmSnapshot, VmSource};
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a hand-over of leadership may take at a stop.
const HAND_OVER: Duration = Duration::from_millis(300);
/// How long reading the VM list may take.
const LIST_LIMIT: Duration = Duration::from_millis(1_500);

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// Where a port cannot be used or the data folder cannot be opened.
pub async fn run_voter(
    settings: Settings,
    format: Arc<dyn OperatorFormat>,
    source: Arc<dyn VmSource>,
) -> Result<(), Error> {
    // Before anything else: a signal that nobody waits for would end the process.
    let signals = Signals::open()?;
    let operators = bind(settings.operators)?;
    let peers = bind(settings.peers)?;
    let handle = keep_metrics();
    if let Some(address) = settings.metrics {
        let listener = bind(address)?;
        let wrap = |cause| bind_error(address, cause);
        listener.set_nonblocking(true).map_err(wrap)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(wrap)?;
        let handle = handle.clone();
        tokio::spawn(serve_status(listener, move |path| metrics_answer(&handle, path)));
    }
    let node = open(settings, handle)?;
    let (data_centre, durable) = (node.settings.data_centre.clone(), node.identity().durable);
    node.journal.record(Event::DaemonStarted { data_centre, durable });
    let wrap = |cause| bind_error(node.settings.peers, cause);
    peers.set_nonblocking(true).map_err(wrap)?;
    let peers = tokio::net::TcpListener::from_std(peers).map_err(wrap)?;
    found_first(&node);
    tokio::spawn(serve_peers(node.clone(), peers));
    tokio::spawn(keep_members(node.clone()));
    tokio::spawn(keep_listing(node.clone(), source));
    tokio::spawn(keep_pool_rollouts(node.clone()));
    tokio::spawn(keep_log(node.journal.clone()));
    tokio::spawn(serve_orders(node.clone(), format, operators));
    run_until_stopped(&node, signals).await;
    Ok(())
}

fn open(settings: Settings, metrics: PrometheusHandle) -> Result<Arc<Node>, Error> {
    let folder = match &settings.data_folder {
        Some(path) => Some(DataFolder::open(path, &settings.vm)?),
        None => None,
    };
    let journal = Arc::new(Journal::open(settings.vm.clone()));
    let stored = folder.as_ref().map(DataFolder::identity);
    let identity = PeerIdentity::open(&settings, stored);
    let member = identity.member;
    let net = PeerNet::spawn(&settings.peer_list, &settings.secret, identity, &journal);
    let net = Arc::new(net);
    let (outbox, posted) = mpsc::unbounded_channel();
    let groups = open_groups(&settings, folder.as_ref(), member, &outbox, &journal)?;
    tokio::spawn(dispatch(net.clone(), posted));
    Ok(Arc::new(Node {
        settings,
        journal,
        cluster: Arc::new(Cluster::open(groups, net)),
        router: None,
        folder: Mutex::new(folder),
        leases: Mutex::new(None),
        board: Mutex::new(None),
        pools: LeaderPools::default(),
        metrics,
        stop: tokio::sync::Notify::new(),
    }))
}

/// Founds the cluster where settings say that all daemons start for the first time and this one is
/// the first of the seeds. A crash on the way is made good by the next start: nobody can have
/// joined a group whose first entry was never synced.
fn found_first(node: &Node) {
    let first = node.settings.seeds.iter().min();
    let own = node.settings.operators;
    if !node.settings.first_start || first != Some(&own) || !node.identity().durable {
        return;
    }
    if node.identity().cluster.is_none() {
        if let Err(error) = node.found() {
            log::error!("the cluster cannot be founded: {error}");
        }
        return;
    }
    let members = Members { voters: vec![node.member()], learners: Vec::new() };
    // Takes effect only where the log is still empty.
    node.cluster.groups().for_each(|group| group.bootstrap(members.clone()));
}

/// Reads the VM list for all routers while this daemon leads.
async fn keep_listing(node: Arc<Node>, source: Arc<dyn VmSource>) {
    let control = node.cluster.control();
    let mut applied = control.applied();
    loop {
        if control.status().leading && control.may_serve_reads() {
            match tokio::time::timeout(LIST_LIMIT, source.fetch()).await {
                Ok(Ok(vms)) => install(&node, VmSnapshot::of(vms)),
                Ok(Err(error)) => log::warn!("{error}; the last one stays in use"),
                Err(_) => log::warn!("the VM list takes too long; the last one stays in use"),
            }
            tokio::time::sleep(node.settings.poll).await;
        } else {
            node.pools.listing.send_if_modified(|held| held.take().is_some());
            // A new leader's first entry ends the wait: routers cannot serve without the list. The
            // group's thread lives as long as this daemon.
            let _ = tokio::time::timeout(node.settings.poll, applied.changed()).await;
        }
    }
}

fn install(node: &Node, snapshot: VmSnapshot) {
    let (digest, count) = (snapshot.digest, snapshot.vms.len());
    let changed = node.pools.listing.send_if_modified(|held| {
        let changed = held.as_ref().is_none_or(|held| held.digest != digest);
        if changed {
            *held = Some(Arc::new(snapshot));
        }
        changed
    });
    if changed {
        log::info!("the VM list has changed: {count} VMs");
    }
}

async fn run_until_stopped(node: &Node, signals: Signals) {
    tokio::select! {
        () = signals.stopped() => {}
        () = node.stop.notified() => {}
    }
    node.journal.record(Event::DaemonStopping);
    node.cluster.groups().for_each(|group| group.transfer_leadership());
    tokio::time::sleep(HAND_OVER).await;
    node.cluster.groups().for_each(|group| group.stop());
    node.journal.record(Event::DaemonStopped);
    node.journal.flush();
}
