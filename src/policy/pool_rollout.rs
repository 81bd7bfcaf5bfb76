//! Progress of a pool's roll-out, and its roll-back if the target is found bad.

use super::{GeometricMean, Tally};
use crate::control::{PoolRollout, PoolRolloutStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Schedule of the target's share: from the first number (a fraction of the time limit) on, the
/// share is the second number times `exposure`, the fraction of calls that a bad version may get.
/// Over the whole roll-out, the target gets less than `exposure` of the calls even if it is bad and
/// never detected. The load on the target rises in steps because a version may be bad under load
/// only.
const SHARE_SCHEDULE: [(f64, f64); 4] = [(0.0, 0.1), (0.5, 0.5), (0.75, 0.7), (0.85, 1.1)];
/// Length of the final phase, in which the target takes all calls, as a fraction of the time limit
/// for an `exposure` of 1; this part of the exposure is reserved for it.
const FINAL_PHASE: f64 = 0.22;
/// Fraction of the final phase that remains when the roll-out is completed.
const COMPLETION_REMAINDER: f64 = 0.6;
/// How long before its time limit a roll-out ends, so that a caller who checks at the limit sees it
/// completed.
const END_MARGIN: Duration = Duration::from_millis(600);
/// All calls, in thousandths.
const ALL_PERMILLE: u32 = 1_000;
/// Ratio of the target's to the old version's failure rate that is tolerated.
const TOLERATED_FAILURE_RATIO: f64 = 1.5;
/// Failure rate that is tolerated on top.
const TOLERATED_FAILURE_RATE: f64 = 0.03;
/// Standard deviation of the logarithm of a single time, within one route and model.
const LOG_TIME_STD_DEV: f64 = 0.7;
/// Minimum total weight of the strata before times are compared. A stratum's weight is half the
/// harmonic mean of the numbers of answers of both versions.
const MIN_TIME_WEIGHT: f64 = 3.0;

/// A target may get all calls only if times this much longer than the old version's are ruled out.
const COMPLETION_TIME_RATIO: f64 = 1.6;
/// How far the measured ratio has to lie below that, in standard errors of its logarithm.
const COMPLETION_MARGIN: f64 = 1.0;

/// Thresholds at which a target is found bad.
#[derive(Debug, Clone, Copy)]
struct Thresholds {
    /// Failures that are tolerated on top of the tolerated rate; a single failure proves nothing.
    tolerated_failures: f64,
    /// Failures above the tolerated number, in standard deviations.
    failure_deviations: f64,
    /// Ratio of the target's to the old version's answer times.
    time_ratio: f64,
    /// Significance of that ratio, in standard errors of its logarithm.
    time_deviations: f64,
    /// Minimum number of answers of each version before their fastest answers are compared.
    min_fastest: u64,
    /// Ratio of the target's to the old version's fastest answer times.
    fastest_ratio: f64,
}

/// Thresholds for rolling a target back at any time.
const ROLLBACK_THRESHOLDS: Thresholds = Thresholds {
    tolerated_failures: 1.5,
    failure_deviations: 2.5,
    time_ratio: 2.0,
    time_deviations: 3.5,
    min_fastest: 6,
    fastest_ratio: 3.0,
};
/// Lower thresholds, applied before a target gets all calls, because a completed roll-out cannot be
/// rolled back.
const COMPLETION_THRESHOLDS: Thresholds = Thresholds {
    tolerated_failures: 0.8,
    failure_deviations: 1.7,
    time_ratio: 1.6,
    time_deviations: 2.2,
    min_fastest: 3,
    fastest_ratio: 2.2,
};

/// Calls of one version, on one route or on all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct CallCounts {
    succeeded: u64,
    failed: u64,
}

impl CallCounts {
    fn add(&mut self, tally: &Tally) {
        self.succeeded += tally.succeeded;
        self.failed += tally.failed;
    }

    fn total(&self) -> f64 {
        (self.succeeded + self.failed) as f64
    }

    fn failure_rate(&self) -> f64 {
        self.failed as f64 / self.total().max(1.0)
    }
}

