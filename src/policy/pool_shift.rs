//! When a pool's roll-out moves on, and when its target is held to be bad.

use super::{LogMean, Tally};
use crate::control::{PoolRollout, PoolRolloutStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The target's shares, as parts of the exposure that a bad version may have, each from a part of
/// the limit on. Together they stay under that exposure even if nothing is noticed, and load on the
/// target rises in steps, as a version may be bad under load only.
const STEPS: [(f64, f64); 4] = [(0.0, 0.1), (0.5, 0.5), (0.75, 0.7), (0.85, 1.1)];
/// The part of the exposure that is kept for the end of the limit, when the target takes
/// everything.
const LAST: f64 = 0.22;
/// The part of that end which is left when the roll-out is completed.
const LEFT: f64 = 0.6;
/// How long before its limit a roll-out is to be over, so that whoever asks at the limit sees it.
const SETTLE: Duration = Duration::from_millis(600);
/// All calls, in thousandths.
const ALL: u32 = 1_000;
/// Failures, as a part of the old version's, that a good target may have.
const FAILED_RATIO: f64 = 1.5;
/// Failures, as a part of all calls, that no target is blamed for.
const FAILED_FLOOR: f64 = 0.03;
/// Failures beyond that; a single one proves nothing.
const FAILED_LEAST: f64 = 1.5;
/// The standard deviation of a single time's logarithm, within a route and model.
const SLOW_SPREAD: f64 = 0.7;
/// Answers of either side before times are compared.
const SLOW_LEAST: f64 = 3.0;

/// How much must speak against a target.
#[derive(Debug, Clone, Copy)]
struct Bar {
    /// Standard deviations between its failures and those expected of a good one.
    deviations: f64,
    /// How many times as long as the old version's a good target's answers may take.
    ratio: f64,
    /// Standard deviations of that.
    late: f64,
    /// Answers of either version before their fastest are compared.
    fastest: u64,
    /// How many times as long as the old version's fastest a good target's may take.
    best: f64,
}

/// Enough to take a target back at any time.
const PROVED: Bar = Bar { deviations: 2.5, ratio: 2.0, late: 3.5, fastest: 6, best: 3.0 };
/// Enough not to give a target everything: a bad version that is completed cannot be taken back.
const DOUBTED: Bar = Bar { deviations: 1.7, ratio: 1.6, late: 2.2, fastest: 3, best: 2.2 };

/// What is known of a version, on one route or on all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sum {
    good: u64,
    bad: u64,
}

impl Sum {
    fn add(&mut self, tally: &Tally) {
        self.good += tally.good;
        self.bad += tally.bad;
    }

    fn seen(&self) -> f64 {
        (self.good + self.bad) as f64
    }

    fn failed(&self) -> f64 {
        self.bad as f64 / self.seen().max(1.0)
    }
}

/// The target and what it replaces.
#[derive(Debug, Clone, Copy, Default)]
struct Pair {
    old: Sum,
    new: Sum,
}

impl Pair {
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

    /// Whether the target fails clearly more often than the old version.
    fn fails(&self, bar: Bar) -> bool {
        let chance = (FAILED_RATIO * self.old.failed() + FAILED_FLOOR).min(0.9);
        let seen = self.new.seen();
        let spread = (seen * chance * (1.0 - chance)).sqrt();
        self.new.bad as f64 > seen * chance + bar.deviations * spread + FAILED_LEAST
    }
}

/// How many times longer the target's answers take, by what `time` takes of a tally, where that is
/// clearly more. Routes and models are compared each with itself, as their times differ, and the
/// differences are weighed by what they are known from (a stratified comparison).
fn slower<F>(rollout: &PoolRollout, tallies: &[&Tally], bar: Bar, time: F) -> Option<f64>
where
    F: Fn(&Tally) -> LogMean,
{
    let mut strata: BTreeMap<_, (LogMean, LogMean)> = BTreeMap::new();
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
    if weight < SLOW_LEAST {
        return None;
    }
    let mean = sum / weight.max(f64::MIN_POSITIVE);
    let clear = mean * weight.sqrt() > bar.late * SLOW_SPREAD;
    (clear && mean > bar.ratio.ln()).then(|| mean.exp())
}

/// Why the target of a roll-out is held to be bad; `None` while it is not. It is judged on each
/// route and on all together, as it may be bad on one only.
pub fn blame(rollout: &PoolRollout, tallies: &[Tally]) -> Option<String> {
    blame_by(rollout, tallies, PROVED)
}

