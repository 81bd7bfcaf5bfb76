//! Version monitoring: false alarms, detection delay, duplicate reports and a change of leader.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::control::{
    Config, Model, Organisation, Price, RouterId, Signal, SignalTest, StatKey, StatsSummary,
    Version, VersionState,
};
use samphireshift::name::{ModelName, OrganisationName, PoolName, TaskKind, VersionKey, VmName};
use samphireshift::policy::{
    Baseline, CountReport, Epoch, FleetStats, ObservationBatch, StatDelta, StatsAggregator,
    VersionMonitor,
};

fn key(text: &str) -> VersionKey {
    VersionKey::parse(text).unwrap()
}

fn stat(kind: &str) -> StatKey {
    let (organisation, kind) = (OrganisationName::new("karri"), TaskKind::new(kind));
    StatKey { organisation, kind, version: key("cheap/v1") }
}

/// Rates of failed and of malformed answers and mean rating of a version for a kind of task.
#[derive(Debug, Clone, Copy)]
struct Behaviour {
    failed: f64,
    malformed: f64,
    quality: f64,
}

const GOOD: Behaviour = Behaviour { failed: 0.01, malformed: 0.005, quality: 0.8 };

/// Random observations of `count` answers.
fn answers(rng: &mut Pcg64Mcg, kind: &str, count: u32, behaviour: Behaviour) -> StatDelta {
    let mut delta = StatDelta::new(stat(kind));
    for _ in 0..count {
        match rng.random::<f64>() {
            x if x < behaviour.failed => delta.failed += 1,
            x if x < behaviour.failed + behaviour.malformed => delta.malformed += 1,
            _ => delta.answers += 1,
        }
        // 2 % of the ratings are random.
        let noise = rng.random::<f64>() * 0.4 - 0.2;
        let wrong = rng.random::<f64>() < 0.02;
        let rating = if wrong { rng.random() } else { (behaviour.quality + noise).clamp(0.0, 1.0) };
        delta.ratings.push((rating * 100.0) as u8);
    }
    delta
}

/// Observes up to `count` answers, in batches, until there is a verdict; returns how many it
/// observed.
fn observe_until_verdict(
    rng: &mut Pcg64Mcg,
    count: u32,
    monitor: &mut VersionMonitor,
    kind: &str,
    behaviour: Behaviour,
) -> u32 {
    const BATCH_ANSWERS: u32 = 5;
    for seen in (0..count).step_by(BATCH_ANSWERS as usize) {
        monitor.observe(&answers(rng, kind, BATCH_ANSWERS, behaviour), Baseline(None));
        if monitor.verdict().is_some() {
            return seen + BATCH_ANSWERS;
        }
    }
    count
}

#[test]
fn at_most_one_of_a_thousand_good_versions_is_stopped() {
    let mut stopped = 0;
    for seed in 0..1_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut monitor = VersionMonitor::new(key("cheap/v1"));
        observe_until_verdict(&mut rng, 1_000, &mut monitor, "summary", GOOD);
        stopped += u32::from(monitor.verdict().is_some());
    }
    assert!(stopped <= 1, "{stopped} of 1000 good versions were stopped");
}

/// A version that is good at first and then changes its behaviour.
struct Case {
    good_answers: u32,
    after: Behaviour,
    /// Answers after the change within which the version has to be stopped.
    max_answers: u32,
    /// Text expected in the verdict.
    verdict: &'static str,
}

