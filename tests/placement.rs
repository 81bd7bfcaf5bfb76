//! Placement of calls by learned times, memory and demand, on virtual time, beside other rules.

mod placement_play;

use placement_play::router::Rule;
use placement_play::{Day, Outcome, play};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::policy::{FirstEventWork, HomeGroup, HomeScope, HomeWeighing, TimeModel};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 53..58;
const WAY_MS: f64 = 12.0;
/// By how much chance moves the costs of equal choices: that of the costs that routers compare.
const JITTER: f64 = 1.03;

fn day(routers: usize, hot: f64, memory: f64, lag_ms: f64) -> Day {
    Day {
        routers,
        servers: 24,
        data_centres: 3,
        calls: 90.0,
        hot,
        memory,
        lag_ms,
        length_ms: 40_000.0,
        way_ms: WAY_MS,
    }
}

fn shown(name: &str, outcome: &Outcome) {
    println!(
        "{name}: p50 {:.0} p99 {:.0} ms, shared tokens read again {:.3}, away {:.3}, ratio {:.2}",
        outcome.first(0.5),
        outcome.first(0.99),
        outcome.read_again,
        outcome.away,
        outcome.median_ratio()
    );
}

/// A hot part, 3 to 83 routers, memory of half to twice of all parts, load told 0.1 to 3 s late.
#[rstest]
#[case::few_routers(day(3, 0.3, 100.0, 100.0))]
#[case::many_routers(day(83, 0.3, 100.0, 100.0))]
#[case::late_load(day(24, 0.3, 100.0, 3_000.0))]
#[case::little_memory(day(24, 0.3, 50.0, 500.0))]
#[case::much_memory(day(24, 0.3, 200.0, 500.0))]
fn a_hot_part_makes_nobody_wait(#[case] day: Day) {
    let learned = play(&day, Rule::Learned, SEEDS);
    let fixed = play(&day, Rule::Fixed, SEEDS);
    shown("learned", &learned);
    shown("fixed", &fixed);
    assert!(learned.first(0.99) <= 0.6 * fixed.first(0.99), "p99 against the fixed rule");
}

#[rstest]
#[case::few_routers(day(3, 0.3, 100.0, 100.0))]
#[case::many_routers(day(83, 0.3, 100.0, 100.0))]
#[case::late_load(day(24, 0.3, 100.0, 3_000.0))]
#[case::little_memory(day(24, 0.3, 50.0, 500.0))]
#[case::much_memory(day(24, 0.3, 200.0, 500.0))]
fn times_are_learned_and_prompts_used(#[case] day: Day) {
    let learned = play(&day, Rule::Learned, SEEDS);
    let (in_turn, least) =
        (play(&day, Rule::RoundRobin, SEEDS), play(&day, Rule::LeastLoaded, SEEDS));
    shown("learned", &learned);
    shown("round robin", &in_turn);
    shown("least loaded", &least);
    assert!(learned.first(0.99) <= 0.6 * in_turn.first(0.99), "p99 against round robin");
    assert!(learned.first(0.99) <= 0.6 * least.first(0.99), "p99 against the least loaded");
    assert!(learned.read_again < 0.75 * in_turn.read_again, "shared tokens read again");
    let ratio = learned.median_ratio();
    assert!((1.0 / 1.25..=1.25).contains(&ratio), "measured against expected time: {ratio}");
}

#[rstest]
#[case::few_routers(day(3, 0.0, 100.0, 500.0))]
#[case::many_routers(day(83, 0.0, 100.0, 500.0))]
fn without_a_hot_part_nothing_is_lost(#[case] day: Day) {
    let learned = play(&day, Rule::Learned, SEEDS);
    let fixed = play(&day, Rule::Fixed, SEEDS);
    shown("learned", &learned);
    shown("fixed", &fixed);
    assert!(learned.first(0.99) <= fixed.first(0.99));
    assert!(learned.first(0.5) <= fixed.first(0.5));
    assert!(learned.away <= fixed.away);
}

#[test]
fn one_odd_answer_moves_the_times_little() {
    let work = FirstEventWork { tokens: 2_000.0, running: 4.0, waiting: 0.0 };
    let mut model = TimeModel::default();
    (0..60).for_each(|_| model.observe(&work, 100.0));
    let before = model.expect(&work);
    model.observe(&work, 60_000.0);
    assert!(model.expect(&work) < before * 1.25, "{before} to {}", model.expect(&work));
    (0..200).for_each(|_| model.observe(&work, 300.0));
    assert!((model.expect(&work) - 300.0).abs() < 30.0, "follows a change");
}

/// What calls pay for the way and until their first events, in ms on the average.
fn paid(outcome: &Outcome, way_ms: f64) -> f64 {
    let first: f64 = outcome.first_ms.iter().sum();
    first / outcome.first_ms.len() as f64 + outcome.away * way_ms
}

/// Memory of four times all parts, and ways from hardly anything to far more than reading a part costs.
#[rstest]
#[case::cheap_way(2.0, HomeScope::Pool)]
#[case::usual_way(WAY_MS, HomeScope::Pool)]
#[case::dear_way(400.0, HomeScope::DataCentre)]
#[case::very_dear_way(1_000.0, HomeScope::DataCentre)]
fn the_way_is_weighed_against_reading(#[case] way_ms: f64, #[case] better: HomeScope) {
    let day = Day { way_ms, ..day(24, 0.0, 400.0, 500.0) };
    let paid = |rule| {
        let outcome = play(&day, rule, SEEDS);
        shown(&format!("{rule:?}"), &outcome);
        paid(&outcome, way_ms)
    };
    let weighed = paid(Rule::Learned);
    let (pool, near) =
        (paid(Rule::LearnedAt(HomeScope::Pool)), paid(Rule::LearnedAt(HomeScope::DataCentre)));
    println!("paid {weighed:.0}, in the pool {pool:.0}, in each data centre {near:.0}");
    let (right, wrong) = match better {
        HomeScope::Pool => (pool, near),
        HomeScope::DataCentre => (near, pool),
    };
    assert!(weighed <= right * JITTER, "{weighed} against {right} where all homes are {better:?}");
    assert!(weighed < wrong, "{weighed} against {wrong}");
}

/// Homes of the pool only where the expected reading that they save is dearer than the way.
#[test]
fn homes_are_where_reading_and_way_cost_least() {
    let mut random = Pcg64Mcg::seed_from_u64(53);
    let mut chosen = [0; 2];
    for _ in 0..10_000 {
        let rate = 10_f64.powf(random.random_range(-2.0..1.0));
        let group = |rate| HomeGroup { rate, homes: 1 };
        let (pool, near) = (group(rate), group(rate / 3.0));
        let kept = Duration::from_secs_f64(random.random_range(0.5..60.0));
        let weighing = HomeWeighing {
            read_ms: 10_f64.powf(random.random_range(0.0..3.0)),
            way_ms: 10_f64.powf(random.random_range(0.0..3.0)),
        };
        let read = |group: HomeGroup| (1.0 - group.plain_chance(kept)) * weighing.read_ms;
        let (at_pool, at_near) = (read(pool) + weighing.way_ms, read(near));
        match weighing.scope([pool, near], kept) {
            HomeScope::Pool => assert!(at_pool < at_near + 1e-9, "{rate} {kept:?} {weighing:?}"),
            HomeScope::DataCentre => {
                assert!(at_near < at_pool + 1e-9, "{rate} {kept:?} {weighing:?}")
            }
        }
        chosen[usize::from(at_pool < at_near)] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 1_000), "both are chosen: {chosen:?}");
}
