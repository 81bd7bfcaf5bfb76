//! Measures commit throughput and latency for several numbers of groups and concurrent submitters,
//! then the time to open a group again after a restart. The three members of each group run in one
//! process; they write to real disks and exchange messages over channels instead of a network.
//!
//! `cargo run --release --example bench_commits`

use bytes::Bytes;
use hdrhistogram::Histogram;
use samphireshift::consensus::{Member, MemberId, Members, Timing};
use samphireshift::control::{ControlCommand, ControlState};
use samphireshift::event::Journal;
use samphireshift::group::{Envelope, Group, GroupId, GroupOptions, ReplicatedState};
use samphireshift::name::{DataCentre, VmName};
use samphireshift::storage::GroupStore;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

const TIMING: Timing = Timing {
    election_timeout: Duration::from_millis(600),
    heartbeat_interval: Duration::from_millis(100),
};
const MEMBER_COUNT: u64 = 3;
/// Duration of each throughput measurement.
const RUN_DURATION: Duration = Duration::from_secs(2);
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Members by group and ID, to deliver messages to.
type GroupRoutes = Arc<Mutex<BTreeMap<(GroupId, MemberId), Arc<Group>>>>;

#[tokio::main]
async fn main() {
    let dir = std::env::temp_dir().join(format!("samphireshift-bench-{}", std::process::id()));
    println!("groups  concurrency  commits/s  p50 ms  p99 ms");
    for groups in [1, 2, 4, 8] {
        for concurrency in [1, 16, 256, 2_048] {
            measure_throughput(&dir, groups, concurrency).await;
        }
    }
    println!("records  restart ms");
    for records in [1_000, 10_000, 100_000] {
        measure_restart(&dir, records).await;
    }
    // Best effort: a leftover temporary folder does no harm.
    let _ = std::fs::remove_dir_all(&dir);
}

async fn measure_throughput(dir: &Path, groups: u16, concurrency: usize) {
    let folder = dir.join(format!("{groups}-{concurrency}"));
    let mut running_groups = Vec::new();
    for number in 0..groups {
        running_groups.push(start_group(&folder, GroupId::Ledger(number)).await);
    }
    let submitters = (concurrency / usize::from(groups)).max(1);
    let deadline = Instant::now() + RUN_DURATION;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for running_group in &running_groups {
        for _ in 0..submitters {
            tasks.push(tokio::spawn(submit(running_group.leader.clone(), deadline)));
        }
    }
    let mut latencies = Histogram::<u64>::new(3).expect("3 significant digits are valid");
    for task in tasks {
        for micros in task.await.expect("the submit task panicked") {
            latencies.record(micros).expect("an auto-resizing histogram records any value");
        }
    }
    let rate = latencies.len() as f64 / started.elapsed().as_secs_f64();
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{groups:6}  {:11}  {rate:9.0}  {:6.2}  {:6.2}",
        submitters * usize::from(groups),
        ms(0.5),
        ms(0.99)
    );
    for running_group in running_groups {
        running_group.members.iter().for_each(|group| group.stop());
    }
}

/// Submits commands one at a time until the deadline; returns the latency of each commit, in µs.
async fn submit(group: Arc<Group>, deadline: Instant) -> Vec<u64> {
    let mut micros = Vec::new();
    while Instant::now() < deadline {
        let sent_at = Instant::now();
        if group.submit(command()).await.is_ok() {
            micros.push(sent_at.elapsed().as_micros() as u64);
        }
    }
    micros
}

fn command() -> Bytes {
    postcard::to_stdvec(&ControlCommand::IssueFence).expect("commands always serialise").into()
}

/// All members of one running group.
struct RunningGroup {
    leader: Arc<Group>,
    members: Vec<Arc<Group>>,
}

/// Starts a group on its first member and adds the others, each as a learner before it votes.
async fn start_group(folder: &Path, id: GroupId) -> RunningGroup {
    let routes = GroupRoutes::default();
    let (outbox, mut inbox) = mpsc::unbounded_channel::<Envelope>();
    let members: Vec<_> =
        (1..=MEMBER_COUNT).map(|n| open_member(folder, id, MemberId(n), &outbox)).collect();
    for group in &members {
        routes.lock().expect("route lock is poisoned").insert((id, group.member()), group.clone());
    }
    tokio::spawn(async move {
        while let Some(Envelope { group, message }) = inbox.recv().await {
            let to =
                routes.lock().expect("route lock is poisoned").get(&(group, message.to)).cloned();
            if let Some(to) = to {
                to.step(message);
            }
        }
    });
    let voter = |n| Member {
        id: MemberId(n),
        vm: VmName::new(format!("entry-{n}")),
        data_centre: DataCentre::new("dc-0"),
        address: ([127, 0, 0, 1], 1).into(),
        durable: true,
    };
    let leader = members[0].clone();
    leader.bootstrap(Members { voters: vec![voter(1)], learners: Vec::new() });
    for n in 2..=MEMBER_COUNT {
        let voters = (1..n).map(voter).collect();
        change_members(&leader, Members { voters, learners: vec![voter(n)] }).await;
        change_members(
            &leader,
            Members { voters: (1..=n).map(voter).collect(), learners: Vec::new() },
        )
        .await;
    }
    RunningGroup { leader, members }
}

/// Retries a membership change until it succeeds.
async fn change_members(leader: &Group, members: Members) {
    while leader.change_members(members.clone()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn open_member(
    folder: &Path,
    id: GroupId,
    member: MemberId,
    outbox: &mpsc::UnboundedSender<Envelope>,
) -> Arc<Group> {
    let path = member_folder(folder, id, member);
    let store = GroupStore::open(&path).expect("failed to open the group store");
    Arc::new(Group::spawn(GroupOptions {
        id,
        member,
        timing: TIMING,
        store: Some(store),
        state: ReplicatedState::Control(ControlState::default()),
        outbox: outbox.clone(),
        journal: Arc::new(Journal::in_memory(VmName::new("bench"))),
        snapshot_entries: SNAPSHOT_ENTRIES,
    }))
}

fn member_folder(folder: &Path, id: GroupId, member: MemberId) -> PathBuf {
    folder.join(id.to_string()).join(member.to_string())
}

/// Commits `records` commands, stops the group, and prints the time to open its first member again.
async fn measure_restart(dir: &Path, records: u64) {
    let folder = dir.join(format!("restart-{records}"));
    let id = GroupId::Ledger(0);
    let running = start_group(&folder, id).await;
    let batch = 500;
    for _ in 0..records / batch {
        let submissions: Vec<_> = (0..batch).map(|_| running.leader.submit(command())).collect();
        futures::future::join_all(submissions).await;
    }
    running.members.iter().for_each(|group| group.stop());
    let started = Instant::now();
    let (outbox, _posted) = mpsc::unbounded_channel();
    let group = open_member(&folder, id, MemberId(1), &outbox);
    println!("{records:7}  {:10.1}", started.elapsed().as_secs_f64() * 1e3);
    group.stop();
}
