//! VM list and pool statistics that the leader of the control group keeps for daemons of role
//! router.
//!
//! The VM list is the platform's, corrected by what routers have seen, as a server that told one of
//! them that it is leaving counts as leaving for all, and by the roll-outs: so do servers of versions
//! that may get no calls.

use crate::control::RouterId;
use crate::group::since_start;
use crate::name::VmName;
use crate::peer::PoolReport;
use crate::policy::Tally;
use crate::vms::{LeavingMarks, Vm, VmSnapshot, VmState};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The VM list fetched by the leader, and the pool statistics reported by routers.
#[derive(Debug)]
pub struct LeaderPools {
    /// The VM list as last fetched; `None` if this daemon does not lead or has not fetched it yet.
    pub vm_list: watch::Sender<Option<Arc<VmSnapshot>>>,
    fetched: Mutex<Option<FetchedList>>,
    reports: Mutex<TermReports>,
}

/// The VM list as the platform last gave it.
#[derive(Debug)]
struct FetchedList {
    vms: Vec<Vm>,
    marks: LeavingMarks,
}

/// The latest report of each router in one term.
#[derive(Debug, Default)]
struct TermReports {
    term: u64,
    reports: BTreeMap<RouterId, Vec<Tally>>,
}

impl Default for LeaderPools {
    fn default() -> Self {
        Self {
            vm_list: watch::Sender::new(None),
            fetched: Mutex::default(),
            reports: Mutex::default(),
        }
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

    /// Stores the VM list as fetched from the platform. Call `Node::install_vm_list` afterwards.
    pub fn record_fetched(&self, vms: Vec<Vm>) {
        let mut fetched = self.fetched.lock().expect("fetched list lock");
        let marks = fetched.take().map(|fetched| fetched.marks).unwrap_or_default();
        *fetched = Some(FetchedList { vms, marks });
    }

    /// Marks servers that a router has seen leaving. Without a fetched list there is nothing to
    /// mark; the router reports them again.
    pub fn mark_leaving(&self, servers: &[VmName], reporter: &VmName) {
        let mut fetched = self.fetched.lock().expect("fetched list lock");
        let Some(fetched) = fetched.as_mut() else { return };
        for server in servers {
            if fetched.marks.add(server, since_start()) {
                log::info!("server {server} is leaving, as it told router {reporter}");
            }
        }
    }

    /// The fetched list with the marks applied, and what `may_serve` refuses shown as leaving; `None`
    /// before the first fetch as leader.
    pub fn current_list<F>(&self, may_serve: F) -> Option<VmSnapshot>
    where
        F: Fn(&Vm) -> bool,
    {
        let mut fetched = self.fetched.lock().expect("fetched list lock");
        let fetched = fetched.as_mut()?;
        let mut vms = fetched.vms.clone();
        fetched.marks.apply(&mut vms, since_start());
        for vm in vms.iter_mut().filter(|vm| !may_serve(vm)) {
            vm.state = VmState::Leaving;
        }
        Some(VmSnapshot::new(vms))
    }

    /// Makes a list the current one, which wakes the routers that wait for a change.
    pub fn install(&self, snapshot: VmSnapshot) {
        let (digest, count) = (snapshot.digest, snapshot.vms.len());
        let changed = self.vm_list.send_if_modified(|current| {
            let changed = current.as_ref().is_none_or(|current| current.digest != digest);
            if changed {
                *current = Some(Arc::new(snapshot));
            }
            changed
        });
        if changed {
            log::info!("the VM list has changed: {count} VMs");
        }
    }

    /// Forgets the VM list, as this daemon no longer leads.
    pub fn forget_list(&self) {
        *self.fetched.lock().expect("fetched list lock") = None;
        self.vm_list.send_if_modified(|current| current.take().is_some());
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
