//! VM list and pool statistics that the leader of the control group keeps for daemons of role
//! router.

use crate::control::RouterId;
use crate::peer::PoolReport;
use crate::policy::Tally;
use crate::vms::VmSnapshot;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The VM list fetched by the leader, and the pool statistics reported by routers.
#[derive(Debug)]
pub struct LeaderPools {
    /// The VM list as last fetched; `None` if this daemon does not lead or has not fetched it yet.
    pub vm_list: watch::Sender<Option<Arc<VmSnapshot>>>,
    reports: Mutex<TermReports>,
}

/// The latest report of each router in one term.
#[derive(Debug, Default)]
struct TermReports {
    term: u64,
    reports: BTreeMap<RouterId, Vec<Tally>>,
}

impl Default for LeaderPools {
    fn default() -> Self {
        Self { vm_list: watch::Sender::new(None), reports: Mutex::default() }
    }
}

impl LeaderPools {
    /// Whether there is a VM list that the reporting router does not have.
    pub fn has_update(&self, report: Option<&PoolReport>) -> bool {
        report.is_some_and(|report| self.changed_list(report.list_digest).is_some())
    }

    /// The VM list, if there is one and its digest differs from `digest`.
    pub fn changed_list(&self, digest: u64) -> Option<Arc<VmSnapshot>> {
        self.vm_list.borrow().clone().filter(|vm_list| vm_list.digest != digest)
    }

    /// Stores a router's report. Routers count from their own start, so the latest report replaces
    /// all earlier ones. A new term discards the reports of the previous term.
    pub fn record_report(&self, term: u64, router: &RouterId, tallies: &[Tally]) {
        let mut current = self.reports.lock().expect("reports lock");
        if current.term != term {
            *current = TermReports { term, reports: BTreeMap::new() };
        }
        current.reports.insert(router.clone(), tallies.to_vec());
    }

    /// The tallies in the latest reports of all routers.
    pub fn tallies(&self) -> Vec<Tally> {
        let current = self.reports.lock().expect("reports lock");
        current.reports.values().flatten().cloned().collect()
    }
}
