//! A group of one voter: what its handle says at the moment a command is answered.

use bytes::Bytes;
use samphireshift::consensus::{Member, MemberId, Members, Timing};
use samphireshift::control::{ControlCommand, ControlState};
use samphireshift::event::Journal;
use samphireshift::group::{Group, GroupId, GroupOptions, ReplicatedState};
use samphireshift::name::{DataCentre, VmName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Size of a state whose snapshot takes long enough to be noticed.
const EVIDENCE_BYTES: usize = 64 << 20;
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

async fn leading_group() -> Group {
    let evidence = "e".repeat(EVIDENCE_BYTES);
    let mut state = ReplicatedState::Control(ControlState::default());
    state.apply(&serialised(&ControlCommand::BlockPart { part: 1, evidence })).unwrap();
    let member = only_voter();
    let group = Group::spawn(GroupOptions {
        id: GroupId::Control,
        member: member.id,
        timing: Timing {
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(50),
        },
        store: None,
        state,
        outbox: mpsc::unbounded_channel().0,
        journal: Arc::new(Journal::in_memory(member.vm.clone())),
        // The first command that is applied is followed by a snapshot.
        snapshot_entries: 3,
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
    let group = leading_group().await;
    for command in 0..COMMANDS {
        group.submit(serialised(&ControlCommand::ClearPart(command + 2))).await.unwrap();
        assert!(group.may_serve_reads(), "not at command {command}");
        let status = group.status();
        assert_eq!(status.commit_index, status.last_index, "at command {command}");
    }
}
