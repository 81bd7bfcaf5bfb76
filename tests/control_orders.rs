//! Table test of the load and unload orders planned for the engines of a pool.

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
    /// State of the new version.
    state: VersionState,
    status: RolloutStatus,
    /// Share of the roll-out step, in thousandths.
    share: u32,
    /// Servers, of three, that have the new version loaded.
    loaded_on: &'static [usize],
    /// Server and kind of each order expected.
    expected: &'static [(usize, OrderKind)],
}

const OPEN: VersionState = VersionState::Open;
const WITHDRAWN: VersionState = VersionState::Withdrawn;
const RUNNING: RolloutStatus = RolloutStatus::Running;

#[rstest]
#[case::first_server(Case { state: OPEN, status: RUNNING, share: 10, loaded_on: &[], expected: &[(0, OrderKind::Load)] })]
#[case::enough_servers(Case { state: OPEN, status: RUNNING, share: 300, loaded_on: &[1], expected: &[] })]
#[case::one_order_at_a_time(Case { state: OPEN, status: RUNNING, share: 1000, loaded_on: &[1], expected: &[(0, OrderKind::Load)] })]
#[case::all_loaded(Case { state: OPEN, status: RolloutStatus::Done, share: 1000, loaded_on: &[0, 1, 2], expected: &[] })]
#[case::stopped(Case { state: OPEN, status: RolloutStatus::Stopped, share: 1000, loaded_on: &[0], expected: &[] })]
#[case::withdrawn(Case { state: WITHDRAWN, status: RUNNING, share: 1000, loaded_on: &[0, 2], expected: &[(0, OrderKind::Unload), (2, OrderKind::Unload)] })]
fn orders_match_the_configuration(#[case] case: Case) {
    let server = |i: usize| VmName::new(format!("e{i}"));
    let engine = |i: usize| {
        let mut loaded = vec![key("m/v1")];
        loaded.extend(case.loaded_on.contains(&i).then(|| key("m/v2")));
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