#[rstest]
#[case::fails_from_the_start(Case { good_answers: 0, after: Behaviour { failed: 0.5, ..GOOD }, max_answers: 60, verdict: "failed answers" })]
#[case::fails_after_many_good_answers(Case { good_answers: 20_000, after: Behaviour { failed: 0.5, ..GOOD }, max_answers: 80, verdict: "failed answers" })]
#[case::fails_slightly_more(Case { good_answers: 5_000, after: Behaviour { failed: 0.1, ..GOOD }, max_answers: 800, verdict: "failed answers" })]
#[case::malformed(Case { good_answers: 5_000, after: Behaviour { malformed: 0.5, ..GOOD }, max_answers: 80, verdict: "malformed answers" })]
#[case::rated_low(Case { good_answers: 5_000, after: Behaviour { quality: 0.5, ..GOOD }, max_answers: 150, verdict: "low ratings" })]
#[case::rated_slightly_lower(Case { good_answers: 5_000, after: Behaviour { quality: 0.65, ..GOOD }, max_answers: 900, verdict: "low ratings" })]
fn a_version_that_turns_bad_is_stopped_within_a_bound(#[case] case: Case) {
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut monitor = VersionMonitor::new(key("cheap/v1"));
        observe_until_verdict(&mut rng, case.good_answers, &mut monitor, "summary", GOOD);
        assert_eq!(monitor.verdict(), None, "seed {seed}: stopped while it was good");
        let seen =
            observe_until_verdict(&mut rng, case.max_answers, &mut monitor, "summary", case.after);
        let verdict = monitor
            .verdict()
            .unwrap_or_else(|| panic!("seed {seed}: not stopped after {seen} answers"));
        assert!(verdict.contains(case.verdict), "{verdict}");
    }
}

#[test]
fn a_version_that_is_bad_for_only_one_kind_is_stopped() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut monitor = VersionMonitor::new(key("cheap/v1"));
    let bad = Behaviour { quality: 0.4, ..GOOD };
    for round in 0..600 {
        let behaviour = if round < 300 { GOOD } else { bad };
        monitor.observe(&answers(&mut rng, "summary", 9, GOOD), Baseline(None));
        monitor.observe(&answers(&mut rng, "query", 1, behaviour), Baseline(None));
        assert!(monitor.verdict().is_none() || round >= 300);
    }
    assert!(monitor.verdict().expect("a verdict").contains("kind 'query'"));
}

#[test]
fn a_new_version_is_compared_with_the_old_one_from_its_first_answer() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let (mut old, mut new) =
        (VersionMonitor::new(key("cheap/v1")), VersionMonitor::new(key("cheap/v2")));
    observe_until_verdict(&mut rng, 500, &mut old, "summary", GOOD);
    let bad = Behaviour { quality: 0.45, ..GOOD };
    for _ in 0..12 {
        let delta = answers(&mut rng, "summary", 5, bad);
        new.observe(&delta, Baseline(Some(old.evidence())));
    }
    assert!(new.verdict().expect("a verdict").contains("low ratings"));
}

/// Reference implementation of the test statistic: sums the mixture over every possible time of the
/// change.
fn reference_total(xs: &[f64], bound: f64, fresh: &[f64], fractions: &[f64]) -> f64 {
    let product = |from: usize, fraction: f64| -> f64 {
        xs[from..].iter().map(|x| 1.0 + fraction / bound * (x - bound)).product()
    };
    let each =
        |fraction: f64| -> f64 { (0..xs.len()).map(|i| fresh[i] * product(i, fraction)).sum() };
    fractions.iter().map(|fraction| each(*fraction)).sum()
}

#[test]
fn the_recursive_test_statistic_equals_the_sum_over_all_change_points() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let bits: Vec<u32> = (0..60).map(|_| u32::from(rng.random::<f64>() < 0.2)).collect();
    let mut test = SignalTest::new(Signal::Failed, None);
    let (mut fresh, mut empty) = (Vec::new(), SignalTest::new(Signal::Failed, None));
    for bit in &bits {
        test.observe(ObservationBatch::Counts { bad: *bit, good: 1 - bit }, Some(0.1));
        // With good observations only, each factor is known, which reveals the wealth added per
        // step.
        let before = empty.wealth[0];
        empty.observe(ObservationBatch::Counts { bad: 0, good: 1 }, Some(0.1));
        fresh.push(empty.wealth[0] / (1.0 - 0.05) - before);
    }
    let xs: Vec<f64> = bits.iter().map(|bit| f64::from(*bit)).collect();
    let reference = reference_total(&xs, 0.1, &fresh, &[0.05, 0.2, 0.5, 0.8]);
    assert!(
        (test.total_wealth() / reference - 1.0).abs() < 1e-6,
        "{} {reference}",
        test.total_wealth()
    );
}

