//! Roll-outs of pools: a bad target is noticed whatever it is bad at, a good one completes in time,
//! and what a bad one may get is bounded even if nothing is noticed.

use rstest::rstest;
use samphireshift::control::{PoolRollout, PoolRolloutStatus};
use samphireshift::name::{ModelName, PoolName, VersionName};
use samphireshift::policy::{GeometricMean, Tally, is_canary, next_pool_rollout, rollback_reason};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(24);
const EXPOSURE: f64 = 0.15;
/// How often the leader looks.
const LOOK: Duration = Duration::from_millis(100);

fn rollout() -> PoolRollout {
    PoolRollout::new(PoolName::new("pool"), VersionName::new("v2"), LIMIT)
}

/// What was seen of one version on one route.
#[derive(Debug, Clone, Copy)]
struct Seen {
    version: &'static str,
    route: &'static str,
    model: &'static str,
    good: u64,
    bad: u64,
    /// How many times longer than expected each answer took to begin.
    first: f64,
    /// Milliseconds between events.
    pace: f64,
    /// Milliseconds between the events of the fastest answer.
    best: f64,
}

const OLD: Seen = Seen {
    version: "v1",
    route: "a",
    model: "m",
    good: 300,
    bad: 3,
    first: 1.0,
    pace: 10.0,
    best: 7.0,
};
const NEW: Seen = Seen { version: "v2", good: 20, bad: 0, ..OLD };

fn tally(seen: Seen) -> Tally {
    let mean = |value: f64| {
        let mut mean = GeometricMean::default();
        (0..seen.good).for_each(|_| mean.observe(value));
        mean
    };
    Tally {
        pool: PoolName::new("pool"),
        version: Some(VersionName::new(seen.version)),
        route: seen.route.to_owned(),
        model: Some(ModelName::new(seen.model)),
        succeeded: seen.good,
        failed: seen.bad,
        first_ratio: mean(seen.first),
        event_gap: {
            let mut pace = mean(seen.pace);
            pace.observe(seen.best);
            pace
        },
        running: 0,
    }
}

struct Case {
    seen: &'static [Seen],
    bad: bool,
}

#[rstest]
#[case::nothing_seen(Case { seen: &[], bad: false })]
#[case::as_before(Case { seen: &[OLD, NEW], bad: false })]
#[case::one_failure(Case { seen: &[OLD, Seen { bad: 1, ..NEW }], bad: false })]
#[case::a_third_fails(Case { seen: &[OLD, Seen { good: 12, bad: 6, ..NEW }], bad: true })]
#[case::fails_as_often_as_before(Case {
    seen: &[Seen { bad: 45, ..OLD }, Seen { good: 18, bad: 3, ..NEW }],
    bad: false,
})]
#[case::fails_on_one_route(Case {
    seen: &[OLD, NEW, Seen { route: "b", ..OLD }, Seen { route: "b", good: 1, bad: 4, ..NEW }],
    bad: true,
})]
#[case::late_to_begin(Case { seen: &[OLD, Seen { first: 5.0, ..NEW }], bad: true })]
#[case::slow_between_events(Case { seen: &[OLD, Seen { pace: 60.0, ..NEW }], bad: true })]
#[case::a_little_slower(Case { seen: &[OLD, Seen { pace: 15.0, ..NEW }], bad: false })]
#[case::slow_beside_a_loaded_version(Case {
    seen: &[Seen { pace: 60.0, ..OLD }, Seen { pace: 60.0, best: 50.0, ..NEW }],
    bad: true,
})]
#[case::asked_another_model(Case {
    seen: &[OLD, Seen { model: "large", pace: 100.0, ..OLD }, Seen { model: "large", pace: 100.0, ..NEW }],
    bad: false,
})]
fn a_target_is_blamed_for_what_it_is_worse_at(#[case] case: Case) {
    let tallies: Vec<Tally> = case.seen.iter().copied().map(tally).collect();
    let blamed = rollback_reason(&rollout(), &tallies);
    assert_eq!(blamed.is_some(), case.bad, "{blamed:?}");
}

#[test]
fn evidence_takes_a_target_back_at_once_and_for_good() {
    let tallies = [tally(OLD), tally(Seen { good: 2, bad: 8, ..NEW })];
    let running = PoolRollout { share: 60, ..rollout() };
    let next = next_pool_rollout(&running, &tallies, Duration::from_secs(3), EXPOSURE).unwrap();
    assert_eq!((next.status, next.share), (PoolRolloutStatus::RolledBack, 0));
    assert!(next_pool_rollout(&next, &[tally(OLD), tally(NEW)], LIMIT, EXPOSURE).is_none());
    assert!(!next.allows(Some(&VersionName::new("v2"))));
    assert!(next.allows(Some(&VersionName::new("v1"))));
}

/// Lets a whole roll-out pass; gives when it was completed, and the part of calls the target got.
fn pass(exposure: f64, limit: Duration) -> (Duration, f64) {
    let mut rollout = PoolRollout { limit, ..rollout() };
    let (mut elapsed, mut got) = (Duration::ZERO, 0.0);
    while rollout.status == PoolRolloutStatus::Running && elapsed < limit {
        if let Some(next) = next_pool_rollout(&rollout, &[], elapsed, exposure) {
            assert!(next.share >= rollout.share, "a share never falls: sessions would go back");
            rollout = next;
        }
        elapsed += LOOK;
        got += f64::from(rollout.share) / 1e3 * LOOK.as_secs_f64();
    }
    assert_eq!(rollout.status, PoolRolloutStatus::Completed);
    // From the end on everything is the target's.
    got += limit.saturating_sub(elapsed).as_secs_f64();
    (elapsed, got / limit.as_secs_f64())
}

#[rstest]
#[case::today(0.15, 24)]
#[case::short(0.15, 12)]
#[case::grown(0.0975, 24)]
#[case::grown_and_short(0.0975, 16)]
fn a_good_target_completes_in_time_and_gets_no_more_than_a_bad_one_may(
    #[case] exposure: f64,
    #[case] seconds: u64,
) {
    let limit = Duration::from_secs(seconds);
    let (end, got) = pass(exposure, limit);
    assert!(end < limit, "completed after {end:?}");
    assert!(got <= exposure, "{got:.3} of all calls");
}

#[test]
fn a_doubtful_target_is_not_given_everything() {
    let doubtful = Seen { good: 3, pace: 30.0, best: 20.0, ..NEW };
    let tallies = [tally(OLD), tally(doubtful)];
    let running = PoolRollout { share: 160, ..rollout() };
    assert!(rollback_reason(&running, &tallies).is_none());
    let next = next_pool_rollout(&running, &tallies, LIMIT, EXPOSURE).unwrap();
    assert_eq!(next.status, PoolRolloutStatus::RolledBack);
}

#[test]
fn sessions_stay_during_the_first_half() {
    let at = |part: f64| PoolRollout { elapsed: LIMIT.mul_f64(part), ..rollout() };
    assert!(is_canary(&at(0.49)));
    assert!(!is_canary(&at(0.5)));
}
