//! Roll-outs of pools: a target that fails or is slow is rolled back, a good one completes within
//! the limit, and the share of calls to the target is bounded even without any evidence.

use rstest::rstest;
use samphireshift::control::{PoolRollout, PoolRolloutStatus};
use samphireshift::name::{ModelName, PoolName, VersionName};
use samphireshift::policy::{GeometricMean, Tally, is_canary, next_pool_rollout, rollback_reason};
use std::time::Duration;

/// Time within which a roll-out must complete.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(24);
/// Largest part of all calls within the limit that an undetected bad target may get.
const MAX_EXPOSURE: f64 = 0.15;
/// Interval at which the leader advances roll-outs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn rollout() -> PoolRollout {
    PoolRollout::new(PoolName::new("pool"), VersionName::new("v2"), ROLLOUT_LIMIT)
}

/// Outcomes of the calls to one version on one route.
#[derive(Debug, Clone, Copy)]
struct RouteOutcomes {
    version: &'static str,
    route: &'static str,
    model: &'static str,
    succeeded: u64,
    failed: u64,
    /// Ratio of the time to the first byte to the expected time.
    first_ratio: f64,
    /// Mean time between events.
    gap_ms: f64,
    /// Time between the events of the fastest answer.
    fastest_gap_ms: f64,
}

const OLD: RouteOutcomes = RouteOutcomes {
    version: "v1",
    route: "a",
    model: "m",
    succeeded: 300,
    failed: 3,
    first_ratio: 1.0,
    gap_ms: 10.0,
    fastest_gap_ms: 7.0,
};
const NEW: RouteOutcomes = RouteOutcomes { version: "v2", succeeded: 20, failed: 0, ..OLD };

fn tally(outcomes: RouteOutcomes) -> Tally {
    let mean = |value: f64| {
        let mut mean = GeometricMean::default();
        (0..outcomes.succeeded).for_each(|_| mean.observe(value));
        mean
    };
    Tally {
        pool: PoolName::new("pool"),
        version: Some(VersionName::new(outcomes.version)),
        route: outcomes.route.to_owned(),
        model: Some(ModelName::new(outcomes.model)),
        succeeded: outcomes.succeeded,
        failed: outcomes.failed,
        first_ratio: mean(outcomes.first_ratio),
        event_gap: {
            let mut gap = mean(outcomes.gap_ms);
            gap.observe(outcomes.fastest_gap_ms);
            gap
        },
        running: 0,
    }
}

struct Case {
    /// Outcomes of both versions.
    outcomes: &'static [RouteOutcomes],
    rolled_back: bool,
}

#[rstest]
#[case::no_calls(Case { outcomes: &[], rolled_back: false })]
#[case::no_difference(Case { outcomes: &[OLD, NEW], rolled_back: false })]
#[case::one_failure(Case { outcomes: &[OLD, RouteOutcomes { failed: 1, ..NEW }], rolled_back: false })]
#[case::a_third_fails(Case { outcomes: &[OLD, RouteOutcomes { succeeded: 12, failed: 6, ..NEW }], rolled_back: true })]
#[case::both_versions_fail_as_often(Case {
    outcomes: &[RouteOutcomes { failed: 45, ..OLD }, RouteOutcomes { succeeded: 18, failed: 3, ..NEW }],
    rolled_back: false,
})]
#[case::fails_on_one_route(Case {
    outcomes: &[OLD, NEW, RouteOutcomes { route: "b", ..OLD }, RouteOutcomes { route: "b", succeeded: 1, failed: 4, ..NEW }],
    rolled_back: true,
})]
#[case::slow_first_byte(Case { outcomes: &[OLD, RouteOutcomes { first_ratio: 5.0, ..NEW }], rolled_back: true })]
#[case::slow_between_events(Case { outcomes: &[OLD, RouteOutcomes { gap_ms: 60.0, ..NEW }], rolled_back: true })]
#[case::a_little_slower(Case { outcomes: &[OLD, RouteOutcomes { gap_ms: 15.0, ..NEW }], rolled_back: false })]
#[case::slow_at_best_beside_an_overloaded_version(Case {
    outcomes: &[RouteOutcomes { gap_ms: 60.0, ..OLD }, RouteOutcomes { gap_ms: 60.0, fastest_gap_ms: 50.0, ..NEW }],
    rolled_back: true,
})]
#[case::slower_model_on_one_version_only(Case {
    outcomes: &[OLD, RouteOutcomes { model: "large", gap_ms: 100.0, ..OLD }, RouteOutcomes { model: "large", gap_ms: 100.0, ..NEW }],
    rolled_back: false,
})]
fn a_target_is_rolled_back_when_it_is_worse(#[case] case: Case) {
    let tallies: Vec<Tally> = case.outcomes.iter().copied().map(tally).collect();
    let reason = rollback_reason(&rollout(), &tallies);
    assert_eq!(reason.is_some(), case.rolled_back, "rollback reason: {reason:?}");
}

