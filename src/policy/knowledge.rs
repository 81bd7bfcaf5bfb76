use super::{Estimate, KindKey};
use crate::control::{Learned, LearnedEntry, StatKey, Version};
use crate::name::{OrganisationName, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ratings below which more answers are rated than the setting says.
const FEW_RATINGS: f64 = 100.0;
/// Ratings from which fewer answers are rated where the estimate is far from the target.
const MANY_RATINGS: f64 = 400.0;
/// Standard errors that count as far.
const FAR: f64 = 4.0;
/// The least share of answers that is rated while ratings are few, in thousandths.
const UNSURE_SAMPLE: u64 = 500;
/// All answers, in thousandths.
const EVERY: u64 = 1_000;
/// The part of the setting that is enough where the estimate is sure.
const SURE_PART: u64 = 4;

/// Which of a leader's changes a router has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The leader's term.
    pub term: u64,
    /// The number of the last change within that term.
    pub number: u64,
}

/// Changes that a leader passes on to a router.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KnowledgeChange {
    /// What the router has afterwards.
    pub epoch: Epoch,
    /// Sums that changed.
    pub entries: Vec<LearnedEntry>,
    /// The flags, where they changed.
    pub flags: Option<Flags>,
}

/// What sequential tests say of versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flags {
    /// Versions that are held to be bad.
    pub bad: BTreeSet<VersionKey>,
    /// Versions and kinds whose answers are all to be rated.
    pub watched: BTreeSet<KindKey>,
}

/// What a router knows from the answers of all routers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Knowledge {
    epoch: Epoch,
    learned: BTreeMap<StatKey, Learned>,
    pooled: BTreeMap<KindKey, Learned>,
    flags: Flags,
}

impl Knowledge {
    /// What this is up to date with.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes changes over.
    pub fn apply(&mut self, change: KnowledgeChange) {
        self.epoch = change.epoch;
        for LearnedEntry { key, learned } in change.entries {
            self.learned.insert(key, learned);
        }
        if let Some(flags) = change.flags {
            self.flags = flags;
        }
        self.pool();
    }

    /// Whether a version is held to be bad.
    pub fn is_bad(&self, version: &VersionKey) -> bool {
        self.flags.bad.contains(version)
    }

    /// The quality to expect of a version.
    pub fn quality(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        key: &VersionKey,
        version: &Version,
    ) -> Estimate {
        let own = self.own(organisation, kind, key);
        Estimate::new(version.quality, &self.all(kind, key), &own)
    }

    /// The sums of a key, of all organisations where the organisation's own are few.
    pub fn usual(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
    ) -> Learned {
        const FEW_ANSWERS: u64 = 20;
        let own = self.own(organisation, kind, version);
        if own.answers >= FEW_ANSWERS { own } else { self.all(kind, version) }
    }

    /// The share of a version's answers that is to be rated, in thousandths; `setting` is the share
    /// for an ordinary version.
    pub fn sample(&self, kind: &TaskKind, key: &VersionKey, at: &Estimate, goal: Goal) -> u64 {
        let watch = KindKey { kind: kind.clone(), version: key.clone() };
        if goal.setting == 0 {
            return 0;
        }
        if goal.rising || self.flags.watched.contains(&watch) {
            return EVERY;
        }
        if at.ratings < FEW_RATINGS {
            return goal.setting.max(UNSURE_SAMPLE);
        }
        let far = (at.mean - goal.target).abs() > FAR * at.error;
        match far && at.ratings >= MANY_RATINGS {
            true => goal.setting.div_ceil(SURE_PART),
            false => goal.setting,
        }
    }

    fn own(&self, organisation: &OrganisationName, kind: &TaskKind, key: &VersionKey) -> Learned {
        let key = StatKey {
            organisation: organisation.clone(),
            kind: kind.clone(),
            version: key.clone(),
        };
        self.learned.get(&key).copied().unwrap_or_default()
    }

    fn all(&self, kind: &TaskKind, key: &VersionKey) -> Learned {
        let key = KindKey { kind: kind.clone(), version: key.clone() };
        self.pooled.get(&key).copied().unwrap_or_default()
    }

    fn pool(&mut self) {
        self.pooled.clear();
        for (key, learned) in &self.learned {
            let key = KindKey { kind: key.kind.clone(), version: key.version.clone() };
            self.pooled.entry(key).or_default().add(learned);
        }
    }
}

/// What rating is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Goal {
    /// The quality that answers must meet.
    pub target: f64,
    /// The share of answers to rate, in thousandths.
    pub setting: u64,
    /// Whether the version is being rolled out.
    pub rising: bool,
}
