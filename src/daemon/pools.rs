//! What a leader knows of pools, for daemons that only route.

use crate::control::RouterId;
use crate::peer::PoolReport;
use crate::policy::Tally;
use crate::vms::VmSnapshot;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The VM list that the leader has read, and what routers saw of pools.
#[derive(Debug)]
pub struct LeaderPools {
    /// The list as this leader last read it; `None` where it has read none in its term.
    pub listing: watch::Sender<Option<Arc<VmSnapshot>>>,
    seen: Mutex<Seen>,
}

/// The newest reports, by router, of one term.
#[derive(Debug, Default)]
struct Seen {
    term: u64,
    reports: BTreeMap<RouterId, Vec<Tally>>,
}

impl Default for LeaderPools {
    fn default() -> Self {
        Self { listing: watch::Sender::new(None), seen: Mutex::default() }
    }
}

impl LeaderPools {
    /// Whether there is a VM list that the asking router does not have.
    pub fn has_news(&self, report: Option<&PoolReport>) -> bool {
        report.is_some_and(|report| self.unseen(report.listing).is_some())
    }

    /// The VM list, where its digest is another one.
    pub fn unseen(&self, digest: u64) -> Option<Arc<VmSnapshot>> {
        self.listing.borrow().clone().filter(|listing| listing.digest != digest)
    }

    /// Takes in what a router saw; it counts from its own start, so that the newest report replaces
    /// all before.
    pub fn take(&self, term: u64, router: &RouterId, tallies: &[Tally]) {
        let mut seen = self.seen.lock().expect("reports lock");
        if seen.term != term {
            *seen = Seen { term, reports: BTreeMap::new() };
        }
        seen.reports.insert(router.clone(), tallies.to_vec());
    }

    /// The newest reports of all routers.
    pub fn tallies(&self) -> Vec<Tally> {
        let seen = self.seen.lock().expect("reports lock");
        seen.reports.values().flatten().cloned().collect()
    }
}