#[test]
fn a_bad_target_is_rolled_back_at_once_and_for_good() {
    let tallies = [tally(OLD), tally(RouteOutcomes { succeeded: 2, failed: 8, ..NEW })];
    let running = PoolRollout { share: 60, ..rollout() };
    let next = next_pool_rollout(&running, &tallies, Duration::from_secs(3), MAX_EXPOSURE).unwrap();
    assert_eq!((next.status, next.share), (PoolRolloutStatus::RolledBack, 0));
    assert!(
        next_pool_rollout(&next, &[tally(OLD), tally(NEW)], ROLLOUT_LIMIT, MAX_EXPOSURE).is_none()
    );
    assert!(!next.allows(Some(&VersionName::new("v2"))));
    assert!(next.allows(Some(&VersionName::new("v1"))));
}

/// Runs a roll-out without evidence; returns when it completed, and the part of all calls within
/// the limit that the target got.
fn run_rollout(exposure: f64, limit: Duration) -> (Duration, f64) {
    let mut rollout = PoolRollout { limit, ..rollout() };
    let (mut elapsed, mut target_share) = (Duration::ZERO, 0.0);
    while rollout.status == PoolRolloutStatus::Running && elapsed < limit {
        if let Some(next) = next_pool_rollout(&rollout, &[], elapsed, exposure) {
            assert!(
                next.share >= rollout.share,
                "the share fell, which moves sessions back to the old version"
            );
            rollout = next;
        }
        elapsed += CHECK_INTERVAL;
        target_share += f64::from(rollout.share) / 1e3 * CHECK_INTERVAL.as_secs_f64();
    }
    assert_eq!(rollout.status, PoolRolloutStatus::Completed);
    // After completion the target gets all calls.
    target_share += limit.saturating_sub(elapsed).as_secs_f64();
    (elapsed, target_share / limit.as_secs_f64())
}

#[rstest]
#[case::higher_exposure(0.15, 24)]
#[case::higher_exposure_and_shorter(0.15, 12)]
#[case::lower_exposure(0.0975, 24)]
#[case::lower_exposure_and_shorter(0.0975, 16)]
fn a_roll_out_without_evidence_completes_in_time_within_the_exposure_limit(
    #[case] exposure: f64,
    #[case] seconds: u64,
) {
    let limit = Duration::from_secs(seconds);
    let (end, target_share) = run_rollout(exposure, limit);
    assert!(end < limit, "completed after {end:?}");
    assert!(target_share <= exposure, "the target got {target_share:.3} of all calls");
}

#[test]
fn a_target_with_weak_evidence_is_rolled_back_at_the_limit() {
    let weak_evidence = RouteOutcomes { succeeded: 3, gap_ms: 30.0, fastest_gap_ms: 20.0, ..NEW };
    let tallies = [tally(OLD), tally(weak_evidence)];
    let running = PoolRollout { share: 160, ..rollout() };
    assert!(rollback_reason(&running, &tallies).is_none());
    let next = next_pool_rollout(&running, &tallies, ROLLOUT_LIMIT, MAX_EXPOSURE).unwrap();
    assert_eq!(next.status, PoolRolloutStatus::RolledBack);
}

