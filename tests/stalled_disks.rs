//! Groups of three voters in one process whose disks stall, each on its own or all at once.

use bytes::Bytes;
use rstest::rstest;
use samphireshift::consensus::{Member, MemberId, Members, Timing};
use samphireshift::control::{ControlCommand, ControlState};
use samphireshift::event::Journal;
use samphireshift::group::{Envelope, Group, GroupId, GroupOptions, ReplicatedState, since_start};
use samphireshift::name::{DataCentre, VmName};
use samphireshift::storage::{GroupStore, LogWriter};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// As in deploy/settings.ini.
const TIMING: Timing = Timing {
    election_timeout: Duration::from_millis(600),
    heartbeat_interval: Duration::from_millis(150),
};
const VOTERS: u64 = 3;
const POLL: Duration = Duration::from_millis(5);
/// More than the time after which a leader steps down that hears of no voter.
const STALL: Duration = Duration::from_secs(2);

/// Until when the syncs of a disk wait.
#[derive(Debug, Clone)]
struct Stall(Arc<Mutex<Instant>>);

impl Stall {
    fn none() -> Self {
        Self(Arc::new(Mutex::new(Instant::now())))
    }

    fn begin(&self, length: Duration) {
        *self.0.lock().unwrap() = Instant::now() + length;
    }

    fn left(&self) -> Duration {
        self.0.lock().unwrap().saturating_duration_since(Instant::now())
    }
}

/// Syncs as fast as the stall allows, however busy this machine's own disk is: it keeps nothing.
#[derive(Debug)]
struct StallingWriter(Stall);

impl LogWriter for StallingWriter {
    fn append(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        while !self.0.left().is_zero() {
            std::thread::sleep(POLL.min(self.0.left()));
        }
        Ok(())
    }
}

/// Three voters with a disk each; the first one to lead is voter 0.
struct Voters {
    groups: Vec<Arc<Group>>,
    stalls: Vec<Stall>,
    folder: PathBuf,
}

impl Voters {
    async fn start() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("samphireshift-stalls-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let (outbox, posted) = mpsc::unbounded_channel();
        let stalls: Vec<_> = (0..VOTERS).map(|_| Stall::none()).collect();
        let open = |id| open_voter(id, &folder, &stalls[id as usize], &outbox);
        let groups: Vec<_> = (0..VOTERS).map(open).collect();
        tokio::spawn(carry(posted, groups.clone()));
        let voters = Self { groups, stalls, folder };
        voters.found().await;
        voters
    }

