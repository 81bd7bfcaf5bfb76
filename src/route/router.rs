use super::request_counter::RequestCounter;
use super::{
    Admission, Answer, LedgerClient, Ran, Refusal, RefusalCode, RetryBudgets, RouterLease,
    ServerTracker, Unsent, VersionSelector,
};
use crate::backend::{ByteBudget, ConnectionPool, LoadedVersions};
use crate::control::Config;
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::{DataCentre, PoolName, RequestId, VersionKey, VmName};
use crate::policy::{BalancePolicy, PrefixKeys, ServerCandidate, pick_server};
use crate::vms::{Vm, VmList};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;

/// The state that all requests on this router share: leases, clients, statistics and limits.
pub struct Router {
    /// Data centre of this router. Servers in the same one count as local.
    pub data_centre: DataCentre,
    /// Lease under which this router may serve requests, with the configuration.
    pub lease: Arc<RouterLease>,
    /// Client for session pins, claims and bills.
    pub ledger: LedgerClient,
    /// Connection pool for backend servers.
    pub connections: Arc<ConnectionPool>,
    /// Limits the bytes of answers that are held at the same time.
    pub buffers: Arc<ByteBudget>,
    /// VMs and their pools, as polled from the VM list.
    pub vms: Arc<VmList>,
    /// Newest load report of each backend server.
    pub loads: Arc<LoadedVersions>,
    /// Statistics and prefix caches of the backend servers.
    pub servers: Arc<ServerTracker>,
    /// Admission control of the pools.
    pub admission: Arc<Admission>,
    /// Retry budgets of the organisations.
    pub budgets: RetryBudgets,
    /// Load balancing algorithm.
    pub balance: BalancePolicy,
    /// Number of requests in flight.
    pub counter: Arc<RequestCounter>,
    /// Journal that events are recorded in.
    pub journal: Arc<Journal>,
    /// Address of the rating service; `None` if answers are not rated.
    pub rating_service: Option<SocketAddr>,
    /// Chooses versions and collects the outcomes of attempts.
    pub selector: Arc<VersionSelector>,
    /// Limits the number of concurrent background ratings.
    pub rating_slots: Arc<Semaphore>,
    /// Timeout for the first token of a stream.
    pub first_token: Duration,
    /// Timeout between two tokens of a stream.
    pub token_gap: Duration,
    /// Time allowed for a request that gives no deadline.
    pub default_timeout: Duration,
    /// Timeout for receiving the head and, after it, the body of a request.
    pub receive_timeout: Duration,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Set while the daemon drains its requests to stop.
    pub draining: AtomicBool,
    /// Runs tasks that must complete even if the caller disconnects.
    pub runtime: tokio::runtime::Handle,
    /// Counter that breaks ties between equal servers.
    pub tie_breaker: AtomicUsize,
}

impl Router {
    /// Returns the configuration of the lease, or a refusal without a valid lease.
    pub(super) fn config(&self, unsent: &Unsent) -> Result<Arc<Config>, Refusal> {
        let none = || {
            let text = "this daemon has lost contact with its cluster; retry with another daemon";
            Refusal::not_run(RefusalCode::NoLease, text, unsent)
        };
        self.lease.config().ok_or_else(none)
    }

    /// Picks a server of a pool that was not tried yet and does not lack `version`. Servers that
    /// have the prompt's prefix cached are preferred unless they are busy.
    pub(super) fn pick_server(
        &self,
        pool: &PoolName,
        version: Option<&VersionKey>,
        tried: &[VmName],
        prefix: &PrefixKeys,
    ) -> Option<Arc<Vm>> {
        let shares = self.servers.prefix_shares(prefix);
        let now = since_start();
        let config = self.lease.installed();
        let is_evacuated =
            |vm: &Vm| config.as_ref().is_some_and(|config| config.is_evacuated(&vm.data_centre));
        let mut candidates = Vec::new();
        for vm in self.vms.current().pool(pool).iter() {
            if tried.contains(&vm.name)
                || is_evacuated(vm)
                || version.is_some_and(|key| self.loads.lacks(&vm.name, key))
            {
                continue;
            }
            let stats = self.servers.stats(&vm.name);
            let held = shares.iter().find(|(server, _)| *server == vm.name);
            candidates.push(ServerCandidate {
                load: stats.load(now),
                slots: stats.slots(),
                own_calls: stats.own_calls(),
                headroom: stats.headroom(),
                first_token_ms: stats.first_token_ms(now),
                call_ms: stats.call_ms(),
                usable: stats.allows_request(now),
                local: vm.data_centre == self.data_centre,
                cached_share: held.map_or(0.0, |(_, share)| *share),
                affinity_rank: prefix.affinity_rank(&vm.name),
                vm: vm.clone(),
            });
        }
        let tie_breaker = self.tie_breaker.fetch_add(1, Ordering::Relaxed);
        let picked = pick_server(&candidates, self.balance, tie_breaker, &mut rand::rng());
        picked.map(|candidate| candidate.vm.clone())
    }

    /// Records a refusal in the metrics and the journal, and returns it as the answer.
    pub(super) fn refuse(&self, request: RequestId, refusal: Refusal) -> Answer {
        let code = refusal.code.as_str();
        metrics::counter!("samphireshift_refusals_total", "code" => code).increment(1);
        let (code, ran) = (code.to_owned(), Ran::as_str(refusal.ran).to_owned());
        self.journal.record(Event::RequestRefused { request, code, ran });
        Answer::Refused(refusal)
    }

    /// Whether the daemon is draining its requests to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
