use super::rollout_step::{StepStart, next_step};
use super::{
    Baseline, CountReport, Epoch, FleetStatsChange, KindKey, StatDelta, VersionFlags,
    VersionMonitor,
};
use crate::control::{
    AnswerStats, AnswerStatsEntry, Config, Evidence, FallbackPolicy, LastReport, MAX_STAT_KEYS,
    Organisation, Rollout, RolloutStatus, RouterId, StatKey, StatsSummary, StatsSummaryChange,
    VersionState,
};
use crate::name::{RolloutName, VersionKey};
use std::collections::BTreeMap;

/// Maximum number of entries in one change; further entries follow in the next change.
const MAX_CHANGE_ENTRIES: usize = 64;
/// Sums are sent or committed again once they have changed by 1/8, and evidence once its number of
/// answers has.
const GROWTH_DIVISOR: u64 = 8;
/// Evidence is committed again once its strength has changed by this factor.
const STRENGTH_RATIO: f64 = 3.0;
/// Strengths below this fraction of a threshold are treated as equal, so that noise far from the
/// threshold is not committed.
const MIN_STRENGTH: f64 = 1e-4;

/// A version that the tests found to be bad and that still accepts work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadVersion {
    /// The version to stop.
    pub version: VersionKey,
    /// The test result that it was found bad on, as text.
    pub evidence: String,
    /// Whether stopping it would leave an organisation that accepts the least bad version without
    /// any open version that is not bad itself; such a version keeps running.
    pub last_resort: bool,
}

/// Aggregated statistics and test results: the leader's over the reports of all routers, or a
/// router's over its own answers, from which it excludes versions before the leader stops them.
#[derive(Debug, Clone)]
pub struct StatsAggregator {
    term: u64,
    number: u64,
    answer_stats: BTreeMap<StatKey, AnswerStats>,
    monitors: BTreeMap<VersionKey, VersionMonitor>,
    counted: BTreeMap<RouterId, u64>,
    published: BTreeMap<StatKey, PublishedStats>,
    flags: VersionFlags,
    flags_number: u64,
    step_starts: BTreeMap<RolloutName, StepStart>,
}

/// Sums as last published to the routers, with the number of that change.
#[derive(Debug, Clone, Copy)]
struct PublishedStats {
    number: u64,
    stats: AnswerStats,
}

impl StatsAggregator {
    /// Restores the state from the committed summary and publishes all of its sums as new.
    pub fn from_summary(term: u64, summary: &StatsSummary) -> Self {
        let monitors = summary.evidence.iter();
        let mut aggregator = Self {
            term,
            number: 1,
            answer_stats: summary.answer_stats.clone(),
            monitors: monitors
                .map(|(key, e)| (key.clone(), VersionMonitor::resume(e.clone())))
                .collect(),
            counted: summary.last_reports.clone(),
            published: BTreeMap::new(),
            flags: VersionFlags::default(),
            flags_number: 1,
            step_starts: BTreeMap::new(),
        };
        for key in aggregator.answer_stats.keys().cloned().collect::<Vec<_>>() {
            aggregator.publish(&key);
        }
        aggregator
    }

    /// The leader's term in which this aggregator was created; 0 on a router.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The versions that the tests currently find bad, and the ones to watch.
    pub fn flags(&self) -> &VersionFlags {
        &self.flags
    }

    /// The monitor of a version; `None` while nothing was observed of it.
    pub fn monitor(&self, version: &VersionKey) -> Option<&VersionMonitor> {
        self.monitors.get(version)
    }

    /// Merges a report. Reports that were already merged are ignored, so that a router may send one
    /// again. Returns the number of the last report merged from this router.
    pub fn merge(&mut self, config: &Config, router: &RouterId, report: &CountReport) -> u64 {
        let last = self.counted.get(router).copied().unwrap_or(0);
        if report.number <= last {
            return last;
        }
        self.counted.retain(|known, _| known.vm != router.vm);
        self.counted.insert(router.clone(), report.number);
        report.deltas.iter().for_each(|delta| self.add_delta(config, delta));
        self.update_flags(config);
        report.number
    }

    /// Adds counts of one key that do not come in a numbered report, such as a router's own; they
    /// are not deduplicated.
    pub fn observe(&mut self, config: &Config, delta: &StatDelta) {
        self.add_delta(config, delta);
        self.update_flags(config);
    }

