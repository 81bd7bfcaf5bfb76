//! Version choice: a table of cases and a comparison with a reference implementation.

use proptest::prelude::*;
use rstest::rstest;
use samphireshift::control::{
    AnswerStats, AnswerStatsEntry, Config, FallbackPolicy, KindRule, Model, ModelGrant,
    Organisation, Price, Rollout, RolloutStatus, RoutingMode, StatKey, Version, VersionState,
};
use samphireshift::name::{
    ModelName, OrganisationName, PoolName, RolloutName, TaskKind, VersionKey, VersionName,
};
use samphireshift::policy::{
    ChoiceContext, ChooseError, Epoch, FleetStats, FleetStatsChange, ModelRef, ShareDraw,
    VersionChoice, VersionFlags, Weights, choose,
};
use std::collections::BTreeSet;

const CASCADE: ShareDraw = ShareDraw { rollout_point: 500, explore_point: 999, may_cascade: true };
const DIRECT: ShareDraw = ShareDraw { rollout_point: 500, explore_point: 999, may_cascade: false };
const EXPLORING: ShareDraw = ShareDraw { rollout_point: 500, explore_point: 0, may_cascade: false };

fn key(text: &str) -> VersionKey {
    VersionKey::parse(text).unwrap()
}

fn version(text: &str, quality: f64, price: u64) -> Version {
    let VersionKey { model, version } = key(text);
    let price = Price { prompt: price, answer: price };
    let pool = PoolName::new("pool");
    Version { model, version, pool, state: VersionState::Open, quality, price }
}

fn organisation(target: f64) -> Organisation {
    let grant = |name: &str| ModelGrant { model: ModelName::new(name), versions: Vec::new() };
    Organisation {
        name: OrganisationName::new("karri"),
        keys: Vec::new(),
        weight: 1,
        models: vec![grant("cheap"), grant("better")],
        services: Vec::new(),
        quality_target: target,
        kinds: Vec::new(),
        fallback: FallbackPolicy::BestAvailable,
    }
}

fn config(versions: Vec<Version>, target: f64) -> Config {
    let mut config = Config { revision: 1, ..Config::default() };
    for name in ["cheap", "better"] {
        config.models.insert(
            ModelName::new(name),
            Model { name: ModelName::new(name), description: String::new() },
        );
    }
    config.versions.extend(versions.into_iter().map(|v| (v.key(), v)));
    let organisation = organisation(target);
    config.organisations.insert(organisation.name.clone(), organisation);
    config
}

/// Statistics with `count` ratings around `quality`: of every five, one is 0.2 higher, one 0.2
/// lower.
fn rated(version: &str, count: u64, quality: f64) -> AnswerStatsEntry {
    let mut stats = AnswerStats::default();
    for i in 0..count {
        let offset = [0.2, -0.2, 0.0, 0.0, 0.0][i as usize % 5];
        stats.add_rating(((quality + offset).clamp(0.0, 1.0) * 100.0).round() as u8);
    }
    let (organisation, kind) = (OrganisationName::new("karri"), TaskKind::new("default"));
    AnswerStatsEntry { key: StatKey { organisation, kind, version: key(version) }, stats }
}

fn fleet_stats(entries: Vec<AnswerStatsEntry>, bad: &[&str]) -> FleetStats {
    let bad = bad.iter().map(|text| key(text)).collect();
    let flags = Some(VersionFlags { bad, watched: BTreeSet::new() });
    let mut stats = FleetStats::default();
    stats.apply(FleetStatsChange { epoch: Epoch { term: 1, number: 1 }, entries, flags });
    stats
}

fn choose_default(
    config: &Config,
    stats: &FleetStats,
    draw: ShareDraw,
) -> Result<VersionChoice, ChooseError> {
    choose_with(config, stats, draw, Weights::default())
}

fn choose_with(
    config: &Config,
    stats: &FleetStats,
    draw: ShareDraw,
    weights: Weights,
) -> Result<VersionChoice, ChooseError> {
    let organisation = &config.organisations[&OrganisationName::new("karri")];
    let (kind, held) = (TaskKind::new("default"), BTreeSet::new());
    let (kind, held) = (&kind, &held);
    let rating = Some(100.0);
    let context =
        ChoiceContext { config, organisation, kind, stats, held, weights, rating_ms: rating };
    choose(&context, &ModelRef::Any, draw)
}

