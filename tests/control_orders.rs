//! Which orders bring engines nearer to a configuration.

use rstest::rstest;
use samphireshift::control::{
    Config, EngineState, Order, OrderKind, Price, Rollout, RolloutStatus, Version, VersionState,
    plan_orders,
};
use samphireshift::name::{PoolName, RolloutName, VersionKey, VmName};

fn key(text: &str) -> VersionKey {
    VersionKey::parse(text).unwrap()
}

fn config(new: VersionState, status: RolloutStatus, share: u32) -> Config {
    let mut config = Config::default();
    for (text, state) in [("m/v1", VersionState::Open), ("m/v2", new)] {
        let VersionKey { model, version } = key(text);
        let (pool, price) = (PoolName::new("p"), Price::default());
        let version = Version { model, version, pool, state, quality: 0.5, price };
        config.versions.insert(key(text), version);
    }
    let (from, to, steps) = (key("m/v1"), key("m/v2"), vec![share]);
    let name = RolloutName::new("r");
    let rollout = Rollout { name: name.clone(), from, to, steps, min_answers: 1, step: 0, status };
    config.rollouts.insert(name, rollout);
    config
}

struct Case {
    state: VersionState,
    status: RolloutStatus,
    share: u32,
    /// Servers that hold the new version, of three.
    have: &'static [usize],
    expected: &'static [(usize, OrderKind)],
}

const OPEN: VersionState = VersionState::Open;
const GONE: VersionState = VersionState::Withdrawn;
const RUNS: RolloutStatus = RolloutStatus::Running;

#[rstest]
#[case::first(Case { state: OPEN, status: RUNS, share: 10, have: &[], expected: &[(0, OrderKind::Load)] })]
#[case::enough(Case { state: OPEN, status: RUNS, share: 300, have: &[1], expected: &[] })]
#[case::one_at_a_time(Case { state: OPEN, status: RUNS, share: 1000, have: &[1], expected: &[(0, OrderKind::Load)] })]
#[case::all(Case { state: OPEN, status: RolloutStatus::Done, share: 1000, have: &[0, 1, 2], expected: &[] })]
#[case::stopped(Case { state: OPEN, status: RolloutStatus::Stopped, share: 1000, have: &[0], expected: &[] })]
#[case::withdrawn(Case { state: GONE, status: RUNS, share: 1000, have: &[0, 2], expected: &[(0, OrderKind::Unload), (2, OrderKind::Unload)] })]
fn orders_follow_the_configuration(#[case] case: Case) {
    let server = |i: usize| VmName::new(format!("e{i}"));
    let engine = |i: usize| {
        let mut loaded = vec![key("m/v1")];
        loaded.extend(case.have.contains(&i).then(|| key("m/v2")));
        EngineState { server: server(i), pool: PoolName::new("p"), loaded }
    };
    let engines: Vec<EngineState> = (0..3).map(engine).collect();
    let expected = case.expected.iter().map(|(i, kind)| Order {
        server: server(*i),
        version: key("m/v2"),
        kind: *kind,
    });
    let orders = plan_orders(&config(case.state, case.status, case.share), &engines);
    assert_eq!(orders, expected.collect::<Vec<_>>());
}