/// Calls of some versions on one route and model.
#[derive(Debug, Clone, Copy, Default)]
struct Stratum {
    counts: CallCounts,
    running: u64,
    first_ratio: GeometricMean,
    event_gap: GeometricMean,
}

impl Stratum {
    fn add(&mut self, tally: &Tally) {
        self.counts.add(tally);
        self.running += tally.running;
        self.first_ratio.add(tally.first_ratio);
        self.event_gap.add(tally.event_gap);
    }

    fn calls(&self) -> u64 {
        self.counts.succeeded + self.counts.failed + self.running
    }
}

impl fmt::Display for Stratum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { counts, running, first_ratio, event_gap } = self;
        write!(
            f,
            "{} good {} failed {running} running, first event {:.2} of {}, gap {:.1} ms of {}",
            counts.succeeded,
            counts.failed,
            first_ratio.value(),
            first_ratio.count,
            event_gap.value(),
            event_gap.count
        )
    }
}

/// Calls of the target and of the versions that it replaces.
#[derive(Debug, Clone, Copy, Default)]
struct VersionPair {
    old: CallCounts,
    new: CallCounts,
}

impl VersionPair {
    fn of<'a, I>(rollout: &PoolRollout, tallies: I) -> Self
    where
        I: Iterator<Item = &'a Tally>,
    {
        let mut pair = Self::default();
        for tally in tallies.filter(|tally| tally.pool == rollout.pool) {
            match tally.version.as_ref() == Some(&rollout.target) {
                true => pair.new.add(tally),
                false => pair.old.add(tally),
            }
        }
        pair
    }

    /// Whether the target's failures exceed those tolerated, given the old version's failure rate.
    fn fails_more(&self, thresholds: Thresholds) -> bool {
        let chance =
            (TOLERATED_FAILURE_RATIO * self.old.failure_rate() + TOLERATED_FAILURE_RATE).min(0.9);
        let total = self.new.total();
        let spread = (total * chance * (1.0 - chance)).sqrt();
        self.new.failed as f64
            > total * chance
                + thresholds.failure_deviations * spread
                + thresholds.tolerated_failures
    }
}

/// Times of the target against the old version's.
#[derive(Debug, Clone, Copy)]
struct TimeComparison {
    /// Mean logarithm of the ratio of the target's times to the old version's.
    mean: f64,
    /// Total weight of the strata: the number of answers that the mean is worth.
    weight: f64,
}

impl TimeComparison {
    /// Standard error of the mean.
    fn error(&self) -> f64 {
        LOG_TIME_STD_DEV / self.weight.sqrt()
    }

    /// The ratio, if the target is significantly slower.
    fn slowdown(&self, thresholds: Thresholds) -> Option<f64> {
        let is_known = self.weight >= MIN_TIME_WEIGHT;
        let is_significant = self.mean > thresholds.time_deviations * self.error();
        let is_slow = is_known && is_significant && self.mean > thresholds.time_ratio.ln();
        is_slow.then(|| self.mean.exp())
    }

    /// Whether the target may still be too slow to get all calls.
    fn may_be_slow(&self) -> bool {
        self.mean + COMPLETION_MARGIN * self.error() > COMPLETION_TIME_RATIO.ln()
    }
}

/// Compares times of the target and the old version, where `time` selects which times of a tally;
/// `None` without any. Times differ by route and model, so each route and model is compared on its
/// own and the results are averaged, weighted by the number of answers (a stratified comparison).
fn compare_times<F>(rollout: &PoolRollout, tallies: &[&Tally], time: F) -> Option<TimeComparison>
where
    F: Fn(&Tally) -> GeometricMean,
{
    let mut strata: BTreeMap<_, (GeometricMean, GeometricMean)> = BTreeMap::new();
    for tally in tallies.iter().filter(|tally| tally.pool == rollout.pool) {
        let pair = strata.entry((&tally.route, &tally.model)).or_default();
        match tally.version.as_ref() == Some(&rollout.target) {
            true => pair.1.add(time(tally)),
            false => pair.0.add(time(tally)),
        }
    }
    let (mut sum, mut weight) = (0.0, 0.0);
    for (old, new) in strata.values().filter(|(old, new)| old.count > 0 && new.count > 0) {
        let part = 1.0 / (1.0 / old.count as f64 + 1.0 / new.count as f64);
        sum += part * (new.value() / old.value()).ln();
        weight += part;
    }
    (weight > 0.0).then(|| TimeComparison { mean: sum / weight, weight })
}

