use super::{Evidence, Learned, LearnedEntry, Router, StatKey};
use crate::name::VersionKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Keys that are kept at most.
pub const KEYS: usize = 4_096;

/// How far one router's reports were taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    /// The router.
    pub router: Router,
    /// Its last report.
    pub report: u64,
}

/// Changes of the summary since the last commit; each entry replaces the older one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SummaryChange {
    /// Sums that changed.
    pub learned: Vec<LearnedEntry>,
    /// Evidence that changed.
    pub evidence: Vec<Evidence>,
    /// Reports taken in by all live routers; replaces the older list.
    pub counted: Vec<Counted>,
    /// Versions whose evidence is dropped, as they take no work or were opened anew.
    pub dropped: Vec<VersionKey>,
}

/// What a new leader goes on from.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Sums by key.
    pub learned: BTreeMap<StatKey, Learned>,
    /// Evidence by version.
    pub evidence: BTreeMap<VersionKey, Evidence>,
    /// Reports taken in.
    pub counted: BTreeMap<Router, u64>,
}

impl Summary {
    /// Takes changes over. Doing so twice changes nothing more.
    pub fn apply(&mut self, change: SummaryChange) {
        for LearnedEntry { key, learned } in change.learned {
            if self.learned.len() < KEYS || self.learned.contains_key(&key) {
                self.learned.insert(key, learned);
            }
        }
        for version in &change.dropped {
            self.evidence.remove(version);
        }
        for evidence in change.evidence {
            self.evidence.insert(evidence.version.clone(), evidence);
        }
        let counted = change.counted.into_iter().map(|c| (c.router, c.report));
        self.counted = counted.collect();
    }
}
