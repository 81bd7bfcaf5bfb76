//! Servers divided among models of unlike size (pattern: a batch goes at the pace of the largest model in it).

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use samphireshift::name::ModelName;
use samphireshift::policy::ModelHomes;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Work of each model, and how many of the servers each gets.
struct Division {
    work: &'static [(&'static str, f64)],
    servers: usize,
    own: &'static [usize],
}

#[rstest]
#[case::by_work(Division { work: &[("a", 3.0), ("b", 7.0)], servers: 100, own: &[38, 62] })]
#[case::small_work_has_a_floor(Division { work: &[("a", 0.2), ("b", 9.8)], servers: 100, own: &[21, 79] })]
#[case::work_of_no_account(Division { work: &[("a", 0.01), ("b", 99.0)], servers: 100, own: &[100, 100] })]
#[case::one_model(Division { work: &[("a", 5.0)], servers: 40, own: &[40] })]
#[case::few_servers(Division { work: &[("a", 1.0), ("b", 1.0)], servers: 5, own: &[5, 5] })]
#[case::no_servers(Division { work: &[("a", 1.0), ("b", 1.0)], servers: 0, own: &[0, 0] })]
#[case::more_models_than_floors(Division {
    work: &[("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 1.0), ("e", 1.0), ("f", 1.0)],
    servers: 12,
    own: &[2, 2, 2, 2, 2, 2],
})]
fn servers_are_divided_by_work(#[case] case: Division) {
    let mut homes = ModelHomes::default();
    for (model, work) in case.work {
        homes.record(Duration::ZERO, &ModelName::new(*model), *work);
    }
    let own = |model: &str| homes.own(Duration::ZERO, &ModelName::new(model), case.servers).len();
    let counts: Vec<usize> = case.work.iter().map(|(model, _)| own(model)).collect();
    assert_eq!(counts, case.own);
}

#[test]
fn a_model_that_was_never_asked_may_use_all_servers() {
    let mut homes = ModelHomes::default();
    homes.record(Duration::ZERO, &ModelName::new("a"), 1.0);
    assert_eq!(homes.own(Duration::ZERO, &ModelName::new("z"), 30), 0..30);
}

#[test]
fn a_model_that_is_no_longer_asked_gives_its_servers_back() {
    let (a, b) = (ModelName::new("a"), ModelName::new("b"));
    let mut homes = ModelHomes::default();
    homes.record(Duration::ZERO, &a, 1.0);
    for second in 0..90 {
        homes.record(second * SECOND, &b, 1.0);
    }
    assert_eq!(homes.own(90 * SECOND, &b, 30), 0..30);
}

/// Guards against routers that each see a part of the calls and divide the servers in ways of their own: calls of
/// one model would be at home on servers where those of the other are.
#[rstest]
#[case::three(3)]
#[case::eighty_three(83)]
fn routers_that_see_few_calls_divide_servers_nearly_alike(#[case] routers: usize) {
    let mut rng = Pcg64::seed_from_u64(7);
    let (a, b) = (ModelName::new("a"), ModelName::new("b"));
    let mut edges = Vec::new();
    for _ in 0..routers {
        let mut homes = ModelHomes::default();
        for call in 0..200 {
            let now = Duration::from_millis(call * 200);
            let size = rng.random_range(0.2..3.0);
            homes.record(now, &a, 0.02 * size);
            if rng.random_bool(0.5) {
                homes.record(now, &b, 0.3 * size);
            }
        }
        edges.push(homes.own(40 * SECOND, &a, 140).end);
    }
    let spread = edges.iter().max().unwrap() - edges.iter().min().unwrap();
    assert!(spread <= 14, "a tenth of 140 servers: the edges lie {spread} apart");
}
