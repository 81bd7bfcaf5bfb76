//! The order to evacuate a data centre in the replicated state and on its way to the routers: idempotent, kept by
//! snapshots, and readable beside builds that do not know it.

use rstest::rstest;
use samphireshift::control::{
    CallerLimits, Config, ControlCommand, ControlOutcome, ControlState, RouteTable,
};
use samphireshift::distribution::{Publisher, RouterState, config_entries};
use samphireshift::event::Journal;
use samphireshift::group::ReplicatedState;
use samphireshift::name::{DataCentre, VmName};
use samphireshift::peer::LeaseResponse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// An order for a data centre, or an event in between.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Begin(&'static str),
    Finish(&'static str),
    /// All processes are restarted from a snapshot.
    Restart,
}
use Step::{Begin, Finish, Restart};

fn centre(name: &str) -> DataCentre {
    DataCentre::new(name)
}

fn centres(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| centre(name)).collect()
}

fn command(step: Step) -> Option<ControlCommand> {
    match step {
        Begin(name) => Some(ControlCommand::BeginEvacuation(centre(name))),
        Finish(name) => Some(ControlCommand::FinishEvacuation(centre(name))),
        Restart => None,
    }
}

fn apply(state: &mut ReplicatedState, command: &ControlCommand) -> ControlOutcome {
    let outcome = state.apply(&postcard::to_stdvec(command).unwrap()).unwrap();
    postcard::from_bytes(&outcome).unwrap()
}

fn restart(state: &ReplicatedState) -> ReplicatedState {
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&state.snapshot()).unwrap();
    restored
}

fn control(state: &ReplicatedState) -> &ControlState {
    match state {
        ReplicatedState::Control(state) => state,
        ReplicatedState::Ledger(_) => unreachable!("the state is the control group's"),
    }
}

fn play(steps: &[Step]) -> ReplicatedState {
    let mut state = ReplicatedState::Control(ControlState::default());
    for step in steps {
        match command(*step) {
            Some(command) => drop(apply(&mut state, &command)),
            None => state = restart(&state),
        }
    }
    state
}

struct OrdersCase {
    steps: &'static [Step],
    evacuated: &'static [&'static str],
    /// How many of the steps changed something.
    revision: u64,
    ordered: &'static [&'static str],
}

#[rstest]
#[case::begun(OrdersCase { steps: &[Begin("a")], evacuated: &["a"], revision: 1, ordered: &["a"] })]
#[case::begun_again(OrdersCase {
    steps: &[Begin("a"), Begin("a")], evacuated: &["a"], revision: 1, ordered: &["a"],
})]
#[case::taken_back(OrdersCase {
    steps: &[Begin("a"), Finish("a")], evacuated: &[], revision: 2, ordered: &["a"],
})]
#[case::taken_back_again(OrdersCase {
    steps: &[Begin("a"), Finish("a"), Finish("a")], evacuated: &[], revision: 2, ordered: &["a"],
})]
#[case::taken_back_though_never_begun(OrdersCase {
    steps: &[Finish("a")], evacuated: &[], revision: 0, ordered: &["a"],
})]
#[case::an_older_begin_after_the_end_begins_anew(OrdersCase {
    steps: &[Begin("a"), Finish("a"), Begin("a")], evacuated: &["a"], revision: 3, ordered: &["a"],
})]
#[case::two_at_once(OrdersCase {
    steps: &[Begin("a"), Begin("b"), Finish("a")], evacuated: &["b"], revision: 3, ordered: &["a", "b"],
})]
#[case::all_of_them(OrdersCase {
    steps: &[Begin("a"), Begin("b"), Begin("c")], evacuated: &["a", "b", "c"], revision: 3,
    ordered: &["a", "b", "c"],
})]
fn orders_in_any_sequence(#[case] case: OrdersCase) {
    let check = |steps: &[Step]| {
        let state = play(steps);
        let state = control(&state);
        assert_eq!(state.config().evacuated, centres(case.evacuated), "{steps:?}");
        assert_eq!(state.config().revision, case.revision, "{steps:?}");
        assert_eq!(*state.ordered_centres(), centres(case.ordered), "{steps:?}");
    };
    check(case.steps);
    // A restart changes nothing, whenever it comes.
    for at in 0..=case.steps.len() {
        let mut steps = case.steps.to_vec();
        steps.insert(at, Restart);
        check(&steps);
    }
    // Nor does an order that is sent again at once.
    for at in 0..case.steps.len() {
        let mut steps = case.steps.to_vec();
        steps.insert(at, steps[at]);
        check(&steps);
    }
}

