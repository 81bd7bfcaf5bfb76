//! The choice of a version, against cases and against a naive twin.

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

const WHOLE: ShareDraw = ShareDraw { rollout_point: 500, explore_point: 999, may_cascade: true };
const STREAM: ShareDraw = ShareDraw { rollout_point: 500, explore_point: 999, may_cascade: false };
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

/// `count` ratings of `quality`, every tenth 0.2 off to either side.
fn rated(version: &str, count: u64, quality: f64) -> AnswerStatsEntry {
    let mut learned = AnswerStats::default();
    for i in 0..count {
        let off = [0.2, -0.2, 0.0, 0.0, 0.0][i as usize % 5];
        learned.add_rating(((quality + off).clamp(0.0, 1.0) * 100.0).round() as u8);
    }
    let (organisation, kind) = (OrganisationName::new("karri"), TaskKind::new("default"));
    AnswerStatsEntry { key: StatKey { organisation, kind, version: key(version) }, stats: learned }
}

fn knowing(entries: Vec<AnswerStatsEntry>, bad: &[&str]) -> FleetStats {
    let bad = bad.iter().map(|text| key(text)).collect();
    let flags = Some(VersionFlags { bad, watched: BTreeSet::new() });
    let mut knowledge = FleetStats::default();
    knowledge.apply(FleetStatsChange { epoch: Epoch { term: 1, number: 1 }, entries, flags });
    knowledge
}

fn ask(
    config: &Config,
    knowledge: &FleetStats,
    draw: ShareDraw,
) -> Result<VersionChoice, ChooseError> {
    weigh(config, knowledge, draw, Weights::default())
}

fn weigh(
    config: &Config,
    knowledge: &FleetStats,
    draw: ShareDraw,
    weights: Weights,
) -> Result<VersionChoice, ChooseError> {
    let organisation = &config.organisations[&OrganisationName::new("karri")];
    let (kind, held) = (TaskKind::new("default"), BTreeSet::new());
    let (kind, held) = (&kind, &held);
    let rating = Some(100.0);
    let scene = ChoiceContext {
        config,
        organisation,
        kind,
        stats: knowledge,
        held,
        weights,
        rating_ms: rating,
    };
    choose(&scene, &ModelRef::Any, draw)
}

