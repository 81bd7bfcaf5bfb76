use super::steps::{StepStart, next_step};
use super::{CountReport, Delta, Epoch, Flags, Judge, KindKey, KnowledgeChange, Reference};
use crate::control::{
    Config, Counted, Evidence, Exhausted, KEYS, Learned, LearnedEntry, Organisation, Rollout,
    RolloutStatus, Router, StatKey, Summary, SummaryChange, VersionState,
};
use crate::name::{RolloutName, VersionKey};
use std::collections::BTreeMap;

/// Entries that one change carries at most.
const ENTRIES: usize = 64;
/// Sums are passed on when they grew by one in so many.
const GROWN_PART: u64 = 8;
/// Evidence is committed anew when its strength changed by this factor.
const STRONGER: f64 = 3.0;
/// Evidence below this part of a threshold is all alike.
const FAINT: f64 = 1e-4;

/// What is to be done about a version that is held to be bad.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The version.
    pub version: VersionKey,
    /// Why.
    pub evidence: String,
    /// Whether it must go on as the last one of an organisation that wants the least bad.
    pub needed: bool,
}

/// What a leader gathers from the reports of all routers.
#[derive(Debug, Clone)]
pub struct Board {
    term: u64,
    number: u64,
    learned: BTreeMap<StatKey, Learned>,
    judges: BTreeMap<VersionKey, Judge>,
    counted: BTreeMap<Router, u64>,
    passed: BTreeMap<StatKey, Passed>,
    flags: Flags,
    flagged: u64,
    steps: BTreeMap<RolloutName, StepStart>,
}

/// Sums as they were last passed on.
#[derive(Debug, Clone, Copy)]
struct Passed {
    number: u64,
    learned: Learned,
}

impl Board {
    /// Goes on from what was committed.
    pub fn open(term: u64, summary: &Summary) -> Self {
        let judges = summary.evidence.iter();
        let mut board = Self {
            term,
            number: 1,
            learned: summary.learned.clone(),
            judges: judges.map(|(key, e)| (key.clone(), Judge::resume(e.clone()))).collect(),
            counted: summary.counted.clone(),
            passed: BTreeMap::new(),
            flags: Flags::default(),
            flagged: 1,
            steps: BTreeMap::new(),
        };
        for key in board.learned.keys().cloned().collect::<Vec<_>>() {
            board.pass(&key);
        }
        board
    }

    /// The term that the board belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// What the tests say.
    pub fn flags(&self) -> &Flags {
        &self.flags
    }

    /// The judge of a version.
    pub fn judge(&self, version: &VersionKey) -> Option<&Judge> {
        self.judges.get(version)
    }

    /// Takes a report in, once, however often it is sent; returns the number of the last report
    /// taken in of this router.
    pub fn merge(&mut self, config: &Config, router: &Router, report: &CountReport) -> u64 {
        let last = self.counted.get(router).copied().unwrap_or(0);
        if report.number <= last {
            return last;
        }
        self.counted.retain(|known, _| known.vm != router.vm);
        self.counted.insert(router.clone(), report.number);
        report.deltas.iter().for_each(|delta| self.take(config, delta));
        self.flag(config);
        report.number
    }

    /// Takes single counts in, where there is no report to tell from its repetition.
    pub fn observe(&mut self, config: &Config, delta: &Delta) {
        self.take(config, delta);
        self.flag(config);
    }

