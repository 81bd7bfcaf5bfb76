//! When a pool's roll-out moves on, and when its target is held to be bad.

use super::Tally;
use crate::control::{PoolRollout, PoolRolloutStatus};
use std::collections::BTreeSet;
use std::time::Duration;

/// The target's share while evidence is gathered, in thousandths.
const CANARY: u32 = 60;
/// The part of the limit after which the target takes more; sessions may change over then.
const RAMP_AT: f64 = 0.52;
/// Shares of the ramp, in thousandths, with the time for which each is held.
const RAMP: [(u32, Duration); 3] = [
    (250, Duration::from_millis(1_200)),
    (500, Duration::from_millis(1_200)),
    (1_000, Duration::from_millis(1_500)),
];
/// A roll-out whose target takes everything is completed this long before its limit, even though
/// calls of the old version are still running.
const MARGIN: Duration = Duration::from_millis(1_500);
/// Failures, as a part of the old version's, that a good target may have.
const FAILED_RATIO: f64 = 1.5;
/// Failures, as a part of all calls, that no target is blamed for.
const FAILED_FLOOR: f64 = 0.03;
/// Standard deviations between a bad target and a good one's expected failures.
const DEVIATIONS: f64 = 2.5;
/// Failures beyond that; a single one proves nothing.
const FAILED_LEAST: f64 = 1.5;
/// The logarithm of how much longer than the old version's a good target's answers may take.
const SLOW_LOG: f64 = 0.9;
/// Answers before their times are compared.
const SLOW_LEAST: u64 = 12;

/// What is known of a version, on one route or on all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sum {
    good: u64,
    bad: u64,
    slowness: f64,
    running: u64,
}

impl Sum {
    fn add(&mut self, tally: &Tally) {
        self.good += tally.good;
        self.bad += tally.bad;
        self.slowness += tally.slowness;
        self.running += tally.running;
    }

    fn seen(&self) -> f64 {
        (self.good + self.bad) as f64
    }

    fn failed(&self) -> f64 {
        self.bad as f64 / self.seen().max(1.0)
    }

    fn mean_slowness(&self) -> f64 {
        self.slowness / self.good.max(1) as f64
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
    fn fails(&self) -> bool {
        let chance = (FAILED_RATIO * self.old.failed() + FAILED_FLOOR).min(0.9);
        let seen = self.new.seen();
        let spread = (seen * chance * (1.0 - chance)).sqrt();
        self.new.bad as f64 > seen * chance + DEVIATIONS * spread + FAILED_LEAST
    }

    /// Whether the target's answers take clearly longer.
    fn is_slow(&self) -> bool {
        let enough = self.new.good >= SLOW_LEAST && self.old.good >= SLOW_LEAST;
        enough && self.new.mean_slowness() > self.old.mean_slowness() + SLOW_LOG
    }
}

/// Why the target of a roll-out is held to be bad; `None` while it is not. It is judged on each
/// route and on all together, as it may be bad on one only.
pub fn blame(rollout: &PoolRollout, tallies: &[Tally]) -> Option<String> {
    let routes: BTreeSet<&str> = tallies.iter().map(|tally| tally.route.as_str()).collect();
    let on = |route: &&str| {
        let pair = Pair::of(rollout, tallies.iter().filter(|tally| tally.route == **route));
        judge(&pair).map(|why| format!("route {route}: {why}"))
    };
    let whole = || judge(&Pair::of(rollout, tallies.iter()));
    routes.iter().find_map(on).or_else(whole)
}

fn judge(pair: &Pair) -> Option<String> {
    let Pair { old, new } = pair;
    if pair.fails() {
        let (bad, seen) = (new.bad, new.good + new.bad);
        return Some(format!("{bad} of {seen} failed, against {:.3} before", old.failed()));
    }
    let (before, after) = (old.mean_slowness().exp(), new.mean_slowness().exp());
    pair.is_slow()
        .then(|| format!("answers take {after:.1} of what is expected, {before:.1} before"))
}

/// The next state of a roll-out; `None` where it stays as it is. `held` tells for how long it has
/// had its share.
///
/// ```
/// use samphireshift::control::PoolRollout;
/// use samphireshift::name::{PoolName, VersionName};
/// use samphireshift::policy::next_shift;
/// use std::time::Duration;
/// let limit = Duration::from_secs(20);
/// let rollout = PoolRollout::open(PoolName::new("p"), VersionName::new("v2"), limit);
/// let next = next_shift(&rollout, &[], Duration::ZERO, Duration::ZERO).unwrap();
/// assert!(next.share > 0 && next.share < 150);
/// ```
pub fn next_shift(
    rollout: &PoolRollout,
    tallies: &[Tally],
    elapsed: Duration,
    held: Duration,
) -> Option<PoolRollout> {
    if rollout.status != PoolRolloutStatus::Running {
        return None;
    }
    let next = |share, status| Some(PoolRollout { share, status, elapsed, ..rollout.clone() });
    if blame(rollout, tallies).is_some() {
        return next(0, PoolRolloutStatus::RolledBack);
    }
    if rollout.share < CANARY {
        return next(CANARY, PoolRolloutStatus::Running);
    }
    if elapsed < rollout.limit.mul_f64(RAMP_AT) {
        return None;
    }
    let Some(step) = RAMP.iter().position(|(share, _)| *share == rollout.share) else {
        return next(RAMP[0].0, PoolRolloutStatus::Running);
    };
    if held < RAMP[step].1 {
        return None;
    }
    if let Some((share, _)) = RAMP.get(step + 1) {
        return next(*share, PoolRolloutStatus::Running);
    }
    let idle = Pair::of(rollout, tallies.iter()).old.running == 0;
    let late = elapsed + MARGIN >= rollout.limit;
    (idle || late).then(|| next(1_000, PoolRolloutStatus::Completed)).flatten()
}