/// Why the target must not get all calls; `None` if it may. That cannot be taken back, so what the
/// calls so far do not rule out counts against the target.
fn completion_doubt(rollout: &PoolRollout, tallies: &[Tally]) -> Option<String> {
    let all: Vec<&Tally> = tallies.iter().collect();
    let times = [
        compare_times(rollout, &all, |tally| tally.first_ratio),
        compare_times(rollout, &all, |tally| tally.event_gap),
    ];
    let doubt = || times.into_iter().flatten().find(TimeComparison::may_be_slow);
    reason_at(rollout, tallies, COMPLETION_THRESHOLDS).or_else(|| {
        let TimeComparison { mean, weight } = doubt()?;
        let (ratio, most) = (mean.exp(), COMPLETION_TIME_RATIO);
        Some(format!(
            "answers take {ratio:.1} times as long as before; the {weight:.1} compared do not rule \
             out {most} times"
        ))
    })
}

/// Why the target of a roll-out is found bad; `None` if it is not. It is tested on each route and
/// on all routes together, because it may be bad on one route only.
pub fn rollback_reason(rollout: &PoolRollout, tallies: &[Tally]) -> Option<String> {
    reason_at(rollout, tallies, ROLLBACK_THRESHOLDS)
}

fn reason_at(rollout: &PoolRollout, tallies: &[Tally], thresholds: Thresholds) -> Option<String> {
    let routes: BTreeSet<&str> = tallies.iter().map(|tally| tally.route.as_str()).collect();
    let on = |route: &&str| {
        let part: Vec<&Tally> = tallies.iter().filter(|tally| tally.route == **route).collect();
        find_fault(rollout, &part, thresholds).map(|why| format!("route {route}: {why}"))
    };
    let whole = || find_fault(rollout, &tallies.iter().collect::<Vec<_>>(), thresholds);
    routes.iter().find_map(on).or_else(whole)
}

fn find_fault(rollout: &PoolRollout, tallies: &[&Tally], thresholds: Thresholds) -> Option<String> {
    let pair = VersionPair::of(rollout, tallies.iter().copied());
    if pair.fails_more(thresholds) {
        let (failed, total) = (pair.new.failed, pair.new.succeeded + pair.new.failed);
        return Some(format!(
            "{failed} of {total} calls failed; failure rate of the old version: {:.3}",
            pair.old.failure_rate()
        ));
    }
    let first = compare_times(rollout, tallies, |tally| tally.first_ratio);
    let gap = compare_times(rollout, tallies, |tally| tally.event_gap);
    let mut compared = [first, gap].into_iter().flatten();
    let ratio = compared.find_map(|times| times.slowdown(thresholds));
    let ratio = ratio.or_else(|| fastest_slowdown(rollout, tallies, thresholds));
    ratio.map(|ratio| format!("answers take {ratio:.1} times as long as those of the old version"))
}

/// Ratio of the fastest times between events of the target and the old version. During the canary
/// phase the target carries less load than the old version, whose mean time may be as long as that
/// of a slow target because of its load. The fastest answers of both were produced at low load and
/// can be compared.
fn fastest_slowdown(
    rollout: &PoolRollout,
    tallies: &[&Tally],
    thresholds: Thresholds,
) -> Option<f64> {
    let mut strata: BTreeMap<_, (GeometricMean, GeometricMean)> = BTreeMap::new();
    for tally in tallies.iter().filter(|tally| tally.pool == rollout.pool) {
        let pair = strata.entry((&tally.route, &tally.model)).or_default();
        match tally.version.as_ref() == Some(&rollout.target) {
            true => pair.1.add(tally.event_gap),
            false => pair.0.add(tally.event_gap),
        }
    }
    let enough = |(old, new): &&(GeometricMean, GeometricMean)| {
        old.count.min(new.count) >= thresholds.min_fastest
    };
    let ratios = strata.values().filter(enough).map(|(old, new)| new.min / old.min);
    ratios.filter(|ratio| *ratio > thresholds.fastest_ratio).reduce(f64::max)
}

