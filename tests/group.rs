//! A group of one voter: what its handle says at the moment a command is answered.

use bytes::Bytes;
use samphireshift::consensus::{Member, MemberId, Members, Timing};
use samphireshift::control::{ControlCommand, ControlState};
use samphireshift::event::Journal;
use samphireshift::group::{Group, GroupId, GroupOptions, ReplicatedState};
use samphireshift::name::{DataCentre, VmName};
use samphireshift::storage::{GroupStore, RecoveredState};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Size of a state whose snapshot takes long enough to be noticed.
const EVIDENCE_BYTES: usize = 16 << 20;
const COMMANDS: u64 = 200;

fn serialised(command: &ControlCommand) -> Bytes {
    postcard::to_stdvec(command).unwrap().into()
}

fn only_voter() -> Member {
    Member {
        id: MemberId(1),
        vm: VmName::new("voter"),
        data_centre: DataCentre::new("dc"),
        address: ([127, 0, 0, 1], 1).into(),
        durable: false,
    }
}

/// A group without a disk whose state is large; the first command is followed by a snapshot.
async fn group_with_large_state() -> Group {
    let evidence = "e".repeat(EVIDENCE_BYTES);
    let mut state = ReplicatedState::Control(ControlState::default());
    state.apply(&serialised(&ControlCommand::BlockPart { part: 1, evidence })).unwrap();
    leading_group(Options { state, store: None, election_ms: 300, snapshot_entries: 3 }).await
}

/// What the tests vary.
struct Options {
    state: ReplicatedState,
    store: Option<(GroupStore, RecoveredState)>,
    election_ms: u64,
    snapshot_entries: u64,
}

/// Starts a group of one voter and waits until it leads.
async fn leading_group(options: Options) -> Group {
    let member = only_voter();
    let group = Group::spawn(GroupOptions {
        id: GroupId::Control,
        member: member.id,
        timing: Timing {
            election_timeout: Duration::from_millis(options.election_ms),
            heartbeat_interval: Duration::from_millis(5),
        },
        store: options.store,
        state: options.state,
        outbox: mpsc::unbounded_channel().0,
        journal: Arc::new(Journal::in_memory(member.vm.clone())),
        snapshot_entries: options.snapshot_entries,
    });
    group.bootstrap(Members { voters: vec![member], learners: Vec::new() });
    while !group.may_serve_reads() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    group
}

/// Guards against a leader that commits a change, and then answers that it does not lead.
#[tokio::test]
async fn a_leader_that_answers_a_command_may_serve_reads_at_that_moment() {
    let group = group_with_large_state().await;
    for command in 0..COMMANDS {
        group.submit(serialised(&ControlCommand::ClearPart(command + 2))).await.unwrap();
        assert!(group.may_serve_reads(), "not at command {command}");
        let status = group.status();
        assert_eq!(status.commit_index, status.last_index, "at command {command}");
    }
}

/// Guards against the only voter of a group taking its own slow disk for a lost quorum.
#[tokio::test]
async fn an_only_voter_leads_after_a_write_that_outlasts_its_lease() {
    let name = format!("samphireshift-group-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let store = Some(GroupStore::open(&folder).unwrap());
    let state = ReplicatedState::Control(ControlState::default());
    let options = Options { state, store, election_ms: 20, snapshot_entries: u64::MAX };
    let group = leading_group(options).await;
    for part in 0..3 {
        let evidence = "e".repeat(EVIDENCE_BYTES);
        group.submit(serialised(&ControlCommand::BlockPart { part, evidence })).await.unwrap();
        assert!(group.may_serve_reads(), "not at part {part}");
    }
    drop(group);
    std::fs::remove_dir_all(&folder).unwrap();
}
