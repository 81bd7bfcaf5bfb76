//! Blocked parts in the replicated state: bounded, kept by snapshots, and readable beside builds that
//! do not know them.

use samphireshift::control::{BlockedParts, ControlCommand, ControlState, Suspect};
use samphireshift::group::ReplicatedState;

fn apply(state: &mut ReplicatedState, command: &ControlCommand) {
    state.apply(&postcard::to_stdvec(command).unwrap()).unwrap();
}

fn blocked(state: &ReplicatedState) -> &BlockedParts {
    match state {
        ReplicatedState::Control(state) => state.blocked_parts(),
        ReplicatedState::Ledger(_) => unreachable!("the state is the control group's"),
    }
}

fn block(part: u64) -> ControlCommand {
    ControlCommand::BlockPart { part, evidence: "three servers ended".to_owned() }
}

#[test]
fn a_snapshot_keeps_the_blocked_parts() {
    let mut state = ReplicatedState::Control(ControlState::default());
    apply(&mut state, &block(7));
    apply(&mut state, &block(8));
    apply(&mut state, &ControlCommand::ClearPart(8));
    let evidence = "three servers ended".to_owned();
    apply(&mut state, &ControlCommand::BlockRequest { request: 9, evidence });
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(blocked(&restored), blocked(&state));
    assert!(blocked(&restored).parts.contains_key(&7));
    assert_eq!((blocked(&restored).parts.len(), blocked(&restored).version), (1, 4));
    assert!(blocked(&restored).contains(Suspect::Request(9)));
    apply(&mut restored, &ControlCommand::ClearRequest(9));
    assert!(!blocked(&restored).contains(Suspect::Request(9)));
}

#[test]
fn snapshots_are_read_across_builds() {
    let mut state = ReplicatedState::Control(ControlState::default());
    let earlier = postcard::to_stdvec(&ControlState::default()).unwrap();
    apply(&mut state, &block(7));
    let read_by_earlier: ControlState = postcard::from_bytes(&state.snapshot()).unwrap();
    assert_eq!(read_by_earlier, ControlState::default());
    // A build that knows parts but no requests wrote and reads these two.
    let parts_only = postcard::to_stdvec(&(ControlState::default(), blocked(&state))).unwrap();
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&parts_only).unwrap();
    assert!(blocked(&restored).contains(Suspect::Part(7)));
    let (_, read): (ControlState, BlockedParts) = postcard::from_bytes(&state.snapshot()).unwrap();
    assert!(read.contains(Suspect::Part(7)));
    state.restore(&earlier).unwrap();
    assert_eq!(blocked(&state), &BlockedParts::default());
}

#[test]
fn the_blocked_parts_are_bounded_and_the_first_one_goes() {
    let mut parts = BlockedParts::default();
    (0..1_500).for_each(|part| assert!(parts.block(Suspect::Part(part), String::new())));
    assert!(parts.block(Suspect::Request(499), String::new()));
    assert!(!parts.block(Suspect::Part(1_499), String::new()), "it is blocked already");
    assert_eq!(parts.parts.len(), 1_000);
    assert!(!parts.parts.contains_key(&499) && parts.parts.contains_key(&500));
    assert!(parts.clear(Suspect::Part(500)) && !parts.clear(Suspect::Part(500)));
    assert!(parts.contains(Suspect::Request(499)), "requests are kept beside the parts");
}