/// A version that fails half of the calls of a route with few calls: this is all the evidence that
/// there is when the target is to get all calls, which cannot be taken back.
#[rstest]
#[case::two_of_two(2, 0)]
#[case::two_of_four(2, 2)]
#[case::two_of_six(2, 4)]
fn few_failures_on_a_rare_route_keep_a_target_from_completion(
    #[case] failed: u64,
    #[case] succeeded: u64,
) {
    let rare = RouteOutcomes { route: "rare", succeeded: 40, failed: 0, ..OLD };
    let failing = RouteOutcomes { failed, succeeded, ..RouteOutcomes { version: "v2", ..rare } };
    let tallies = [tally(OLD), tally(NEW), tally(rare), tally(failing)];
    let running = PoolRollout { share: 160, ..rollout() };
    assert!(rollback_reason(&running, &tallies).is_none());
    let next = next_pool_rollout(&running, &tallies, ROLLOUT_LIMIT, MAX_EXPOSURE).unwrap();
    assert_eq!(next.status, PoolRolloutStatus::RolledBack);
}

/// A completed roll-out cannot be taken back, so nearly every bad version must be found before, also
/// one that is bad on a single route with few calls.
#[test]
fn a_version_that_is_bad_on_a_rare_route_is_kept_from_completion() {
    use rand::{Rng, SeedableRng};
    const RUNS: usize = 2_000;
    const RARE_CALLS: usize = 6;
    const FAILURE_RATE: f64 = 0.5;
    const MAX_COMPLETED: usize = RUNS / 100;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let rare = RouteOutcomes { route: "rare", succeeded: 60, failed: 0, ..OLD };
    let mut completed = 0;
    for _ in 0..RUNS {
        let failed = (0..RARE_CALLS).filter(|_| rng.random_bool(FAILURE_RATE)).count() as u64;
        let succeeded = RARE_CALLS as u64 - failed;
        let bad = RouteOutcomes { failed, succeeded, version: "v2", ..rare };
        let tallies = [tally(OLD), tally(NEW), tally(rare), tally(bad)];
        let running = PoolRollout { share: 160, ..rollout() };
        let next = next_pool_rollout(&running, &tallies, ROLLOUT_LIMIT, MAX_EXPOSURE).unwrap();
        completed += usize::from(next.status != PoolRolloutStatus::RolledBack);
    }
    assert!(completed <= MAX_COMPLETED, "{completed} of {RUNS} bad versions get all calls");
}

/// A good version must not pay for that: it fails as often as the old one, on five routes of which
/// some have few calls.
#[test]
fn a_version_that_is_as_good_is_rarely_kept_from_completion() {
    use rand::{Rng, SeedableRng};
    const RUNS: usize = 2_000;
    const FAILURE_RATE: f64 = 0.015;
    const MAX_ROLLED_BACK: usize = RUNS / 20;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut rolled_back = 0;
    for _ in 0..RUNS {
        let mut tallies = Vec::new();
        for (route, calls) in [("a", 60), ("b", 30), ("c", 12), ("d", 5), ("e", 2)] {
            let mut outcomes = |version, calls: u64| {
                let failed = (0..calls).filter(|_| rng.random_bool(FAILURE_RATE)).count() as u64;
                tally(RouteOutcomes { version, route, succeeded: calls - failed, failed, ..OLD })
            };
            tallies.extend([outcomes("v1", calls * 9), outcomes("v2", calls)]);
        }
        let running = PoolRollout { share: 160, ..rollout() };
        let next = next_pool_rollout(&running, &tallies, ROLLOUT_LIMIT, MAX_EXPOSURE).unwrap();
        rolled_back += usize::from(next.status == PoolRolloutStatus::RolledBack);
    }
    assert!(rolled_back <= MAX_ROLLED_BACK, "{rolled_back} of {RUNS}");
}

/// Calls of a roll-out as they are known when the target is to get all of them.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// First events and gaps that are known of the target, in all.
    first_events: usize,
    gaps: usize,
    /// The share of the target's calls that take longer, and how much longer, as a factor.
    slow_share: f64,
    slow_factor: f64,
    /// Standard deviation of the logarithm of a time.
    noise: f64,
}