fn config() -> Config {
    let mut config = Config { revision: 1, ..Config::default() };
    let model = ModelName::new("cheap");
    config.models.insert(model.clone(), Model { name: model.clone(), description: String::new() });
    for name in ["cheap/v1", "cheap/v2"] {
        let VersionKey { model, version } = key(name);
        let (pool, price) = (PoolName::new("cheap"), Price::default());
        let state = VersionState::Open;
        let version = Version { model, version, pool, state, quality: 0.8, price };
        config.versions.insert(version.key(), version);
    }
    let organisation: Organisation = serde_json::from_value(serde_json::json!({
        "name": "karri", "keys": [], "models": [{ "model": "cheap" }], "exhausted": "least_bad",
    }))
    .unwrap();
    config.organisations.insert(organisation.name.clone(), organisation);
    config
}

fn router(run: u64) -> RouterId {
    RouterId { vm: VmName::new("entry-1"), run }
}

#[test]
fn a_report_counts_once_despite_repetition_and_a_new_leader() {
    let (config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(1));
    let mut aggregator = StatsAggregator::from_summary(1, &StatsSummary::default());
    let report = CountReport { number: 1, deltas: vec![answers(&mut rng, "summary", 40, GOOD)] };
    for _ in 0..3 {
        assert_eq!(aggregator.merge(&config, &router(7), &report), 1);
    }
    assert_eq!(aggregator.answer_stats()[0].stats.ratings, 40);
    let mut committed = StatsSummary::default();
    let change = aggregator.summary_change(&config, &committed).expect("something to commit");
    committed.apply(change.clone());
    let once = committed.clone();
    committed.apply(change);
    assert_eq!(committed, once);
    let mut next = StatsAggregator::from_summary(2, &committed);
    assert_eq!(next.merge(&config, &router(7), &report), 1);
    assert_eq!(next.answer_stats(), aggregator.answer_stats());
    assert_eq!(next.evidence(), aggregator.evidence());
    let restarted = CountReport { number: 1, ..report };
    assert_eq!(next.merge(&config, &router(8), &restarted), 1);
    assert_eq!(next.answer_stats()[0].stats.ratings, 80);
}

#[test]
fn a_router_catches_up_with_a_leader_in_changes_of_bounded_size() {
    let (config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(2));
    let mut aggregator = StatsAggregator::from_summary(3, &StatsSummary::default());
    let deltas = (0..100).map(|i| answers(&mut rng, &format!("kind-{i}"), 1, GOOD)).collect();
    aggregator.merge(&config, &router(1), &CountReport { number: 1, deltas });
    let mut stats = FleetStats::default();
    let mut changes = 0;
    while let Some(change) = aggregator.change_since(stats.epoch()) {
        assert!(change.entries.len() <= 64);
        stats.apply(change);
        changes += 1;
    }
    assert_eq!((changes, stats.epoch().term), (2, 3));
    assert!(aggregator.change_since(Epoch { term: 2, number: 9_999 }).is_some());
}

#[test]
fn the_last_version_is_kept_for_the_best_available_policy() {
    let (mut config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(4));
    let mut aggregator = StatsAggregator::from_summary(1, &StatsSummary::default());
    let failing = Behaviour { failed: 0.9, ..GOOD };
    for _ in 0..20 {
        aggregator.observe(&config, &answers(&mut rng, "summary", 5, failing));
    }
    assert!(!aggregator.bad_versions(&config)[0].last_resort);
    config.versions.get_mut(&key("cheap/v2")).unwrap().state = VersionState::Withdrawn;
    assert!(aggregator.bad_versions(&config)[0].last_resort);
    config.versions.get_mut(&key("cheap/v1")).unwrap().state = VersionState::Withdrawn;
    assert_eq!(aggregator.bad_versions(&config), []);
}
