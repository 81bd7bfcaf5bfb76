use super::{KindKey, QualityEstimate};
use crate::control::{AnswerStats, AnswerStatsEntry, StatKey, Version};
use crate::name::{OrganisationName, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Below this many ratings, at least `MIN_UNCERTAIN_PERMILLE` of the answers are rated.
const FEW_RATINGS: f64 = 100.0;
/// From this many ratings on, fewer answers are sampled if the estimate is far from the target.
const MANY_RATINGS: f64 = 400.0;
/// Distance from the target, in standard errors, that counts as far.
const FAR_STD_ERRORS: f64 = 4.0;
/// Minimum share of answers that is rated while there are few ratings, in thousandths.
const MIN_UNCERTAIN_PERMILLE: u64 = 500;
/// All answers, in thousandths.
const ALL_PERMILLE: u64 = 1_000;
/// Divisor of the configured share where the estimate is far from the target.
const CERTAIN_DIVISOR: u64 = 4;

/// Position in a leader's sequence of changes; says which changes a router has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The leader's term.
    pub term: u64,
    /// The number of the last change within that term.
    pub number: u64,
}

/// Changes that the leader sends to a router.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatsChange {
    /// The router's position after applying the change.
    pub epoch: Epoch,
    /// Sums that changed.
    pub entries: Vec<AnswerStatsEntry>,
    /// The new flags; `None` if they did not change.
    pub flags: Option<VersionFlags>,
}

/// Results of the sequential tests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionFlags {
    /// Versions that were found bad.
    pub bad: BTreeSet<VersionKey>,
    /// Versions and task kinds under suspicion; all of their answers are rated.
    pub watched: BTreeSet<KindKey>,
}

/// A router's copy of the statistics and test results that the leader aggregates over all routers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetStats {
    epoch: Epoch,
    answer_stats: BTreeMap<StatKey, AnswerStats>,
    pooled: BTreeMap<KindKey, AnswerStats>,
    flags: VersionFlags,
}

impl FleetStats {
    /// The position up to which changes were applied.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies a change sent by the leader.
    pub fn apply(&mut self, change: FleetStatsChange) {
        self.epoch = change.epoch;
        for AnswerStatsEntry { key, stats } in change.entries {
            self.answer_stats.insert(key, stats);
        }
        if let Some(flags) = change.flags {
            self.flags = flags;
        }
        self.update_pooled();
    }

    /// Whether the tests found a version to be bad.
    pub fn is_bad(&self, version: &VersionKey) -> bool {
        self.flags.bad.contains(version)
    }

    /// The estimated quality of a version for an organisation and kind of task.
    pub fn quality(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        key: &VersionKey,
        version: &Version,
    ) -> QualityEstimate {
        let own_stats = self.own_stats(organisation, kind, key);
        QualityEstimate::new(version.quality, &self.pooled_stats(kind, key), &own_stats)
    }

    /// The sums of a version for an organisation and kind of task; the sums over all organisations
    /// if the organisation has fewer than 20 answers of its own.
    pub fn typical_stats(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
    ) -> AnswerStats {
        const FEW_ANSWERS: u64 = 20;
        let own_stats = self.own_stats(organisation, kind, version);
        if own_stats.answers >= FEW_ANSWERS { own_stats } else { self.pooled_stats(kind, version) }
    }

    /// The share of a version's answers to rate, in thousandths. No answers are rated where the
    /// configured share is 0.
    pub fn sample_permille(
        &self,
        kind: &TaskKind,
        key: &VersionKey,
        estimate: &QualityEstimate,
        params: SamplingParams,
    ) -> u64 {
        let watch = KindKey { kind: kind.clone(), version: key.clone() };
        if params.base_permille == 0 {
            return 0;
        }
        if params.in_rollout || self.flags.watched.contains(&watch) {
            return ALL_PERMILLE;
        }
        if estimate.ratings < FEW_RATINGS {
            return params.base_permille.max(MIN_UNCERTAIN_PERMILLE);
        }
        let far = (estimate.mean - params.target).abs() > FAR_STD_ERRORS * estimate.std_error;
        match far && estimate.ratings >= MANY_RATINGS {
            true => params.base_permille.div_ceil(CERTAIN_DIVISOR),
            false => params.base_permille,
        }
    }

    fn own_stats(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        key: &VersionKey,
    ) -> AnswerStats {
        let key = StatKey {
            organisation: organisation.clone(),
            kind: kind.clone(),
            version: key.clone(),
        };
        self.answer_stats.get(&key).copied().unwrap_or_default()
    }

    fn pooled_stats(&self, kind: &TaskKind, key: &VersionKey) -> AnswerStats {
        let key = KindKey { kind: kind.clone(), version: key.clone() };
        self.pooled.get(&key).copied().unwrap_or_default()
    }

    fn update_pooled(&mut self) {
        self.pooled.clear();
        for (key, stats) in &self.answer_stats {
            let key = KindKey { kind: key.kind.clone(), version: key.version.clone() };
            self.pooled.entry(key).or_default().add(stats);
        }
    }
}

/// What the share of rated answers depends on, besides the estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingParams {
    /// The quality target, from 0 to 1.
    pub target: f64,
    /// The configured share of answers to rate, in thousandths.
    pub base_permille: u64,
    /// Whether the version is the target of a roll-out; all of its answers are rated then.
    pub in_rollout: bool,
}
