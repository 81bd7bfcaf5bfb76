//! Keeps this router's lease alive; its configuration and VM list arrive with the renewals.

use super::Gateway;
use super::cold_loop::{self, share_cold};
use super::connection_loop::{self, keep_to_parts, share_connections};
use super::limit_loop::{self, serve_waiting_calls, share_limits};
use super::part_loop::{self, ReportResult, share_parts};
use super::voters::Voters;
use crate::control::{Config, PoolRolloutStatus, RouterId};
use crate::distribution::{Chunk, ReceiveError, RouterState};
use crate::event::Event;
use crate::group::since_start;
use crate::peer::{
    Dialed, LeaseRequest, LeaseResponse, PeerClient, PeerIdentity, PoolReport, PoolUpdate,
    ProtocolVersion, RenewRequest, RenewResponse, dial,
};
use crate::policy::{Epoch, Tally};
use crate::seeds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context;

/// Time allowed for a response on top of `renew`, for which the leader may hold the request.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Time limit for connecting to a voter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a request that did not renew the lease.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after a transfer that could not be used.
const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A revision of the configuration that this router knows of and does not have.
#[derive(Debug, Clone, Copy)]
struct LackingRevision {
    revision: u64,
    /// Since when the router has lacked it, or one before it.
    since: Duration,
}

/// The state of the loop.
struct LeaseLoop {
    gateway: Arc<Gateway>,
    identity: PeerIdentity,
    voters: Voters,
    state: RouterState,
    /// The digest of the VM list as received from a leader that sends no changes; 0 without one.
    list_digest: u64,
    /// The newest configuration that this router knows of and does not have yet.
    lacking: Option<LackingRevision>,
    had_lease: bool,
}

