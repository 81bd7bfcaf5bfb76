//! Blocked parts in the replicated state: bounded, kept by snapshots, and readable beside builds that
//! do not know them.

use samphireshift::control::{BlockedParts, ControlCommand, ControlState};
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
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(blocked(&restored), blocked(&state));
    assert!(blocked(&restored).parts.contains_key(&7));
    assert_eq!((blocked(&restored).parts.len(), blocked(&restored).version), (1, 3));
}

#[test]
fn snapshots_are_read_across_builds() {
    let mut state = ReplicatedState::Control(ControlState::default());
    let earlier = postcard::to_stdvec(&ControlState::default()).unwrap();
    apply(&mut state, &block(7));
    let read_by_earlier: ControlState = postcard::from_bytes(&state.snapshot()).unwrap();
    assert_eq!(read_by_earlier, ControlState::default());
    state.restore(&earlier).unwrap();
    assert_eq!(blocked(&state), &BlockedParts::default());
}

#[test]
fn the_blocked_parts_are_bounded_and_the_first_one_goes() {
    let mut parts = BlockedParts::default();
    (0..1_500).for_each(|part| assert!(parts.block(part, String::new())));
    assert!(!parts.block(1_499, String::new()), "it is blocked already");
    assert_eq!(parts.parts.len(), 1_000);
    assert!(!parts.parts.contains_key(&499) && parts.parts.contains_key(&500));
    assert!(parts.clear(500) && !parts.clear(500));
}
