//! The leader's side of router leases, and waiting until a revision is in force.
//!
//! A revision is in force when every router that may still serve requests works under it or a later
//! one.

use super::Node;
use super::wait::wait_for_news;
use crate::control::{Config, LeaseTable, RouterId};
use crate::group::since_start;
use crate::name::VmName;
use crate::peer::{LeaseRequest, LeaseResponse, PoolUpdate, ProtocolVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a wait for a revision to be in force checks the leases again.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Leases that this daemon granted as leader of the control group in one term.
#[derive(Debug)]
pub struct LeaderLeases {
    term: u64,
    table: LeaseTable,
}

impl Node {
    /// Grants a lease to a router. The response is immediate if the router lacks the newest
    /// configuration. Otherwise it is delayed until there is a newer one or the router's renewal
    /// interval ends.
    pub async fn grant_lease(&self, request: LeaseRequest) -> LeaseResponse {
        self.journal.observe(request.stamp);
        self.record_lease(&request);
        self.merge_report(&request);
        self.wait_for_update(&request).await;
        // The lease is recorded before the configuration is read: a wait for a revision that did
        // not see this lease has already been answered, so the configuration read here includes
        // that revision. Leadership is checked last, so the configuration was current at that time.
        let recorded = self.record_lease(&request);
        let config = self.published_config();
        if !recorded || !self.cluster.control().may_serve_reads() {
            return LeaseResponse::NotLeader {
                leader: self.leader(),
                address: self.leader_address(),
            };
        }
        let config = Some(config)
            .filter(|config| config.revision > request.revision || config.revision == 0);
        let (last_report, stats_change) = self.merge_report(&request);
        let pool_update = self.pool_update(&request);
        LeaseResponse::Granted {
            config,
            stamp: self.journal.timestamp(),
            last_report,
            stats_change,
            pool_update,
        }
    }

    /// Grants a lease to a router of another daemon, as [`Self::grant_lease`] does. While data centres are
    /// evacuated, builds that would work on there get none; the others learn which ones they are.
    pub(super) async fn grant_lease_to(
        &self,
        request: LeaseRequest,
        version: ProtocolVersion,
    ) -> LeaseResponse {
        let refusal =
            || LeaseResponse::NotLeader { leader: self.leader(), address: self.leader_address() };
        let is_older = version < ProtocolVersion::EVACUATIONS;
        let evacuated = || self.read_control(|state| state.config().evacuated.clone());
        // A lease that is recorded and not granted would hold up changes.
        if is_older && !evacuated().is_empty() {
            self.log_refusal(&request.router, ProtocolVersion::EVACUATIONS);
            return refusal();
        }
        let granted = self.grant_lease(request).await;
        // Read after the configuration of the grant was: it may be of a later one, never of an earlier one.
        let evacuated = evacuated();
        match (evacuated.is_empty(), is_older) {
            (true, _) => granted,
            (false, true) => refusal(),
            (false, false) => {
                LeaseResponse::GrantedInEvacuation { granted: Box::new(granted), evacuated }
            }
        }
    }

    /// The current configuration as routers hold it.
    fn published_config(&self) -> Arc<Config> {
        let config = self.read_control(|state| state.config().clone());
        self.publisher.publish_config(&config);
        self.publisher.whole_config()
    }

    /// Records the router's revision and lease; false if this daemon may not grant leases.
    fn record_lease(&self, request: &LeaseRequest) -> bool {
        self.record_grant(&request.router, request.revision)
    }

    /// Records that a router uses a revision and gets a lease; false if this daemon may not grant
    /// leases.
    pub(super) fn record_grant(&self, router: &RouterId, revision: u64) -> bool {
        self.with_leases(|table, now| table.grant(now, router.clone(), revision)).is_some()
    }

    /// Records that a router uses a revision; false if this daemon may not grant leases.
    pub(super) fn record_revision(&self, router: &RouterId, revision: u64) -> bool {
        self.with_leases(|table, _| table.acknowledge(router, revision)).is_some()
    }

    /// Waits for a newer configuration or VM list, at most for the renewal interval of leases.
    async fn wait_for_update(&self, request: &LeaseRequest) {
        let mut applied = self.cluster.control().applied();
        let mut vm_list = self.pools.vm_list.subscribe();
        let has_news = || {
            self.read_control(|state| state.config().revision) > request.revision
                || self.pools.has_update(request.pool_report.as_ref())
        };
        let limit = self.settings.renewal_interval;
        wait_for_news(&mut applied, &mut vm_list, limit, has_news).await;
    }

    /// Records a router's report on pools, and returns the VM list (if the router has another one),
    /// the voters' peer addresses and the number of live routers.
    fn pool_update(&self, request: &LeaseRequest) -> Option<PoolUpdate> {
        let report = request.pool_report.as_ref()?;
        let term = self.cluster.control().status().term;
        self.pools.record_report(term, &request.router, &report.tallies);
        Some(PoolUpdate {
            vm_list: self.pools.changed_list(report.list_digest),
            voters: self.voter_addresses(),
            router_count: self.live_router_count(),
        })
    }

    /// Addresses on which the control group's voters accept connections from peers.
    pub(super) fn voter_addresses(&self) -> Vec<SocketAddr> {
        let members = self.cluster.control().status().members;
        members.voters.iter().map(|member| member.address).collect()
    }

    /// Number of routers with a live lease; 0 if this daemon does not lead.
    pub(super) fn live_router_count(&self) -> u32 {
        let live = self.with_leases(|table, now| table.live(now).count());
        live.unwrap_or_default() as u32
    }

    /// Waits up to `wait` until a revision is in force on all routers, or will be after `lag` as the
    /// leases of the others end by then. Returns whether that is so and the VMs of the routers that
    /// lag behind for longer, or `None` if this daemon does not lead.
    pub async fn await_in_force(
        &self,
        revision: u64,
        lag: Duration,
        wait: Duration,
    ) -> Option<(bool, Vec<VmName>)> {
        let deadline = Instant::now() + wait;
        loop {
            let progress = self.with_leases(|table, now| {
                table.prune(now);
                let lagging = table.lagging(now + lag, revision).map(|r| r.vm.clone()).collect();
                (table.is_in_force(now + lag, revision), lagging)
            });
            let (reached, lagging) = progress?;
            if reached || Instant::now() >= deadline {
                return Some((reached, lagging));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether a revision is in force on all routers; false if this daemon does not lead.
    pub fn is_in_force(&self, revision: u64) -> bool {
        self.with_leases(|table, now| table.is_in_force(now, revision)).unwrap_or(false)
    }

    /// Routers with a live lease. The outer `None` means that this daemon does not lead, the inner
    /// `None` that leases granted by an earlier leader may not have expired yet.
    pub fn live_routers(&self) -> Option<Option<Vec<RouterId>>> {
        self.with_leases(|table, now| {
            let live = || table.live(now).map(|(router, _)| router.clone()).collect();
            table.earlier_leases_expired(now).then(live)
        })
    }

    /// Routers with a live lease of this leader; `None` if this daemon does not lead.
    pub(super) fn known_routers(&self) -> Option<Vec<RouterId>> {
        self.with_leases(|table, now| table.live(now).map(|(router, _)| router.clone()).collect())
    }

    /// Runs `update` on the lease table of the current term and the time since process start;
    /// `None` if this daemon does not lead.
    fn with_leases<F, T>(&self, update: F) -> Option<T>
    where
        F: FnOnce(&mut LeaseTable, Duration) -> T,
    {
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            return None;
        }
        let mut leases = self.leases.lock().expect("lease table lock");
        if leases.as_ref().is_none_or(|leases| leases.term < status.term) {
            let table = LeaseTable::new(self.settings.lease_duration, status.leader_since);
            *leases = Some(LeaderLeases { term: status.term, table });
        }
        let leases = leases.as_mut().filter(|leases| leases.term == status.term)?;
        let result = update(&mut leases.table, since_start());
        control.may_serve_reads().then_some(result)
    }
}
