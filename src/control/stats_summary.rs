use super::{AnswerStats, AnswerStatsEntry, Evidence, RouterId, StatKey};
use crate::name::VersionKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of keys with statistics; further keys are ignored.
pub const MAX_STAT_KEYS: usize = 4_096;

/// The last report of a router that is included in the summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastReport {
    /// The router that sent the report.
    pub router: RouterId,
    /// The report's sequence number.
    pub number: u64,
}

/// The changes of a summary since the last commit. Each entry replaces the older one of its key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatsSummaryChange {
    /// Answer statistics that changed.
    pub answer_stats: Vec<AnswerStatsEntry>,
    /// Evidence that changed.
    pub evidence: Vec<Evidence>,
    /// The last report included from each router; replaces the whole older list.
    pub last_reports: Vec<LastReport>,
    /// Versions whose evidence is removed because they were withdrawn or reopened.
    pub dropped: Vec<VersionKey>,
}

/// Statistics and evidence that are replicated so that a new leader can continue from them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatsSummary {
    /// Answer statistics by organisation, kind of task and version.
    pub answer_stats: BTreeMap<StatKey, AnswerStats>,
    /// Evidence by version.
    pub evidence: BTreeMap<VersionKey, Evidence>,
    /// The number of the last report included from each router.
    pub last_reports: BTreeMap<RouterId, u64>,
}

impl StatsSummary {
    /// Applies a change. Applying the same change again has no effect.
    pub fn apply(&mut self, change: StatsSummaryChange) {
        for AnswerStatsEntry { key, stats } in change.answer_stats {
            if self.answer_stats.len() < MAX_STAT_KEYS || self.answer_stats.contains_key(&key) {
                self.answer_stats.insert(key, stats);
            }
        }
        for version in &change.dropped {
            self.evidence.remove(version);
        }
        for evidence in change.evidence {
            self.evidence.insert(evidence.version.clone(), evidence);
        }
        let last_reports = change.last_reports.into_iter().map(|r| (r.router, r.number));
        self.last_reports = last_reports.collect();
    }
}