impl Evidence {
    /// Whether the target is kept from all calls.
    fn is_kept(&self, rng: &mut rand_pcg::Pcg64Mcg) -> bool {
        let strata =
            ["a", "b", "c"].into_iter().flat_map(|route| [(route, "small"), (route, "large")]);
        let mut tallies: Vec<Tally> = Vec::new();
        for (index, (route, model)) in strata.enumerate() {
            let of_route = |count: usize| count / 6 + usize::from(index < count % 6);
            let old = RouteOutcomes { route, model, succeeded: 0, failed: 0, ..OLD };
            let (mut before, mut target) =
                (tally(old), tally(RouteOutcomes { version: "v2", ..old }));
            (0..70).for_each(|_| before.first_ratio.observe(self.time(0.0, rng)));
            (0..70).for_each(|_| before.event_gap.observe(self.gap_ms(0.0, rng)));
            (before.succeeded, target.succeeded) = (70, of_route(self.first_events) as u64);
            for _ in 0..of_route(self.first_events) {
                target.first_ratio.observe(self.time(self.slow_share, rng));
            }
            for _ in 0..of_route(self.gaps) {
                target.event_gap.observe(self.gap_ms(self.slow_share, rng));
            }
            tallies.extend([before, target]);
        }
        let running = PoolRollout { share: 160, ..rollout() };
        let next = next_pool_rollout(&running, &tallies, ROLLOUT_LIMIT, MAX_EXPOSURE).unwrap();
        next.status == PoolRolloutStatus::RolledBack
    }

    /// A gap has a least length, the time of one step of an idle engine.
    fn gap_ms(&self, slow_share: f64, rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
        use rand::Rng;
        let factor = if rng.random_bool(slow_share) { self.slow_factor } else { 1.0 };
        factor * (6.0 + 4.0 * self.time(0.0, rng))
    }

    fn time(&self, slow_share: f64, rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
        use rand::Rng;
        // The sum of twelve uniform numbers is close to a normal one with deviation 1.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let factor = if rng.random_bool(slow_share) { self.slow_factor } else { 1.0 };
        factor * (self.noise * normal).exp()
    }

    fn kept_share(&self) -> f64 {
        use rand::SeedableRng;
        const RUNS: usize = 1_000;
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(11);
        (0..RUNS).filter(|_| self.is_kept(&mut rng)).count() as f64 / RUNS as f64
    }
}

const SLOW: Evidence =
    Evidence { first_events: 18, gaps: 8, slow_share: 0.5, slow_factor: 8.0, noise: 0.5 };

/// Guards against a slow version that gets all calls, which cannot be taken back, because the few
/// calls before did not show it.
#[rstest]
#[case::half_of_the_calls(SLOW)]
#[case::few_calls(Evidence { first_events: 9, gaps: 3, ..SLOW })]
#[case::noisy_times(Evidence { noise: 0.7, ..SLOW })]
#[case::all_calls_and_three_times(Evidence { slow_share: 1.0, slow_factor: 3.0, ..SLOW })]
#[case::many_calls_and_four_times(Evidence { first_events: 40, gaps: 25, slow_factor: 4.0, ..SLOW })]
fn a_slow_version_is_kept_from_completion(#[case] evidence: Evidence) {
    let kept = evidence.kept_share();
    assert!(kept >= 0.97, "{kept} of the slow versions are kept from all calls");
}

/// A good version must not pay for that, unless there is hardly any evidence.
#[rstest]
#[case::usual_calls(SLOW)]
#[case::many_calls(Evidence { first_events: 60, gaps: 40, noise: 0.7, ..SLOW })]
fn a_version_that_is_as_fast_is_rarely_kept_from_completion(#[case] evidence: Evidence) {
    let kept = Evidence { slow_share: 0.0, ..evidence }.kept_share();
    assert!(kept <= 0.05, "{kept} of the good versions are kept from all calls");
}

#[test]
fn the_first_half_is_the_canary_phase() {
    let at = |part: f64| PoolRollout { elapsed: ROLLOUT_LIMIT.mul_f64(part), ..rollout() };
    assert!(is_canary(&at(0.49)));
    assert!(!is_canary(&at(0.5)));
}