/// What is known of the target and the old versions on each route and model, as text for operators.
pub fn rollout_evidence(rollout: &PoolRollout, tallies: &[Tally]) -> String {
    let in_pool = tallies.iter().filter(|tally| tally.pool == rollout.pool);
    let mut strata: BTreeMap<_, [Stratum; 2]> = BTreeMap::new();
    for tally in in_pool {
        let is_target = tally.version.as_ref() == Some(&rollout.target);
        let model = tally.model.as_ref().map_or("-", |model| model.as_str());
        let pair = strata.entry((&tally.route, model)).or_default();
        pair[usize::from(is_target)].add(tally);
    }
    let lines = strata.iter().filter(|(_, [_, new])| new.calls() > 0);
    let lines: Vec<String> = lines
        .map(|((route, model), [old, new])| format!("{route} {model}: {new}, before {old}"))
        .collect();
    lines.join("; ")
}

/// Whether the roll-out is in its first half, the canary phase, in which sessions stay on the old
/// version and the target only gets calls without a session. A router that sees only some of a
/// session's calls cannot tell which sessions are new.
pub fn is_canary(rollout: &PoolRollout) -> bool {
    rollout.elapsed * 2 < rollout.limit
}

/// The next state of a roll-out; `None` if it does not change. `exposure` is the fraction of the
/// pool's calls that a bad version may get.
///
/// ```
/// use samphireshift::control::PoolRollout;
/// use samphireshift::name::{PoolName, VersionName};
/// use samphireshift::policy::next_pool_rollout;
/// use std::time::Duration;
/// let limit = Duration::from_secs(20);
/// let rollout = PoolRollout::new(PoolName::new("p"), VersionName::new("v2"), limit);
/// let next = next_pool_rollout(&rollout, &[], Duration::ZERO, 0.1).unwrap();
/// assert_eq!(next.share, 10);
/// ```
pub fn next_pool_rollout(
    rollout: &PoolRollout,
    tallies: &[Tally],
    elapsed: Duration,
    exposure: f64,
) -> Option<PoolRollout> {
    if rollout.status != PoolRolloutStatus::Running {
        return None;
    }
    let next = |share, status| Some(PoolRollout { share, status, elapsed, ..rollout.clone() });
    if rollback_reason(rollout, tallies).is_some() {
        return next(0, PoolRolloutStatus::RolledBack);
    }
    let limit = rollout.limit.saturating_sub(END_MARGIN).max(rollout.limit / 2);
    let passed = elapsed.as_secs_f64() / limit.as_secs_f64();
    if passed >= 1.0 - FINAL_PHASE * exposure * COMPLETION_REMAINDER
        && rollout.share == ALL_PERMILLE
    {
        return next(ALL_PERMILLE, PoolRolloutStatus::Completed);
    }
    let share = share_at(passed, exposure);
    if share == ALL_PERMILLE
        && rollout.share < ALL_PERMILLE
        && completion_doubt(rollout, tallies).is_some()
    {
        return next(0, PoolRolloutStatus::RolledBack);
    }
    (share > rollout.share).then(|| next(share, PoolRolloutStatus::Running)).flatten()
}

/// The target's share once a fraction `passed` of the time limit has elapsed, in thousandths.
fn share_at(passed: f64, exposure: f64) -> u32 {
    if passed >= 1.0 - FINAL_PHASE * exposure {
        return ALL_PERMILLE;
    }
    let step = SHARE_SCHEDULE.iter().rev().find(|(from, _)| passed >= *from);
    let part = step.map_or(0.0, |(_, part)| part * exposure);
    ((part * f64::from(ALL_PERMILLE)).round() as u32).min(ALL_PERMILLE)
}