    async fn found(&self) {
        let leader = &self.groups[0];
        leader.bootstrap(Members { voters: vec![member(0)], learners: Vec::new() });
        for id in 1..VOTERS {
            let voters = (0..id).map(member).collect();
            change(leader, Members { voters, learners: vec![member(id)] }).await;
            let voters = (0..=id).map(member).collect();
            change(leader, Members { voters, learners: Vec::new() }).await;
        }
        let followed = |group: &Arc<Group>| {
            let status = group.status();
            status.commit_index == leader.status().last_index && status.members_committed
        };
        while !self.groups.iter().all(followed) || !leader.may_serve_reads() {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Commits a command through the voter.
    async fn commit(&self, id: usize, part: u64) {
        let command = ControlCommand::ClearPart(part);
        let command: Bytes = postcard::to_stdvec(&command).unwrap().into();
        let outcome = self.groups[id].submit(command).await;
        assert!(outcome.is_ok(), "command {part}: {outcome:?}");
    }
}

impl Drop for Voters {
    fn drop(&mut self) {
        self.groups.iter().for_each(|group| group.stop());
        // Best effort: a leftover temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn member(id: u64) -> Member {
    Member {
        id: MemberId(id),
        vm: VmName::new(format!("voter-{id}")),
        data_centre: DataCentre::new("dc"),
        address: ([127, 0, 0, 1], 1).into(),
        durable: true,
    }
}

fn open_voter(
    id: u64,
    folder: &Path,
    stall: &Stall,
    outbox: &mpsc::UnboundedSender<Envelope>,
) -> Arc<Group> {
    let folder = folder.join(id.to_string());
    let (mut store, recovered) = GroupStore::open(&folder).unwrap();
    store.set_writer(Box::new(StallingWriter(stall.clone())));
    Arc::new(Group::spawn(GroupOptions {
        id: GroupId::Control,
        member: MemberId(id),
        timing: TIMING,
        store: Some((store, recovered)),
        state: ReplicatedState::Control(ControlState::default()),
        outbox: outbox.clone(),
        journal: Arc::new(Journal::in_memory(member(id).vm)),
        snapshot_entries: u64::MAX,
    }))
}

async fn carry(mut posted: mpsc::UnboundedReceiver<Envelope>, groups: Vec<Arc<Group>>) {
    while let Some(envelope) = posted.recv().await {
        groups[envelope.message.to.0 as usize].step(envelope.message);
    }
}

async fn change(leader: &Group, members: Members) {
    while leader.change_members(members.clone()).await.is_err() {
        tokio::time::sleep(POLL).await;
    }
}

/// Guards against a group that elects anew, or waits, because the disk of one voter stalls.
#[rstest]
#[case::leader(0)]
#[case::follower(2)]
#[tokio::test(flavor = "multi_thread")]
async fn commits_go_on_while_one_disk_stalls(#[case] stalled: usize) {
    let voters = Voters::start().await;
    let term = voters.groups[0].status().term;
    voters.stalls[stalled].begin(STALL);
    let mut commits = 0;
    while voters.stalls[stalled].left() > TIMING.election_timeout {
        voters.commit(0, commits).await;
        commits += 1;
        assert!(!voters.stalls[stalled].left().is_zero(), "commit {commits} waited for the stall");
        assert!(voters.groups[0].may_serve_reads(), "no lease after commit {commits}");
        tokio::time::sleep(POLL).await;
    }
    assert!(voters.groups.iter().all(|group| group.status().term == term), "elected anew");
    // What waited for the disk counts once it is back.
    let last = voters.groups[0].status().last_index;
    let deadline = Instant::now() + STALL * 2;
    while !voters.groups.iter().all(|group| group.status().commit_index >= last) {
        assert!(Instant::now() < deadline, "a voter has not caught up");
        tokio::time::sleep(POLL).await;
    }
    assert!(voters.groups.iter().all(|group| group.status().term == term), "elected anew");
}

/// Guards against an election because all disks stall at once, as when a machine writes back a lot.
#[tokio::test(flavor = "multi_thread")]
async fn a_stall_of_all_disks_delays_commits_and_elects_no_one() {
    let voters = Voters::start().await;
    let term = voters.groups[0].status().term;
    for round in 0..2 {
        voters.stalls.iter().for_each(|stall| stall.begin(STALL));
        voters.commit(0, round).await;
        assert!(voters.stalls.iter().any(|stall| stall.left().is_zero()), "committed unsynced");
        assert!(voters.groups[0].may_serve_reads(), "no lease after the stall");
    }
    assert!(voters.groups.iter().all(|group| group.status().term == term), "elected anew");
}

/// Guards against a leader that goes on for good without a disk, and keeps all in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_disk_stays_away_hands_over() {
    let voters = Voters::start().await;
    voters.stalls[0].begin(TIMING.election_timeout * 20);
    voters.commit(0, 0).await;
    while !voters.groups[1..].iter().any(|group| group.may_serve_reads()) {
        assert!(!voters.stalls[0].left().is_zero(), "nobody took over during the stall");
        tokio::time::sleep(POLL).await;
    }
    voters.stalls[0].begin(Duration::ZERO);
}

/// Guards against a voter whose disk is gone for good, and that is taken for a sound one.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_whose_disk_stays_away_falls_silent() {
    let voters = Voters::start().await;
    voters.stalls[2].begin(TIMING.election_timeout * 20);
    voters.commit(0, 0).await;
    let heard = || {
        let contacts = voters.groups[0].status().last_contacts;
        contacts.into_iter().find(|(id, _)| *id == MemberId(2)).map(|(_, at)| at)
    };
    while heard().is_some_and(|at| since_start() < at + TIMING.election_timeout * 2) {
        assert!(!voters.stalls[2].left().is_zero(), "heard during the whole stall");
        tokio::time::sleep(POLL).await;
    }
    assert!(voters.groups[0].may_serve_reads(), "the other voters suffice");
    voters.stalls[2].begin(Duration::ZERO);
}
