use super::counters::Counters;
use super::{
    Admission, Answer, Budgets, Learner, LedgerClient, Ran, Refusal, RefusalCode, RouterLease,
    Servers, Unsent,
};
use crate::backend::{Connections, LoadTable};
use crate::control::Config;
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::{DataCentre, PoolName, RequestId, VersionKey, VmName};
use crate::policy::{Balance, Candidate, PrefixKeys, pick_replica};
use crate::vms::{Vm, VmList};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Everything that serving a request needs.
pub struct Router {
    /// Where this router stands.
    pub data_centre: DataCentre,
    /// The leave to work.
    pub lease: Arc<RouterLease>,
    /// Pins, claims and bills.
    pub ledger: LedgerClient,
    /// Connections to backend servers.
    pub connections: Arc<Connections>,
    /// The VM list.
    pub vms: Arc<VmList>,
    /// Load reports.
    pub loads: Arc<LoadTable>,
    /// What is known of backend servers.
    pub servers: Arc<Servers>,
    /// Places at pools.
    pub admission: Arc<Admission>,
    /// Retry budgets of organisations.
    pub budgets: Budgets,
    /// How servers are picked.
    pub balance: Balance,
    /// Requests under way.
    pub counters: Arc<Counters>,
    /// Events.
    pub journal: Arc<Journal>,
    /// The rating service, where there is one.
    pub rating: Option<SocketAddr>,
    /// What is learned from answers.
    pub learner: Arc<Learner>,
    /// Ratings that may be waited for at once.
    pub ratings: Arc<Semaphore>,
    /// The longest wait for a stream's first token.
    pub first_token: Duration,
    /// The longest silence between two tokens.
    pub token_gap: Duration,
    /// The deadline of a request that names none.
    pub deadline: Duration,
    /// How long a caller may take to send a request's body.
    pub receive: Duration,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// Set while the daemon stops.
    pub draining: AtomicBool,
    /// Runs work that must end even if its caller leaves.
    pub runtime: tokio::runtime::Handle,
    /// Breaks ties among equal servers.
    pub turn: AtomicUsize,
}

impl Router {
    /// The configuration to work under, or a refusal.
    pub(super) fn config(&self, unsent: &Unsent) -> Result<Arc<Config>, Refusal> {
        let none = || {
            let text = "this daemon is cut off from its cluster; another one can serve the request";
            Refusal::not_run(RefusalCode::NoLease, text, unsent)
        };
        self.lease.config().ok_or_else(none)
    }

    /// Picks a server of a pool, avoiding those already tried. Servers that hold the prompt's prefix
    /// are preferred while they are not busy.
    pub(super) fn pick(
        &self,
        pool: &PoolName,
        version: Option<&VersionKey>,
        tried: &[VmName],
        prefix: &PrefixKeys,
    ) -> Option<Arc<Vm>> {
        let shares = self.servers.shares(prefix);
        let now = since_start();
        let mut candidates = Vec::new();
        for vm in self.vms.now().pool(pool).iter() {
            if tried.contains(&vm.vm) || version.is_some_and(|key| self.loads.lacks(&vm.vm, key)) {
                continue;
            }
            let stats = self.servers.stats(&vm.vm);
            let held = shares.iter().find(|(server, _)| *server == vm.vm);
            candidates.push(Candidate {
                load: stats.load(now),
                slots: stats.slots(),
                own: stats.own(),
                room: stats.room(),
                first: stats.first(now),
                lasted: stats.lasted(),
                usable: stats.may_use(now),
                near: vm.data_centre == self.data_centre,
                cached: held.map_or(0.0, |(_, share)| *share),
                rank: prefix.rank(&vm.vm),
                vm: vm.clone(),
            });
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let picked = pick_replica(&candidates, self.balance, turn, &mut rand::rng());
        picked.map(|candidate| candidate.vm.clone())
    }

    /// Records a refusal and makes it the answer.
    pub(super) fn refuse(&self, request: RequestId, refusal: Refusal) -> Answer {
        let code = refusal.code.as_str();
        metrics::counter!("samphireshift_refusals_total", "code" => code).increment(1);
        let (code, ran) = (code.to_owned(), Ran::as_str(refusal.ran).to_owned());
        self.journal.record(Event::RequestRefused { request, code, ran });
        Answer::Refused(refusal)
    }

    /// Whether the daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
