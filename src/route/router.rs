use super::counters::Counters;
use super::{Answer, LedgerClient, Ran, Refusal, RefusalCode, RouterLease, Unsent};
use crate::backend::{Connections, LoadTable};
use crate::control::Config;
use crate::event::{Event, Journal};
use crate::name::{DataCentre, PoolName, RequestId, VersionKey, VmName};
use crate::platform::{Vm, VmList};
use crate::policy::{Candidate, pick_replica};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Everything that serving a request needs.
pub struct Router {
    /// Where this router stands.
    pub data_centre: DataCentre,
    /// The leave to work.
    pub lease: RouterLease,
    /// Pins, claims and bills.
    pub ledger: LedgerClient,
    /// Connections to backend servers.
    pub connections: Arc<Connections>,
    /// The VM list.
    pub vms: Arc<VmList>,
    /// Load reports.
    pub loads: Arc<LoadTable>,
    /// Requests under way.
    pub counters: Arc<Counters>,
    /// Events.
    pub journal: Arc<Journal>,
    /// The rating service, where there is one.
    pub rating: Option<SocketAddr>,
    /// The share of answers that are rated, in thousandths.
    pub sample: u64,
    /// The longest silence between two tokens.
    pub token_gap: Duration,
    /// The deadline of a request that names none.
    pub deadline: Duration,
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

    /// Picks a server of a pool, avoiding those already tried.
    pub(super) fn pick(
        &self,
        pool: &PoolName,
        version: Option<&VersionKey>,
        tried: &[VmName],
    ) -> Option<Vm> {
        let mut candidates = Vec::new();
        for vm in self.vms.pool(pool) {
            let report = self.loads.report(&vm.vm).map(|(report, _)| report);
            let lacks = |key: &VersionKey| {
                report.as_ref().is_some_and(|r| !r.versions.is_empty() && !r.has(key))
            };
            if tried.contains(&vm.vm) || version.is_some_and(lacks) {
                continue;
            }
            let reported = report.map_or(0, |r| r.running + r.waiting);
            let own = self.counters.calls(&vm.vm);
            let near = vm.data_centre == self.data_centre;
            candidates.push(Candidate { vm, reported, own, near });
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        pick_replica(&candidates, turn).map(|candidate| candidate.vm.clone())
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
