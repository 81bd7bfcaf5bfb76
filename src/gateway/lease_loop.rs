//! Keeps this router's lease alive; its configuration and VM list arrive with the renewals.

use super::Gateway;
use crate::control::{PoolRolloutStatus, RouterId};
use crate::event::Event;
use crate::group::since_start;
use crate::peer::{
    LeaseRequest, LeaseResponse, PeerClient, PeerIdentity, PoolReport, PoolUpdate, dial,
};
use crate::policy::Epoch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tarpc::context;

/// Time allowed for a response on top of `renew`, for which the leader may hold the request.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Time limit for connecting to a voter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a voter is skipped after a failure, if there are others.
const FAILED_VOTER_COOLDOWN: Duration = Duration::from_millis(1_500);
/// Delay after a request that did not renew the lease.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The known voters, and the connection to the current leader.
struct Voters {
    seeds: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    leader_hint: Option<SocketAddr>,
    /// The voter that failed last, and when.
    last_failed: Option<(SocketAddr, Instant)>,
    connection: Option<(SocketAddr, PeerClient)>,
    rotation: usize,
}

impl Voters {
    /// The next voter to ask: the one reported as leader, otherwise each in turn.
    fn next_address(&mut self) -> Option<SocketAddr> {
        if let Some(leader_hint) =
            self.leader_hint.take().filter(|leader_hint| !self.failed_recently(*leader_hint))
        {
            return Some(leader_hint);
        }
        let mut all = self.known.clone();
        all.extend(self.seeds.iter().filter(|seed| !self.known.contains(seed)));
        if all.len() > 1 {
            all.retain(|address| !self.failed_recently(*address));
        }
        self.rotation += 1;
        all.get(self.rotation % all.len().max(1)).copied()
    }

    /// Whether a voter failed recently. Other voters may still report it as the leader.
    fn failed_recently(&self, address: SocketAddr) -> bool {
        self.last_failed.is_some_and(|(last_failed, at)| {
            last_failed == address && at.elapsed() < FAILED_VOTER_COOLDOWN
        })
    }

    /// Records that the connection to a voter failed, and drops it.
    fn mark_failed(&mut self, address: SocketAddr) {
        self.last_failed = Some((address, Instant::now()));
        self.connection = None;
    }
}

/// Renews the lease in an endless loop.
pub async fn keep_lease(gateway: Arc<Gateway>, identity: PeerIdentity) {
    let port = identity.address.port();
    let seeds = gateway.settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
    let mut voters = Voters {
        seeds: seeds.collect(),
        known: Vec::new(),
        leader_hint: None,
        last_failed: None,
        connection: None,
        rotation: 0,
    };
    let mut had_lease = false;
    loop {
        let renewed = renew(&gateway, &identity, &mut voters).await;
        had_lease = record_lease_change(&gateway, had_lease);
        gateway.update_started();
        if !renewed {
            voters.connection = None;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn renew(gateway: &Gateway, identity: &PeerIdentity, voters: &mut Voters) -> bool {
    if voters.connection.is_none() {
        let Some(address) = voters.next_address() else { return false };
        let secret = &gateway.settings.cluster_secret;
        let dialed = dial(address, secret, identity, &gateway.journal);
        let Ok(Some((client, _))) = tokio::time::timeout(CONNECT_TIMEOUT, dialed).await else {
            voters.mark_failed(address);
            return false;
        };
        voters.connection = Some((address, client));
    }
    let Some((address, client)) = voters.connection.clone() else { return false };
    let requested_at = since_start();
    let mut context = context::current();
    context.deadline = Instant::now() + gateway.settings.renewal_interval + RESPONSE_MARGIN;
    match client.lease(context, lease_request(gateway, identity)).await {
        Ok(LeaseResponse::Granted { config, pool_update, .. }) => {
            if let Some(pool_update) = pool_update {
                apply_update(gateway, voters, pool_update);
            }
            if gateway.lease.renew(requested_at, gateway.settings.lease_duration, config) {
                let revision = gateway.lease.revision().unwrap_or(0);
                gateway.journal.record(Event::RevisionInstalled { revision });
            }
            true
        }
        Ok(LeaseResponse::NotLeader { address: leader_hint, .. }) => {
            voters.leader_hint = leader_hint.filter(|leader_hint| *leader_hint != address);
            false
        }
        Err(error) => {
            log::info!("lease request to voter {address} failed: {error}");
            voters.mark_failed(address);
            false
        }
    }
}

fn lease_request(gateway: &Gateway, identity: &PeerIdentity) -> LeaseRequest {
    let config = gateway.lease.config();
    let is_running = |pool: &_| {
        let rollout = config.as_ref().and_then(|config| config.pool_rollouts.get(pool));
        rollout.is_some_and(|rollout| rollout.status == PoolRolloutStatus::Running)
    };
    let tallies = gateway.tallies.of_pools(is_running);
    let report = PoolReport { list_digest: gateway.servers.digest(), tallies };
    LeaseRequest {
        router: RouterId { vm: identity.vm.clone(), run: identity.run },
        revision: gateway.lease.revision().unwrap_or(0),
        stamp: gateway.journal.timestamp(),
        report: None,
        epoch: Epoch::default(),
        pool_report: Some(report),
    }
}

fn apply_update(gateway: &Gateway, voters: &mut Voters, update: PoolUpdate) {
    if let Some(vm_list) = &update.vm_list {
        gateway.servers.replace_list(vm_list.digest, &vm_list.vms);
        log::info!("the VM list has changed: {} VMs", vm_list.vms.len());
    }
    if !update.voters.is_empty() {
        voters.known = update.voters;
    }
    gateway.router_count.store(update.router_count, Ordering::Relaxed);
}

fn record_lease_change(gateway: &Gateway, had_lease: bool) -> bool {
    let has_lease = gateway.lease.config().is_some();
    match (had_lease, has_lease) {
        (false, true) => {
            let revision = gateway.lease.revision().unwrap_or(0);
            gateway.journal.record(Event::LeaseGained { revision });
        }
        (true, false) => gateway.journal.record(Event::LeaseLost),
        _ => {}
    }
    has_lease
}
