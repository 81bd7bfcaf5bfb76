//! The judge of versions: false stops, delays, repetition, a new leader.

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

/// How a version behaves at one kind of task.
#[derive(Debug, Clone, Copy)]
struct Behaviour {
    failed: f64,
    malformed: f64,
    quality: f64,
}

const GOOD: Behaviour = Behaviour { failed: 0.01, malformed: 0.005, quality: 0.8 };

fn answers(rng: &mut Pcg64Mcg, kind: &str, count: u32, at: Behaviour) -> StatDelta {
    let mut delta = StatDelta::new(stat(kind));
    for _ in 0..count {
        match rng.random::<f64>() {
            x if x < at.failed => delta.failed += 1,
            x if x < at.failed + at.malformed => delta.malformed += 1,
            _ => delta.answers += 1,
        }
        // About 2 in 100 ratings are wrong.
        let noise = rng.random::<f64>() * 0.4 - 0.2;
        let wrong = rng.random::<f64>() < 0.02;
        let rating = if wrong { rng.random() } else { (at.quality + noise).clamp(0.0, 1.0) };
        delta.ratings.push((rating * 100.0) as u8);
    }
    delta
}

fn judged(
    rng: &mut Pcg64Mcg,
    count: u32,
    judge: &mut VersionMonitor,
    kind: &str,
    at: Behaviour,
) -> u32 {
    const BATCH: u32 = 5;
    for seen in (0..count).step_by(BATCH as usize) {
        judge.observe(&answers(rng, kind, BATCH, at), Baseline(None));
        if judge.verdict().is_some() {
            return seen + BATCH;
        }
    }
    count
}

#[test]
fn a_good_version_is_stopped_in_at_most_one_of_a_thousand_roll_outs() {
    let mut stopped = 0;
    for seed in 0..1_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut judge = VersionMonitor::new(key("cheap/v1"));
        judged(&mut rng, 1_000, &mut judge, "summary", GOOD);
        stopped += u32::from(judge.verdict().is_some());
    }
    assert!(stopped <= 1, "{stopped} of 1000 good versions were stopped");
}

struct Turn {
    before: u32,
    after: Behaviour,
    most: u32,
    says: &'static str,
}

#[rstest]
#[case::fails_from_the_start(Turn { before: 0, after: Behaviour { failed: 0.5, ..GOOD }, most: 60, says: "failed answers" })]
#[case::fails_after_a_long_good_past(Turn { before: 20_000, after: Behaviour { failed: 0.5, ..GOOD }, most: 80, says: "failed answers" })]
#[case::fails_a_little(Turn { before: 5_000, after: Behaviour { failed: 0.1, ..GOOD }, most: 800, says: "failed answers" })]
#[case::malformed(Turn { before: 5_000, after: Behaviour { malformed: 0.5, ..GOOD }, most: 80, says: "malformed answers" })]
#[case::rated_low(Turn { before: 5_000, after: Behaviour { quality: 0.5, ..GOOD }, most: 150, says: "low ratings" })]
#[case::rated_a_little_low(Turn { before: 5_000, after: Behaviour { quality: 0.65, ..GOOD }, most: 900, says: "low ratings" })]
fn a_version_that_turns_bad_is_stopped_soon(#[case] turn: Turn) {
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut judge = VersionMonitor::new(key("cheap/v1"));
        judged(&mut rng, turn.before, &mut judge, "summary", GOOD);
        assert_eq!(judge.verdict(), None, "stopped while good, seed {seed}");
        let seen = judged(&mut rng, turn.most, &mut judge, "summary", turn.after);
        let verdict = judge.verdict().unwrap_or_else(|| panic!("not after {seen}, seed {seed}"));
        assert!(verdict.contains(turn.says), "{verdict}");
    }
}

#[test]
fn a_version_bad_for_one_kind_only_is_stopped_for_it() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut judge = VersionMonitor::new(key("cheap/v1"));
    let bad = Behaviour { quality: 0.4, ..GOOD };
    for round in 0..600 {
        let at = if round < 300 { GOOD } else { bad };
        judge.observe(&answers(&mut rng, "summary", 9, GOOD), Baseline(None));
        judge.observe(&answers(&mut rng, "query", 1, at), Baseline(None));
        assert!(judge.verdict().is_none() || round >= 300);
    }
    assert!(judge.verdict().expect("a verdict").contains("kind 'query'"));
}

#[test]
fn a_new_version_is_held_against_the_old_one_from_its_first_answer() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let (mut old, mut new) =
        (VersionMonitor::new(key("cheap/v1")), VersionMonitor::new(key("cheap/v2")));
    judged(&mut rng, 500, &mut old, "summary", GOOD);
    let bad = Behaviour { quality: 0.45, ..GOOD };
    for _ in 0..12 {
        let delta = answers(&mut rng, "summary", 5, bad);
        new.observe(&delta, Baseline(Some(old.evidence())));
    }
    assert!(new.verdict().expect("a verdict").contains("low ratings"));
}