/// Renews the lease in an endless loop.
pub async fn keep_lease(gateway: Arc<Gateway>, identity: PeerIdentity) {
    let port = identity.address.port();
    let seeds = seeds::follow(&gateway.settings);
    let mut lease_loop = LeaseLoop {
        voters: Voters::new(seeds, port),
        gateway,
        identity,
        state: RouterState::default(),
        list_digest: 0,
        lacking: None,
        had_lease: false,
    };
    let gateway = lease_loop.gateway.clone();
    let leader = gateway.helpers.leader.subscribe();
    tokio::spawn(share_parts(gateway.clone(), lease_loop.router_id(), leader.clone()));
    tokio::spawn(share_limits(gateway.clone(), lease_loop.router_id(), leader.clone()));
    tokio::spawn(share_cold(gateway.clone(), lease_loop.router_id(), leader.clone()));
    tokio::spawn(share_connections(gateway.clone(), lease_loop.router_id(), leader));
    tokio::spawn(keep_to_parts(gateway.clone()));
    tokio::spawn(serve_waiting_calls(gateway));
    loop {
        let renewed = lease_loop.renew().await;
        lease_loop.record_lease_change();
        lease_loop.gateway.update_started();
        if !renewed {
            lease_loop.voters.connection = None;
            lease_loop.gateway.helpers.leader.send_replace(None);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

impl LeaseLoop {
    /// Sends one request to a voter. Returns whether it renewed the lease.
    async fn renew(&mut self) -> bool {
        if self.voters.connection.is_none() && !self.connect().await {
            return false;
        }
        let Some((address, peer)) = self.voters.connection.clone() else { return false };
        let is_new = self.gateway.helpers.leader.borrow().is_none();
        // Without the parts that end servers no call may be accepted, so the lease is not asked for.
        if is_new && !self.learn_first(address, &peer).await && !self.gateway.lease.is_valid() {
            return false;
        }
        let renewed = match peer.version >= ProtocolVersion::STATE_CHANGES {
            true => self.renew_with_changes(address, &peer).await,
            false => self.renew_with_whole_state(address, &peer.client).await,
        };
        if is_new && matches!(renewed, Ok(true)) {
            self.gateway.helpers.leader.send_replace(Some(peer));
        }
        renewed.unwrap_or_else(|error| {
            log::info!("lease request to voter {address} failed: {error}");
            self.voters.mark_failed(address);
            false
        })
    }

    async fn connect(&mut self) -> bool {
        let Some(address) = self.voters.next_address() else { return false };
        let secret = &self.gateway.settings.cluster_secret;
        let dialed = dial(address, secret, &self.identity, &self.gateway.journal);
        match tokio::time::timeout(CONNECT_TIMEOUT, dialed).await {
            Ok(Some(dialed)) => {
                self.voters.connection = Some((address, dialed));
                true
            }
            _ => {
                self.voters.mark_failed(address);
                false
            }
        }
    }

    /// Learns what ends servers and what their limits are, before the first calls are accepted. Returns
    /// false if the voter did not tell what ends servers: it may come to lead before it is asked for the
    /// lease.
    async fn learn_first(&mut self, address: SocketAddr, peer: &Dialed) -> bool {
        let (gateway, router) = (&self.gateway, &self.router_id());
        gateway.parts.report_anew();
        if peer.version >= ProtocolVersion::DEADLY_PARTS {
            match part_loop::share_once(gateway, router, peer, false).await {
                ReportResult::Counted => (),
                ReportResult::NotLeader(leader) => {
                    self.voters.leader_hint = leader.filter(|leader| *leader != address);
                    return false;
                }
                ReportResult::Failed => {
                    self.voters.mark_failed(address);
                    return false;
                }
            }
        }
        // Turns at cold servers, which come with the limits, are laid out by the leader's time.
        if peer.version >= ProtocolVersion::COLD_SERVERS {
            cold_loop::share_once(gateway, router, peer).await;
        }
        if peer.version >= ProtocolVersion::SERVER_LIMITS {
            limit_loop::share_once(gateway, router, peer, false).await;
        }
        let gives_parts = peer.version >= ProtocolVersion::CONNECTION_PARTS;
        gateway.shares.set_led(gives_parts);
        if gives_parts {
            connection_loop::share_once(gateway, router, peer).await;
        }
        true
    }

    /// Renews the lease and reads on in the leader's log of changes.
    async fn renew_with_changes(
        &mut self,
        address: SocketAddr,
        peer: &Dialed,
    ) -> Result<bool, RpcError> {
        let requested_at = since_start();
        let response = peer.client.renew(self.context(), self.renew_request()).await?;
        match response {
            RenewResponse::NotLeader { address: leader } => {
                self.voters.leader_hint = leader.filter(|leader| *leader != address);
                Ok(false)
            }
            RenewResponse::Renewed { revision, config, vms, stamp, voters, router_count } => {
                self.gateway.journal.observe(stamp);
                self.update_fleet(voters, router_count);
                let received = self.receive(config, vms);
                self.use_lease(requested_at, revision, peer.version);
                if let Err(error) = received {
                    log::warn!(
                        "cannot use the state from voter {address}: {error}; reading it anew"
                    );
                    tokio::time::sleep(TRANSFER_RETRY_DELAY).await;
                }
                Ok(true)
            }
        }
    }

    fn renew_request(&self) -> RenewRequest {
        RenewRequest {
            router: self.router_id(),
            revision: self.gateway.lease.revision().unwrap_or(0),
            config: self.state.config_position(),
            vms: self.state.vms_position(),
            wait: !self.state.is_receiving(),
            stamp: self.gateway.journal.timestamp(),
            tallies: self.tallies(),
            leaving: self.gateway.servers.leaving(),
        }
    }

    /// Takes in what the leader sent of its state.
    fn receive(&mut self, config: Option<Chunk>, vms: Option<Chunk>) -> Result<(), ReceiveError> {
        let config = self.state.receive_config(config.as_ref())?;
        if let Some(config) = config {
            self.gateway.prepare(&config);
            self.install(config);
        }
        if let Some(vms) = self.state.receive_vms(vms.as_ref())? {
            self.list_digest = 0;
            self.gateway.replace_vms(&vms);
            log::info!("the VM list has changed: {} live VMs", vms.len());
        }
        Ok(())
    }

    /// Installs a configuration without extending the lease, except for the first one.
    fn install(&self, config: Arc<Config>) {
        let revision = config.revision;
        self.gateway.note_evacuations(&config);
        if self.gateway.lease.install(config) {
            // Its pools may be new.
            self.gateway.shares.wanted.notify_one();
            self.gateway.installed.send_replace(revision);
            self.gateway.journal.record(Event::RevisionInstalled { revision });
        }
    }

    /// Extends the lease if this router has the newest revision. Otherwise it ends as it stands,
    /// unless that revision arrives before.
    fn use_lease(&mut self, requested_at: Duration, newest: u64, version: ProtocolVersion) {
        let lease = &self.gateway.lease;
        let Some(installed) = lease.revision() else { return };
        if installed >= newest {
            self.lacking = None;
            lease.renew(requested_at, self.gateway.settings.lease_duration, None);
            return;
        }
        let since = self.lacking.map_or_else(since_start, |lacking| lacking.since);
        self.lacking = Some(LackingRevision { revision: newest, since });
        // An older leader has accepted the revision without regard to this router's lease.
        if version < ProtocolVersion::LEASED_CHANGES {
            lease.limit(since + self.gateway.settings.fleet_limits.outdated_limit());
        }
    }

    /// Renews the lease at a leader that sends the whole configuration with the lease.
    async fn renew_with_whole_state(
        &mut self,
        address: SocketAddr,
        client: &PeerClient,
    ) -> Result<bool, RpcError> {
        let requested_at = since_start();
        let response = client.lease(self.context(), self.lease_request()).await?;
        match response {
            LeaseResponse::NotLeader { address: leader, .. } => {
                self.voters.leader_hint = leader.filter(|leader| *leader != address);
                Ok(false)
            }
            // Only leaders that send changes know evacuations, and this was none.
            LeaseResponse::GrantedInEvacuation { .. } => Ok(false),
            LeaseResponse::Granted { config, pool_update, .. } => {
                if let Some(update) = pool_update {
                    self.apply_update(update);
                }
                if let Some(config) = config {
                    let config = Arc::new(self.state.replace_config(&config));
                    self.gateway.prepare(&config);
                    self.install(config);
                }
                self.lacking = None;
                self.gateway.lease.renew(requested_at, self.gateway.settings.lease_duration, None);
                Ok(true)
            }
        }
    }

    fn lease_request(&self) -> LeaseRequest {
        LeaseRequest {
            router: self.router_id(),
            revision: self.gateway.lease.revision().unwrap_or(0),
            stamp: self.gateway.journal.timestamp(),
            report: None,
            epoch: Epoch::default(),
            pool_report: Some(PoolReport {
                list_digest: self.list_digest,
                tallies: self.tallies(),
            }),
        }
    }

    fn apply_update(&mut self, update: PoolUpdate) {
        if let Some(vm_list) = &update.vm_list {
            self.list_digest = vm_list.digest;
            self.state.replace_vms(&vm_list.vms);
            self.gateway.replace_vms(&vm_list.vms);
            log::info!("the VM list has changed: {} VMs", vm_list.vms.len());
        }
        self.update_fleet(update.voters, update.router_count);
    }

    fn update_fleet(&mut self, voters: Vec<SocketAddr>, router_count: u32) {
        if !voters.is_empty() {
            self.voters.known = voters;
        }
        self.gateway.router_count.store(router_count, Ordering::Relaxed);
        self.gateway.limits.set_fleet(router_count);
        self.gateway.update_shares(router_count);
    }

    fn context(&self) -> context::Context {
        let mut context = context::current();
        let renewal_interval = self.gateway.settings.renewal_interval;
        context.deadline = Instant::now() + renewal_interval + RESPONSE_MARGIN;
        context
    }

    fn router_id(&self) -> RouterId {
        RouterId { vm: self.identity.vm.clone(), run: self.identity.run }
    }

    /// Call counts for the pools with a running roll-out.
    fn tallies(&self) -> Vec<Tally> {
        let config = self.gateway.lease.config();
        let is_running = |pool: &_| {
            let rollout = config.as_ref().and_then(|config| config.pool_rollouts.get(pool));
            rollout.is_some_and(|rollout| rollout.status == PoolRolloutStatus::Running)
        };
        self.gateway.tallies.of_pools(is_running)
    }

    fn record_lease_change(&mut self) {
        let has_lease = self.gateway.lease.config().is_some();
        match (self.had_lease, has_lease) {
            (false, true) => {
                let revision = self.gateway.lease.revision().unwrap_or(0);
                self.gateway.journal.record(Event::LeaseGained { revision });
            }
            (true, false) => {
                self.gateway.journal.record(Event::LeaseLost);
                self.log_why_stopped();
            }
            _ => {}
        }
        self.had_lease = has_lease;
    }

    fn log_why_stopped(&self) {
        let installed = self.gateway.lease.revision().unwrap_or(0);
        let Some(LackingRevision { revision, since }) = self.lacking else {
            log::warn!("calls are refused: no voter renews the lease under revision {installed}");
            return;
        };
        let lacking_ms = since_start().saturating_sub(since).as_millis();
        let received = self.state.config_position().offset;
        log::warn!(
            "calls are refused: revision {revision} of the configuration is lacking for \
             {lacking_ms} ms, {received} bytes of the transfer have arrived; revision {installed} \
             is installed"
        );
    }
}