    /// Changes since the epoch that a router has; `None` if it is up to date. A router that has an
    /// epoch of another term receives everything.
    pub fn change_since(&self, epoch: Epoch) -> Option<FleetStatsChange> {
        let known = if epoch.term == self.term { epoch.number } else { 0 };
        if known >= self.number {
            return None;
        }
        let newer = self.published.iter().filter(|(_, published)| published.number > known);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, published)| published.number);
        let cut = newer.len() > MAX_CHANGE_ENTRIES;
        newer.truncate(MAX_CHANGE_ENTRIES);
        let last = newer.last().map_or(known, |(_, published)| published.number);
        let number = if cut { last } else { self.number };
        let entry = |(key, published): &(&StatKey, &PublishedStats)| AnswerStatsEntry {
            key: (*key).clone(),
            stats: published.stats,
        };
        let entries = newer.iter().map(entry).collect();
        let flags = Some(&self.flags).filter(|_| self.flags_number > known).cloned();
        Some(FleetStatsChange { epoch: Epoch { term: self.term, number }, entries, flags })
    }

    /// The evidence on all versions that accept work.
    pub fn evidence(&self) -> Vec<Evidence> {
        self.monitors.values().map(|monitor| monitor.evidence().clone()).collect()
    }

    /// All sums, by key.
    pub fn answer_stats(&self) -> Vec<AnswerStatsEntry> {
        let entry = |(key, stats): (&StatKey, &AnswerStats)| AnswerStatsEntry {
            key: key.clone(),
            stats: *stats,
        };
        self.answer_stats.iter().map(entry).collect()
    }

    /// Versions that were found bad and still accept work.
    pub fn bad_versions(&self, config: &Config) -> Vec<BadVersion> {
        let bad = self.monitors.iter().filter_map(|(key, monitor)| {
            let evidence = monitor.verdict()?.to_owned();
            let last_resort = is_last_resort(config, key, &self.flags);
            Some(BadVersion { version: key.clone(), evidence, last_resort })
        });
        bad.filter(|bad| accepts_work(config, &bad.version)).collect()
    }

    /// Drops the evidence on a version after it was stopped.
    pub fn drop_evidence(&mut self, version: &VersionKey) {
        self.monitors.remove(version);
    }

    /// Roll-outs that may advance, as pairs of the current and the next state. `rated` says whether
    /// there is a rating service, in which case a step also needs ratings.
    pub fn rollout_steps(&mut self, config: &Config, rated: bool) -> Vec<(Rollout, Rollout)> {
        let mut next = Vec::new();
        for rollout in config.rollouts.values() {
            let Some(monitor) = self.monitors.get(&rollout.to) else { continue };
            let (answers, ratings) = (monitor.evidence().answers, monitor.ratings());
            let now = StepStart { step: rollout.step, answers, ratings };
            let start = self.step_starts.entry(rollout.name.clone()).or_insert(now);
            if start.step != rollout.step {
                *start = now;
            }
            if let Some(after) = next_step(rollout, monitor, *start, rated) {
                next.push((rollout.clone(), after));
            }
        }
        next
    }

    /// The part of the state that differs enough from the committed summary to be committed; `None`
    /// if there is none. Also drops the monitors of versions that no longer accept work.
    pub fn summary_change(
        &mut self,
        config: &Config,
        committed: &StatsSummary,
    ) -> Option<StatsSummaryChange> {
        let gone = |key: &VersionKey| !accepts_work(config, key);
        self.monitors.retain(|key, _| !gone(key));
        let dropped = committed.evidence.keys().filter(|key| !self.monitors.contains_key(key));
        let dropped: Vec<_> = dropped.cloned().collect();
        let moved = self.answer_stats.iter().filter(|(key, stats)| {
            committed.answer_stats.get(key).is_none_or(|old| sums_changed(old, stats))
        });
        let entry = |(key, stats): (&StatKey, &AnswerStats)| AnswerStatsEntry {
            key: key.clone(),
            stats: *stats,
        };
        let entries: Vec<_> = moved.take(MAX_CHANGE_ENTRIES).map(entry).collect();
        let changed = self.monitors.iter().filter(|(key, monitor)| {
            committed.evidence.get(key).is_none_or(|old| evidence_changed(old, monitor))
        });
        let evidence: Vec<_> = changed.map(|(_, monitor)| monitor.evidence().clone()).collect();
        if entries.is_empty() && evidence.is_empty() && dropped.is_empty() {
            return None;
        }
        let counted = self.counted.iter();
        let counted =
            counted.map(|(router, report)| LastReport { router: router.clone(), number: *report });
        Some(StatsSummaryChange {
            answer_stats: entries,
            evidence,
            last_reports: counted.collect(),
            dropped,
        })
    }

    fn add_delta(&mut self, config: &Config, delta: &StatDelta) {
        let key = &delta.key;
        if self.answer_stats.len() < MAX_STAT_KEYS || self.answer_stats.contains_key(key) {
            let stats = self.answer_stats.entry(key.clone()).or_default();
            stats.add(&delta.answer_stats());
            stats.decay();
            let stats = *stats;
            let old = self.published.get(key);
            if old.is_none_or(|old| sums_changed(&old.stats, &stats)) {
                self.publish(key);
            }
        }
        if !accepts_work(config, &key.version) {
            return;
        }
        let monitor = self.monitors.remove(&key.version);
        let mut monitor = monitor.unwrap_or_else(|| VersionMonitor::new(key.version.clone()));
        monitor.observe(delta, self.baseline(config, &key.version));
        self.monitors.insert(key.version.clone(), monitor);
    }

    fn baseline(&self, config: &Config, version: &VersionKey) -> Baseline<'_> {
        let running = |r: &&Rollout| r.to == *version && r.status == RolloutStatus::Running;
        let from = config.rollouts.values().find(running).map(|rollout| &rollout.from);
        Baseline(from.and_then(|from| self.monitors.get(from)).map(VersionMonitor::evidence))
    }

    fn publish(&mut self, key: &StatKey) {
        self.number += 1;
        let published = PublishedStats { number: self.number, stats: self.answer_stats[key] };
        self.published.insert(key.clone(), published);
    }

    fn update_flags(&mut self, config: &Config) {
        let mut flags = VersionFlags::default();
        for (version, monitor) in &self.monitors {
            if monitor.verdict().is_some() {
                flags.bad.insert(version.clone());
            }
            let suspects = monitor.suspect_kinds(self.baseline(config, version));
            let key = |kind: &_| KindKey { kind: Clone::clone(kind), version: version.clone() };
            flags.watched.extend(suspects.map(key));
        }
        if flags != self.flags {
            self.flags = flags;
            self.number += 1;
            self.flags_number = self.number;
        }
    }
}