/// The same mixture, summed over every possible time of onset.
fn naive_total(xs: &[f64], bound: f64, fresh: &[f64], parts: &[f64]) -> f64 {
    let product = |from: usize, part: f64| -> f64 {
        xs[from..].iter().map(|x| 1.0 + part / bound * (x - bound)).product()
    };
    let each = |part: f64| -> f64 { (0..xs.len()).map(|i| fresh[i] * product(i, part)).sum() };
    parts.iter().map(|part| each(*part)).sum()
}

#[test]
fn the_recursion_equals_the_sum_over_all_onsets() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let bits: Vec<u32> = (0..60).map(|_| u32::from(rng.random::<f64>() < 0.2)).collect();
    let mut test = SignalTest::new(Signal::Failed, None);
    let (mut fresh, mut empty) = (Vec::new(), SignalTest::new(Signal::Failed, None));
    for bit in &bits {
        test.observe(ObservationBatch::Counts { bad: *bit, good: 1 - bit }, Some(0.1));
        // Without bad observations each factor is known, so that what was put in is read off.
        let before = empty.wealth[0];
        empty.observe(ObservationBatch::Counts { bad: 0, good: 1 }, Some(0.1));
        fresh.push(empty.wealth[0] / (1.0 - 0.05) - before);
    }
    let xs: Vec<f64> = bits.iter().map(|bit| f64::from(*bit)).collect();
    let naive = naive_total(&xs, 0.1, &fresh, &[0.05, 0.2, 0.5, 0.8]);
    assert!((test.total_wealth() / naive - 1.0).abs() < 1e-6, "{} {naive}", test.total_wealth());
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
fn a_report_counts_once_however_often_it_comes_and_whoever_leads() {
    let (config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(1));
    let mut board = StatsAggregator::from_summary(1, &StatsSummary::default());
    let report = CountReport { number: 1, deltas: vec![answers(&mut rng, "summary", 40, GOOD)] };
    for _ in 0..3 {
        assert_eq!(board.merge(&config, &router(7), &report), 1);
    }
    assert_eq!(board.answer_stats()[0].stats.ratings, 40);
    let mut committed = StatsSummary::default();
    let change = board.summary_change(&config, &committed).expect("something to commit");
    committed.apply(change.clone());
    let once = committed.clone();
    committed.apply(change);
    assert_eq!(committed, once);
    let mut next = StatsAggregator::from_summary(2, &committed);
    assert_eq!(next.merge(&config, &router(7), &report), 1);
    assert_eq!(next.answer_stats(), board.answer_stats());
    assert_eq!(next.evidence(), board.evidence());
    let restarted = CountReport { number: 1, ..report };
    assert_eq!(next.merge(&config, &router(8), &restarted), 1);
    assert_eq!(next.answer_stats()[0].stats.ratings, 80);
}

#[test]
fn a_router_catches_up_with_every_leader_in_bounded_pieces() {
    let (config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(2));
    let mut board = StatsAggregator::from_summary(3, &StatsSummary::default());
    let deltas = (0..100).map(|i| answers(&mut rng, &format!("kind-{i}"), 1, GOOD)).collect();
    board.merge(&config, &router(1), &CountReport { number: 1, deltas });
    let mut knowledge = FleetStats::default();
    let mut pieces = 0;
    while let Some(change) = board.change_since(knowledge.epoch()) {
        assert!(change.entries.len() <= 64);
        knowledge.apply(change);
        pieces += 1;
    }
    assert_eq!((pieces, knowledge.epoch().term), (2, 3));
    assert!(board.change_since(Epoch { term: 2, number: 9_999 }).is_some());
}

#[test]
fn the_last_version_is_kept_for_those_who_want_the_least_bad() {
    let (mut config, mut rng) = (config(), Pcg64Mcg::seed_from_u64(4));
    let mut board = StatsAggregator::from_summary(1, &StatsSummary::default());
    let failing = Behaviour { failed: 0.9, ..GOOD };
    for _ in 0..20 {
        board.observe(&config, &answers(&mut rng, "summary", 5, failing));
    }
    assert!(!board.bad_versions(&config)[0].last_resort);
    config.versions.get_mut(&key("cheap/v2")).unwrap().state = VersionState::Withdrawn;
    assert!(board.bad_versions(&config)[0].last_resort);
    config.versions.get_mut(&key("cheap/v1")).unwrap().state = VersionState::Withdrawn;
    assert_eq!(board.bad_versions(&config), []);
}