    /// Changes since the epoch that a router has; `None` where there are none.
    pub fn change_since(&self, epoch: Epoch) -> Option<KnowledgeChange> {
        let known = if epoch.term == self.term { epoch.number } else { 0 };
        if known >= self.number {
            return None;
        }
        let newer = self.passed.iter().filter(|(_, passed)| passed.number > known);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, passed)| passed.number);
        let cut = newer.len() > ENTRIES;
        newer.truncate(ENTRIES);
        let last = newer.last().map_or(known, |(_, passed)| passed.number);
        let number = if cut { last } else { self.number };
        let entry = |(key, passed): &(&StatKey, &Passed)| LearnedEntry {
            key: (*key).clone(),
            learned: passed.learned,
        };
        let entries = newer.iter().map(entry).collect();
        let flags = Some(&self.flags).filter(|_| self.flagged > known).cloned();
        Some(KnowledgeChange { epoch: Epoch { term: self.term, number }, entries, flags })
    }

    /// The evidence against all versions that take work.
    pub fn evidence(&self) -> Vec<Evidence> {
        self.judges.values().map(|judge| judge.evidence().clone()).collect()
    }

    /// All sums.
    pub fn learned(&self) -> Vec<LearnedEntry> {
        let entry = |(key, learned): (&StatKey, &Learned)| LearnedEntry {
            key: key.clone(),
            learned: *learned,
        };
        self.learned.iter().map(entry).collect()
    }

    /// Versions that are held to be bad and may still be given work.
    pub fn verdicts(&self, config: &Config) -> Vec<Verdict> {
        let bad = self.judges.iter().filter_map(|(key, judge)| {
            let evidence = judge.verdict()?.to_owned();
            let needed = is_needed(config, key, &self.flags);
            Some(Verdict { version: key.clone(), evidence, needed })
        });
        bad.filter(|verdict| takes_work(config, &verdict.version)).collect()
    }

    /// Forgets the evidence against a version, after it was stopped.
    pub fn forget(&mut self, version: &VersionKey) {
        self.judges.remove(version);
    }

    /// Roll-outs that may go on, each as it is and as it is to be; `rated` where there is a rating
    /// service.
    pub fn steps(&mut self, config: &Config, rated: bool) -> Vec<(Rollout, Rollout)> {
        let mut next = Vec::new();
        for rollout in config.rollouts.values() {
            let Some(judge) = self.judges.get(&rollout.to) else { continue };
            let (answers, ratings) = (judge.evidence().answers, judge.ratings());
            let now = StepStart { step: rollout.step, answers, ratings };
            let start = self.steps.entry(rollout.name.clone()).or_insert(now);
            if start.step != rollout.step {
                *start = now;
            }
            if let Some(after) = next_step(rollout, judge, *start, rated) {
                next.push((rollout.clone(), after));
            }
        }
        next
    }

    /// What has changed enough since the committed summary to be committed.
    pub fn change(&mut self, config: &Config, committed: &Summary) -> Option<SummaryChange> {
        let gone = |key: &VersionKey| !takes_work(config, key);
        self.judges.retain(|key, _| !gone(key));
        let dropped = committed.evidence.keys().filter(|key| !self.judges.contains_key(key));
        let dropped: Vec<_> = dropped.cloned().collect();
        let moved = self.learned.iter().filter(|(key, learned)| {
            committed.learned.get(key).is_none_or(|old| has_moved(old, learned))
        });
        let entry = |(key, learned): (&StatKey, &Learned)| LearnedEntry {
            key: key.clone(),
            learned: *learned,
        };
        let learned: Vec<_> = moved.take(ENTRIES).map(entry).collect();
        let judged = self.judges.iter().filter(|(key, judge)| {
            committed.evidence.get(key).is_none_or(|old| has_grown(old, judge))
        });
        let evidence: Vec<_> = judged.map(|(_, judge)| judge.evidence().clone()).collect();
        if learned.is_empty() && evidence.is_empty() && dropped.is_empty() {
            return None;
        }
        let counted = self.counted.iter();
        let counted =
            counted.map(|(router, report)| Counted { router: router.clone(), report: *report });
        Some(SummaryChange { learned, evidence, counted: counted.collect(), dropped })
    }

    fn take(&mut self, config: &Config, delta: &Delta) {
        let key = &delta.key;
        if self.learned.len() < KEYS || self.learned.contains_key(key) {
            let learned = self.learned.entry(key.clone()).or_default();
            learned.add(&delta.learned());
            learned.fade();
            let learned = *learned;
            let old = self.passed.get(key);
            if old.is_none_or(|old| has_moved(&old.learned, &learned)) {
                self.pass(key);
            }
        }
        if !takes_work(config, &key.version) {
            return;
        }
        let judge = self.judges.remove(&key.version);
        let mut judge = judge.unwrap_or_else(|| Judge::open(key.version.clone()));
        judge.observe(delta, self.reference(config, &key.version));
        self.judges.insert(key.version.clone(), judge);
    }

    fn reference(&self, config: &Config, version: &VersionKey) -> Reference<'_> {
        let running = |r: &&Rollout| r.to == *version && r.status == RolloutStatus::Running;
        let from = config.rollouts.values().find(running).map(|rollout| &rollout.from);
        Reference(from.and_then(|from| self.judges.get(from)).map(Judge::evidence))
    }

    fn pass(&mut self, key: &StatKey) {
        self.number += 1;
        let passed = Passed { number: self.number, learned: self.learned[key] };
        self.passed.insert(key.clone(), passed);
    }

    fn flag(&mut self, config: &Config) {
        let mut flags = Flags::default();
        for (version, judge) in &self.judges {
            if judge.verdict().is_some() {
                flags.bad.insert(version.clone());
            }
            let suspects = judge.suspects(self.reference(config, version));
            let key = |kind: &_| KindKey { kind: Clone::clone(kind), version: version.clone() };
            flags.watched.extend(suspects.map(key));
        }
        if flags != self.flags {
            self.flags = flags;
            self.number += 1;
            self.flagged = self.number;
        }
    }
}

fn takes_work(config: &Config, version: &VersionKey) -> bool {
    config.versions.get(version).is_some_and(|v| v.state != VersionState::Withdrawn)
}

/// Whether some organisation that wants the least bad would be left with no open version that is
/// not held to be bad itself.
fn is_needed(config: &Config, version: &VersionKey, flags: &Flags) -> bool {
    let lacks = |o: &&Organisation| {
        let others = config.versions_for(o).filter(|(key, v)| {
            v.state == VersionState::Open && *key != version && !flags.bad.contains(*key)
        });
        o.exhausted == Exhausted::LeastBad && o.allows(version) && others.count() == 0
    };
    config.organisations.values().any(|organisation| lacks(&organisation))
}

fn has_moved(old: &Learned, new: &Learned) -> bool {
    let moved = |a: u64, b: u64| a.abs_diff(b) * GROWN_PART >= a.max(1);
    moved(old.ratings, new.ratings) && old.ratings != new.ratings
        || moved(old.answers, new.answers) && old.answers != new.answers
}

fn has_grown(old: &Evidence, judge: &Judge) -> bool {
    let new = judge.evidence();
    if old.verdict != new.verdict {
        return true;
    }
    let before = Judge::resume(old.clone()).strength().max(FAINT);
    let now = judge.strength().max(FAINT);
    let stronger = now > before * STRONGER || now * STRONGER < before;
    stronger || new.answers.abs_diff(old.answers) * GROWN_PART >= old.answers.max(1)
}