fn accepts_work(config: &Config, version: &VersionKey) -> bool {
    config.versions.get(version).is_some_and(|v| v.state != VersionState::Withdrawn)
}

/// Whether stopping the version would leave some organisation that accepts the least bad version
/// without an open version that is not flagged as bad.
fn is_last_resort(config: &Config, version: &VersionKey, flags: &VersionFlags) -> bool {
    let lacks = |o: &&Organisation| {
        let others = config.versions_for(o).filter(|(key, v)| {
            v.state == VersionState::Open && *key != version && !flags.bad.contains(*key)
        });
        o.fallback == FallbackPolicy::BestAvailable && o.allows(version) && others.count() == 0
    };
    config.organisations.values().any(|organisation| lacks(&organisation))
}

fn sums_changed(old: &AnswerStats, new: &AnswerStats) -> bool {
    let moved = |a: u64, b: u64| a.abs_diff(b) * GROWTH_DIVISOR >= a.max(1);
    moved(old.ratings, new.ratings) && old.ratings != new.ratings
        || moved(old.answers, new.answers) && old.answers != new.answers
}

fn evidence_changed(old: &Evidence, monitor: &VersionMonitor) -> bool {
    let new = monitor.evidence();
    if old.verdict != new.verdict {
        return true;
    }
    let before = VersionMonitor::resume(old.clone()).strength().max(MIN_STRENGTH);
    let now = monitor.strength().max(MIN_STRENGTH);
    let stronger = now > before * STRENGTH_RATIO || now * STRENGTH_RATIO < before;
    stronger || new.answers.abs_diff(old.answers) * GROWTH_DIVISOR >= old.answers.max(1)
}