#[test]
fn only_a_change_gets_a_revision() {
    let mut state = ReplicatedState::Control(ControlState::default());
    let (begin, finish) = (command(Begin("a")).unwrap(), command(Finish("a")).unwrap());
    assert_eq!(apply(&mut state, &finish), ControlOutcome::Unchanged);
    assert_eq!(apply(&mut state, &begin), ControlOutcome::Changed(1));
    assert_eq!(apply(&mut state, &begin), ControlOutcome::Unchanged);
    assert_eq!(apply(&mut state, &finish), ControlOutcome::Changed(2));
    assert_eq!(apply(&mut state, &finish), ControlOutcome::Unchanged);
}

#[test]
fn a_change_of_the_configuration_keeps_the_evacuations() {
    let mut state = play(&[Begin("a")]);
    let table = RouteTable {
        number: 7,
        routes: Vec::new(),
        pools: Vec::new(),
        limits: CallerLimits::default(),
        organisations: None,
        document: bytes::Bytes::new(),
    };
    apply(&mut state, &ControlCommand::ReplaceRouteTable(Arc::new(table)));
    assert_eq!(control(&state).config().evacuated, centres(&["a"]));
}

#[test]
fn snapshots_are_read_across_builds() {
    let state = play(&[Begin("a"), Begin("b"), Finish("b")]);
    // A build without evacuations reads what it knows, and leaves the rest.
    let read: ControlState = postcard::from_bytes(&state.snapshot()).unwrap();
    assert_eq!((read.config().revision, read.config().evacuated.len()), (3, 0));
    // It wrote everything but the evacuations.
    let control_state = control(&state);
    let blocked = control_state.blocked_parts();
    let versions = control_state.pool_versions();
    let earlier = (control_state, blocked, &blocked.requests, versions);
    let earlier = postcard::to_stdvec(&earlier).unwrap();
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&earlier).unwrap();
    assert_eq!(control(&restored).config().revision, 3);
    assert!(control(&restored).config().evacuated.is_empty());
}

#[test]
fn routers_learn_of_the_evacuations_and_their_ends() {
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    let mut state = ReplicatedState::Control(ControlState::default());
    for (step, expected) in [
        (Begin("a"), vec!["a"]),
        (Begin("b"), vec!["a", "b"]),
        (Finish("a"), vec!["b"]),
        (Finish("b"), vec![]),
    ] {
        apply(&mut state, &command(step).unwrap());
        publisher.publish_config(control(&state).config());
        let chunk = publisher.read_config(&router.config_position());
        let config = router.receive_config(chunk.as_ref()).unwrap().expect("the change arrives");
        assert_eq!(config.evacuated, centres(&expected), "after {step:?}");
        let mut late = RouterState::default();
        let chunk = publisher.read_config(&late.config_position());
        let config = late.receive_config(chunk.as_ref()).unwrap().expect("the whole arrives");
        assert_eq!(config.evacuated, centres(&expected), "as a whole after {step:?}");
    }
}

/// Guards against a change of what earlier builds digest: without evacuations there is no new entry.
#[test]
fn without_evacuations_the_entries_are_those_of_earlier_builds() {
    let kept = Config { revision: 3, ..Config::default() };
    let entries = postcard::to_stdvec(&config_entries(&kept, true)).unwrap();
    let state = play(&[Begin("a"), Begin("b"), Finish("b")]);
    let config = Config { evacuated: BTreeSet::new(), ..Config::clone(control(&state).config()) };
    assert_eq!(entries, postcard::to_stdvec(&config_entries(&config, true)).unwrap());
}

/// Daemons that get the whole configuration with their lease get the evacuations beside it.
#[test]
fn a_lease_carries_the_evacuations() {
    let state = play(&[Begin("a")]);
    let config = Some(control(&state).config().clone());
    let granted = LeaseResponse::Granted {
        config,
        stamp: Journal::in_memory(VmName::new("leader")).timestamp(),
        last_report: 0,
        stats_change: None,
        pool_update: None,
    };
    let response = LeaseResponse::GrantedInEvacuation {
        granted: Box::new(granted),
        evacuated: centres(&["a"]),
    };
    let bytes = postcard::to_stdvec(&response).unwrap();
    let read: LeaseResponse = postcard::from_bytes(&bytes).unwrap();
    let LeaseResponse::Granted { config: Some(config), .. } = read.with_evacuations() else {
        panic!("the lease is granted");
    };
    assert_eq!((config.revision, &config.evacuated), (1, &centres(&["a"])));
}