fn two() -> Vec<Version> {
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
#[case::prior_meets(Case { target: 0.7, ratings: vec![], bad: &[], draw: WHOLE, version: "cheap/v1", escalate: None })]
#[case::prior_misses_stream(Case { target: 0.85, ratings: vec![], bad: &[], draw: STREAM, version: "better/v1", escalate: None })]
#[case::learned_to_miss(Case { target: 0.7, ratings: vec![rated("cheap/v1", 200, 0.5)], bad: &[], draw: STREAM, version: "better/v1", escalate: None })]
#[case::learned_to_meet(Case { target: 0.85, ratings: vec![rated("cheap/v1", 400, 0.95)], bad: &[], draw: STREAM, version: "cheap/v1", escalate: None })]
#[case::cascade_too_rarely_good(Case { target: 0.9, ratings: vec![rated("cheap/v1", 400, 0.4)], bad: &[], draw: WHOLE, version: "better/v1", escalate: None })]
#[case::bad_is_left(Case { target: 0.7, ratings: vec![], bad: &["cheap/v1"], draw: WHOLE, version: "better/v1", escalate: None })]
#[case::least_bad(Case { target: 0.99, ratings: vec![], bad: &[], draw: STREAM, version: "better/v1", escalate: None })]
#[case::few_wrong_ratings(Case { target: 0.7, ratings: vec![rated("cheap/v1", 50, 0.8), rated("better/v1", 3, 0.0)], bad: &[], draw: STREAM, version: "cheap/v1", escalate: None })]
#[case::explores_the_uncertain(Case { target: 0.82, ratings: vec![rated("cheap/v1", 40, 0.82)], bad: &[], draw: EXPLORING, version: "cheap/v1", escalate: None })]
#[case::explores_nothing_hopeless(Case { target: 0.9, ratings: vec![rated("cheap/v1", 400, 0.5)], bad: &[], draw: EXPLORING, version: "better/v1", escalate: None })]
fn a_version_is_chosen_by_cost_at_the_target(#[case] case: Case) {
    let config = config(two(), case.target);
    let choice = ask(&config, &knowing(case.ratings, case.bad), case.draw).unwrap();
    assert_eq!(choice.version.to_string(), case.version, "{choice:?}");
    assert_eq!(choice.escalate_to.map(|v| v.to_string()).as_deref(), case.escalate);
}

#[rstest]
#[case::balanced(1, 1, None)]
#[case::cost_first(3, 1, Some("better/v1"))]
#[case::latency_first(1, 3, None)]
fn a_cascade_is_taken_where_the_weights_make_it_pay(
    #[case] cost: u32,
    #[case] latency: u32,
    #[case] escalate: Option<&str>,
) {
    let weights = Weights { cost, latency, exposure: 1 };
    let (config, knowledge) = (config(two(), 0.85), FleetStats::default());
    let whole = weigh(&config, &knowledge, WHOLE, weights).unwrap();
    assert_eq!(whole.escalate_to, escalate.map(key));
    let streamed = weigh(&config, &knowledge, STREAM, weights).unwrap();
    assert_eq!((streamed.version, streamed.escalate_to), (key("better/v1"), None));
}

#[test]
fn three_wrong_ratings_among_sixty_do_not_turn_the_choice() {
    let config = config(two(), 0.7);
    let mut entry = rated("cheap/v1", 60, 0.8);
    (0..3).for_each(|_| entry.stats.add_rating(0));
    assert_eq!(ask(&config, &knowing(vec![entry], &[]), STREAM).unwrap().version, key("cheap/v1"));
}

#[test]
fn without_a_good_version_the_setting_decides() {
    let mut config = config(two(), 0.7);
    let bad = knowing(vec![], &["cheap/v1", "better/v1"]);
    assert_eq!(ask(&config, &bad, STREAM).unwrap().version, key("better/v1"));
    let organisation = config.organisations.get_mut(&OrganisationName::new("karri")).unwrap();
    organisation.fallback = FallbackPolicy::Refuse;
    assert_eq!(ask(&config, &bad, STREAM), Err(ChooseError::BelowTarget));
    config.versions.values_mut().for_each(|v| v.state = VersionState::Withdrawn);
    assert_eq!(ask(&config, &bad, STREAM), Err(ChooseError::NoneOpen));
}

#[test]
fn a_direct_kind_never_takes_the_cheap_way() {
    let mut config = config(two(), 0.7);
    let organisation = config.organisations.get_mut(&OrganisationName::new("karri")).unwrap();
    let route = RoutingMode::Direct(ModelName::new("better"));
    organisation.kinds.push(KindRule {
        kind: TaskKind::new("default"),
        quality_target: 0.7,
        route,
    });
    for draw in [WHOLE, STREAM, EXPLORING] {
        let choice = ask(&config, &knowing(vec![], &[]), draw).unwrap();
        assert_eq!((choice.version, choice.escalate_to), (key("better/v1"), None));
    }
}

fn rolling(share: u32) -> Config {
    let mut versions = two();
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
#[case::new_one_is_bad(499, &["cheap/v2"], "cheap/v1")]
#[case::old_one_is_bad(999, &["cheap/v1"], "cheap/v2")]
#[case::both_are_bad(0, &["cheap/v1", "cheap/v2"], "better/v1")]
fn a_roll_out_shares_sessions_out(
    #[case] point: u32,
    #[case] bad: &[&str],
    #[case] expected: &str,
) {
    let draw = ShareDraw { rollout_point: point, explore_point: 999, may_cascade: false };
    let choice = ask(&rolling(500), &knowing(vec![], bad), draw).unwrap();
    assert_eq!(choice.version.to_string(), expected);
}

#[test]
fn the_new_version_is_used_when_the_old_one_is_withdrawn_halfway() {
    let mut config = rolling(1);
    config.versions.get_mut(&key("cheap/v1")).unwrap().state = VersionState::Withdrawn;
    let choice = ask(&config, &knowing(vec![], &[]), STREAM).unwrap();
    assert_eq!(choice.version, key("cheap/v2"));
}

/// The cheapest open version whose expected quality meets the target, by a linear scan.
fn naive(versions: &[Version], target: f64) -> VersionKey {
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
    fn without_ratings_the_choice_is_the_naive_one(
        drawn in proptest::collection::vec((0u8..100, 1u64..1_000_000, any::<bool>()), 1..12),
        target in 0u8..100,
    ) {
        let target = f64::from(target) / 100.0;
        let mut versions: Vec<Version> = Vec::new();
        for (i, (quality, price, open)) in drawn.iter().enumerate() {
            // Distinct qualities and prices leave no ties.
            let quality = f64::from(*quality) / 100.0 + i as f64 * 1e-5;
            let mut v = version(&format!("cheap/v{i:02}"), quality, price * 100 + i as u64);
            v.version = VersionName::new(format!("v{i:02}"));
            v.state = if *open || i == 0 { VersionState::Open } else { VersionState::Closing };
            versions.push(v);
        }
        let expected = naive(&versions, target);
        let choice = ask(&config(versions, target), &FleetStats::default(), STREAM).unwrap();
        prop_assert_eq!(choice.version, expected);
    }
}