fn two_versions() -> Vec<Version> {
    vec![version("cheap/v1", 0.8, 100), version("better/v1", 0.95, 1_000)]
}

struct Case {
    target: f64,
    ratings: Vec<AnswerStatsEntry>,
    bad: &'static [&'static str],
    draw: ShareDraw,
    version: &'static str,
    escalate: Option<&'static str>,
}

#[rstest]
#[case::prior_meets_target(Case { target: 0.7, ratings: vec![], bad: &[], draw: CASCADE, version: "cheap/v1", escalate: None })]
#[case::prior_misses_target_without_cascade(Case { target: 0.85, ratings: vec![], bad: &[], draw: DIRECT, version: "better/v1", escalate: None })]
#[case::ratings_below_target(Case { target: 0.7, ratings: vec![rated("cheap/v1", 200, 0.5)], bad: &[], draw: DIRECT, version: "better/v1", escalate: None })]
#[case::ratings_above_target(Case { target: 0.85, ratings: vec![rated("cheap/v1", 400, 0.95)], bad: &[], draw: DIRECT, version: "cheap/v1", escalate: None })]
#[case::cascade_too_rarely_good(Case { target: 0.9, ratings: vec![rated("cheap/v1", 400, 0.4)], bad: &[], draw: CASCADE, version: "better/v1", escalate: None })]
#[case::bad_is_avoided(Case { target: 0.7, ratings: vec![], bad: &["cheap/v1"], draw: CASCADE, version: "better/v1", escalate: None })]
#[case::best_available(Case { target: 0.99, ratings: vec![], bad: &[], draw: DIRECT, version: "better/v1", escalate: None })]
#[case::few_low_ratings(Case { target: 0.7, ratings: vec![rated("cheap/v1", 50, 0.8), rated("better/v1", 3, 0.0)], bad: &[], draw: DIRECT, version: "cheap/v1", escalate: None })]
#[case::explores_an_uncertain_version(Case { target: 0.82, ratings: vec![rated("cheap/v1", 40, 0.82)], bad: &[], draw: EXPLORING, version: "cheap/v1", escalate: None })]
#[case::does_not_explore_a_version_known_to_miss(Case { target: 0.9, ratings: vec![rated("cheap/v1", 400, 0.5)], bad: &[], draw: EXPLORING, version: "better/v1", escalate: None })]
fn the_cheapest_version_that_meets_the_target_is_chosen(#[case] case: Case) {
    let config = config(two_versions(), case.target);
    let choice = choose_default(&config, &fleet_stats(case.ratings, case.bad), case.draw).unwrap();
    assert_eq!(choice.version.to_string(), case.version, "{choice:?}");
    assert_eq!(choice.escalate_to.map(|v| v.to_string()).as_deref(), case.escalate);
}

#[rstest]
#[case::balanced(1, 1, None)]
#[case::cost_weighted(3, 1, Some("better/v1"))]
#[case::latency_weighted(1, 3, None)]
fn a_cascade_is_chosen_when_its_weighted_cost_is_lower(
    #[case] cost: u32,
    #[case] latency: u32,
    #[case] escalate: Option<&str>,
) {
    let weights = Weights { cost, latency, exposure: 1 };
    let (config, stats) = (config(two_versions(), 0.85), FleetStats::default());
    let whole = choose_with(&config, &stats, CASCADE, weights).unwrap();
    assert_eq!(whole.escalate_to, escalate.map(key));
    let streamed = choose_with(&config, &stats, DIRECT, weights).unwrap();
    assert_eq!((streamed.version, streamed.escalate_to), (key("better/v1"), None));
}

#[test]
fn three_outliers_among_sixty_ratings_do_not_change_the_choice() {
    let config = config(two_versions(), 0.7);
    let mut entry = rated("cheap/v1", 60, 0.8);
    (0..3).for_each(|_| entry.stats.add_rating(0));
    assert_eq!(
        choose_default(&config, &fleet_stats(vec![entry], &[]), DIRECT).unwrap().version,
        key("cheap/v1")
    );
}

#[test]
fn without_a_good_version_the_fallback_policy_decides() {
    let mut config = config(two_versions(), 0.7);
    let bad = fleet_stats(vec![], &["cheap/v1", "better/v1"]);
    assert_eq!(choose_default(&config, &bad, DIRECT).unwrap().version, key("better/v1"));
    let organisation = config.organisations.get_mut(&OrganisationName::new("karri")).unwrap();
    organisation.fallback = FallbackPolicy::Refuse;
    assert_eq!(choose_default(&config, &bad, DIRECT), Err(ChooseError::BelowTarget));
    config.versions.values_mut().for_each(|v| v.state = VersionState::Withdrawn);
    assert_eq!(choose_default(&config, &bad, DIRECT), Err(ChooseError::NoneOpen));
}

