//! Commits a second and their latency, against concurrency and number of groups, with three members
//! of each group in one process, real disks and channels in place of a network; then restart times.
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
const MEMBERS: u64 = 3;
const RUN_FOR: Duration = Duration::from_secs(2);
const SNAPSHOT_EVERY: u64 = 4_096;

type Routes = Arc<Mutex<BTreeMap<(GroupId, MemberId), Arc<Group>>>>;

#[tokio::main]
async fn main() {
    let dir = std::env::temp_dir().join(format!("samphireshift-bench-{}", std::process::id()));
    println!("groups  concurrency  commits/s  p50 ms  p99 ms");
    for groups in [1, 2, 4, 8] {
        for concurrency in [1, 16, 256, 2_048] {
            measure(&dir, groups, concurrency).await;
        }
    }
    println!("records  restart ms");
    for records in [1_000, 10_000, 100_000] {
        restart(&dir, records).await;
    }
    // A folder that stays behind harms nobody.
    let _ = std::fs::remove_dir_all(&dir);
}

async fn measure(dir: &Path, groups: u16, concurrency: usize) {
    let folder = dir.join(format!("{groups}-{concurrency}"));
    let mut leaders = Vec::new();
    for number in 0..groups {
        leaders.push(start(&folder, GroupId::Ledger(number)).await);
    }
    let each = (concurrency / usize::from(groups)).max(1);
    let until = Instant::now() + RUN_FOR;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for cluster in &leaders {
        for _ in 0..each {
            tasks.push(tokio::spawn(submit(cluster.leader.clone(), until)));
        }
    }
    let mut all = Histogram::<u64>::new(3).expect("three digits are allowed");
    for task in tasks {
        for micros in task.await.expect("a task does not panic") {
            all.record(micros).expect("the histogram grows");
        }
    }
    let rate = all.len() as f64 / started.elapsed().as_secs_f64();
    let ms = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{groups:6}  {:11}  {rate:9.0}  {:6.2}  {:6.2}",
        each * usize::from(groups),
        ms(0.5),
        ms(0.99)
    );
    for cluster in leaders {
        cluster.members.iter().for_each(|group| group.stop());
    }
}

async fn submit(group: Arc<Group>, until: Instant) -> Vec<u64> {
    let mut micros = Vec::new();
    while Instant::now() < until {
        let sent = Instant::now();
        if group.submit(command()).await.is_ok() {
            micros.push(sent.elapsed().as_micros() as u64);
        }
    }
    micros
}

fn command() -> Bytes {
    postcard::to_stdvec(&ControlCommand::IssueFence).expect("commands always serialise").into()
}

/// The members of one running group.
struct Running {
    leader: Arc<Group>,
    members: Vec<Arc<Group>>,
}

async fn start(folder: &Path, id: GroupId) -> Running {
    let routes = Routes::default();
    let (outbox, mut posted) = mpsc::unbounded_channel::<Envelope>();
    let members: Vec<_> = (1..=MEMBERS).map(|n| open(folder, id, MemberId(n), &outbox)).collect();
    for group in &members {
        routes.lock().expect("route lock").insert((id, group.member()), group.clone());
    }
    tokio::spawn(async move {
        while let Some(Envelope { group, message }) = posted.recv().await {
            let to = routes.lock().expect("route lock").get(&(group, message.to)).cloned();
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
    for n in 2..=MEMBERS {
        let voters = (1..n).map(voter).collect();
        await_change(&leader, Members { voters, learners: vec![voter(n)] }).await;
        await_change(
            &leader,
            Members { voters: (1..=n).map(voter).collect(), learners: Vec::new() },
        )
        .await;
    }
    Running { leader, members }
}

async fn await_change(leader: &Group, members: Members) {
    while leader.change_members(members.clone()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn open(
    folder: &Path,
    id: GroupId,
    member: MemberId,
    outbox: &mpsc::UnboundedSender<Envelope>,
) -> Arc<Group> {
    let path = place(folder, id, member);
    let store = GroupStore::open(&path).expect("a fresh folder");
    Arc::new(Group::spawn(GroupOptions {
        id,
        member,
        timing: TIMING,
        store: Some(store),
        state: ReplicatedState::Control(ControlState::default()),
        outbox: outbox.clone(),
        journal: Arc::new(Journal::in_memory(VmName::new("bench"))),
        snapshot_entries: SNAPSHOT_EVERY,
    }))
}

fn place(folder: &Path, id: GroupId, member: MemberId) -> PathBuf {
    folder.join(id.to_string()).join(member.to_string())
}

async fn restart(dir: &Path, records: u64) {
    let folder = dir.join(format!("restart-{records}"));
    let id = GroupId::Ledger(0);
    let running = start(&folder, id).await;
    let batch = 500;
    for _ in 0..records / batch {
        let sent: Vec<_> = (0..batch).map(|_| running.leader.submit(command())).collect();
        futures::future::join_all(sent).await;
    }
    running.members.iter().for_each(|group| group.stop());
    let started = Instant::now();
    let (outbox, _posted) = mpsc::unbounded_channel();
    let group = open(&folder, id, MemberId(1), &outbox);
    println!("{records:7}  {:10.1}", started.elapsed().as_secs_f64() * 1e3);
    group.stop();
}