fn blame_by(rollout: &PoolRollout, tallies: &[Tally], bar: Bar) -> Option<String> {
    let routes: BTreeSet<&str> = tallies.iter().map(|tally| tally.route.as_str()).collect();
    let on = |route: &&str| {
        let part: Vec<&Tally> = tallies.iter().filter(|tally| tally.route == **route).collect();
        judge(rollout, &part, bar).map(|why| format!("route {route}: {why}"))
    };
    let whole = || judge(rollout, &tallies.iter().collect::<Vec<_>>(), bar);
    routes.iter().find_map(on).or_else(whole)
}

fn judge(rollout: &PoolRollout, tallies: &[&Tally], bar: Bar) -> Option<String> {
    let pair = Pair::of(rollout, tallies.iter().copied());
    if pair.fails(bar) {
        let (bad, seen) = (pair.new.bad, pair.new.good + pair.new.bad);
        return Some(format!("{bad} of {seen} failed, against {:.3} before", pair.old.failed()));
    }
    let first = slower(rollout, tallies, bar, |tally| tally.first);
    let ratio = first.or_else(|| slower(rollout, tallies, bar, |tally| tally.pace));
    let ratio = ratio.or_else(|| slower_at_best(rollout, tallies, bar));
    ratio.map(|ratio| format!("answers take {ratio:.1} times as long as before"))
}

/// How many times longer the target takes between events when it is fastest. On trial it carries
/// less than the old version, whose mean time load may have raised to that of a slow target; the
/// fastest answers of both came with little beside them.
fn slower_at_best(rollout: &PoolRollout, tallies: &[&Tally], bar: Bar) -> Option<f64> {
    let mut strata: BTreeMap<_, (LogMean, LogMean)> = BTreeMap::new();
    for tally in tallies.iter().filter(|tally| tally.pool == rollout.pool) {
        let pair = strata.entry((&tally.route, &tally.model)).or_default();
        match tally.version.as_ref() == Some(&rollout.target) {
            true => pair.1.add(tally.pace),
            false => pair.0.add(tally.pace),
        }
    }
    let enough = |(old, new): &&(LogMean, LogMean)| old.count.min(new.count) >= bar.fastest;
    let ratios = strata.values().filter(enough).map(|(old, new)| new.least / old.least);
    ratios.filter(|ratio| *ratio > bar.best).reduce(f64::max)
}

/// Whether sessions stay on the old version: the target is on trial, and gets only calls that belong
/// to no session. Which sessions are new is not known to a router that sees only some of their calls.
pub fn is_trial(rollout: &PoolRollout) -> bool {
    rollout.elapsed * 2 < rollout.limit
}

/// The next state of a roll-out; `None` where it stays as it is. `exposure` is the part of the
/// pool's calls that a bad version may get.
///
/// ```
/// use samphireshift::control::PoolRollout;
/// use samphireshift::name::{PoolName, VersionName};
/// use samphireshift::policy::next_shift;
/// use std::time::Duration;
/// let limit = Duration::from_secs(20);
/// let rollout = PoolRollout::open(PoolName::new("p"), VersionName::new("v2"), limit);
/// let next = next_shift(&rollout, &[], Duration::ZERO, 0.1).unwrap();
/// assert_eq!(next.share, 10);
/// ```
pub fn next_shift(
    rollout: &PoolRollout,
    tallies: &[Tally],
    elapsed: Duration,
    exposure: f64,
) -> Option<PoolRollout> {
    if rollout.status != PoolRolloutStatus::Running {
        return None;
    }
    let next = |share, status| Some(PoolRollout { share, status, elapsed, ..rollout.clone() });
    if blame(rollout, tallies).is_some() {
        return next(0, PoolRolloutStatus::RolledBack);
    }
    let limit = rollout.limit.saturating_sub(SETTLE).max(rollout.limit / 2);
    let passed = elapsed.as_secs_f64() / limit.as_secs_f64();
    if passed >= 1.0 - LAST * exposure * LEFT && rollout.share == ALL {
        return next(ALL, PoolRolloutStatus::Completed);
    }
    let share = share_at(passed, exposure);
    if share == ALL && rollout.share < ALL && blame_by(rollout, tallies, DOUBTED).is_some() {
        return next(0, PoolRolloutStatus::RolledBack);
    }
    (share > rollout.share).then(|| next(share, PoolRolloutStatus::Running)).flatten()
}

/// The target's share after a part of the limit, in thousandths.
fn share_at(passed: f64, exposure: f64) -> u32 {
    if passed >= 1.0 - LAST * exposure {
        return ALL;
    }
    let step = STEPS.iter().rev().find(|(from, _)| passed >= *from);
    let part = step.map_or(0.0, |(_, part)| part * exposure);
    ((part * f64::from(ALL)).round() as u32).min(ALL)
}