#[test]
fn a_direct_kind_never_uses_a_cheaper_model() {
    let mut config = config(two_versions(), 0.7);
    let organisation = config.organisations.get_mut(&OrganisationName::new("karri")).unwrap();
    let route = RoutingMode::Direct(ModelName::new("better"));
    organisation.kinds.push(KindRule {
        kind: TaskKind::new("default"),
        quality_target: 0.7,
        route,
    });
    for draw in [CASCADE, DIRECT, EXPLORING] {
        let choice = choose_default(&config, &fleet_stats(vec![], &[]), draw).unwrap();
        assert_eq!((choice.version, choice.escalate_to), (key("better/v1"), None));
    }
}

fn rollout_config(share: u32) -> Config {
    let mut versions = two_versions();
    versions.push(version("cheap/v2", 0.8, 90));
    let mut config = config(versions, 0.7);
    let name = RolloutName::new("v2");
    let (from, to) = (key("cheap/v1"), key("cheap/v2"));
    let (steps, answers, step, status) = (vec![share], 10, 0, RolloutStatus::Running);
    let rollout =
        Rollout { name: name.clone(), from, to, steps, min_answers: answers, step, status };
    config.rollouts.insert(name, rollout);
    config
}

#[rstest]
#[case::below_the_share(499, &[], "cheap/v2")]
#[case::above_the_share(500, &[], "cheap/v1")]
#[case::new_version_is_bad(499, &["cheap/v2"], "cheap/v1")]
#[case::old_version_is_bad(999, &["cheap/v1"], "cheap/v2")]
#[case::both_are_bad(0, &["cheap/v1", "cheap/v2"], "better/v1")]
fn a_rollout_splits_sessions_by_its_share(
    #[case] point: u32,
    #[case] bad: &[&str],
    #[case] expected: &str,
) {
    let draw = ShareDraw { rollout_point: point, explore_point: 999, may_cascade: false };
    let choice = choose_default(&rollout_config(500), &fleet_stats(vec![], bad), draw).unwrap();
    assert_eq!(choice.version.to_string(), expected);
}

#[test]
fn the_new_version_is_used_when_the_old_one_is_withdrawn_during_a_rollout() {
    let mut config = rollout_config(1);
    config.versions.get_mut(&key("cheap/v1")).unwrap().state = VersionState::Withdrawn;
    let choice = choose_default(&config, &fleet_stats(vec![], &[]), DIRECT).unwrap();
    assert_eq!(choice.version, key("cheap/v2"));
}

/// Reference implementation: the cheapest open version whose configured quality meets the target,
/// else the best one.
fn choose_reference(versions: &[Version], target: f64) -> VersionKey {
    let open = versions.iter().filter(|v| v.state == VersionState::Open);
    let good = open.clone().filter(|v| v.quality >= target);
    let cost = |v: &&Version| v.price.prompt * 500 + v.price.answer * 250;
    let cheapest = good.min_by_key(|v| (cost(v), v.key()));
    let best = open.max_by(|a, b| a.quality.total_cmp(&b.quality)).unwrap();
    cheapest.unwrap_or(best).key()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn without_ratings_the_choice_equals_the_reference(
        drawn in proptest::collection::vec((0u8..100, 1u64..1_000_000, any::<bool>()), 1..12),
        target in 0u8..100,
    ) {
        let target = f64::from(target) / 100.0;
        let mut versions: Vec<Version> = Vec::new();
        for (i, (quality, price, open)) in drawn.iter().enumerate() {
            // Distinct qualities and prices avoid ties.
            let quality = f64::from(*quality) / 100.0 + i as f64 * 1e-5;
            let mut v = version(&format!("cheap/v{i:02}"), quality, price * 100 + i as u64);
            v.version = VersionName::new(format!("v{i:02}"));
            v.state = if *open || i == 0 { VersionState::Open } else { VersionState::Closing };
            versions.push(v);
        }
        let expected = choose_reference(&versions, target);
        let choice = choose_default(&config(versions, target), &FleetStats::default(), DIRECT).unwrap();
        prop_assert_eq!(choice.version, expected);
    }
}
