//! Voters that are told to stop while others can take their place, and a disk that is lost right after.
//! Real daemon processes.

mod env;

use env::fleet::await_until;
use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Longer than any test takes: nothing is replaced because it is silent.
const REPLACE_AFTER: &str = "5m";
/// Within what a voter that is told to stop must end, successor or not.
const STOP_TIME: Duration = Duration::from_secs(8);

/// A voter of the control group.
#[derive(Debug, Clone, Copy)]
enum Chosen {
    Leader,
    Follower,
}

use Chosen::{Follower, Leader};

#[derive(Debug)]
struct Case {
    daemons: usize,
    /// The voters that are told to stop, one after the other; they stay away.
    leaving: &'static [Chosen],
    /// The voter that loses its disk right after.
    wiped: Chosen,
}

/// The daemons that still run, and their view of the control group.
struct Remaining {
    fleet: Fleet,
    gone: Vec<usize>,
}

impl Remaining {
    async fn start(daemons: usize) -> Self {
        let mut spec = FleetSpec { durable: vec![true; daemons], ..FleetSpec::default() };
        spec.settings.push(("consensus", "replace_after", REPLACE_AFTER));
        let fleet = Fleet::start(&spec).await;
        fleet.apply(&ticket::initial(1)).await;
        let remaining = Self { fleet, gone: Vec::new() };
        await_until("three voters", async || remaining.voters().await.len() == 3).await;
        remaining
    }

    /// The index of a daemon that runs.
    fn running(&self) -> usize {
        let mut all = 0..self.fleet.daemons.len();
        all.find(|i| !self.gone.contains(i)).expect("a daemon runs")
    }

    /// The voters of the control group as its leader sees them, that one first; none without a leader
    /// or beside learners.
    async fn voters(&self) -> Vec<usize> {
        let status = self.fleet.operate(self.running(), "GET", "/v1/status", &Value::Null).await;
        let index = |name: &Value| {
            let found = self.fleet.daemons.iter().position(|daemon| *name == daemon.name.as_str());
            found.expect("a daemon of the fleet")
        };
        for daemon in status.json()["daemons"].as_array().into_iter().flatten() {
            for group in daemon["groups"].as_array().into_iter().flatten() {
                let is_whole = group["learners"].as_array().is_some_and(Vec::is_empty);
                if group["group"] == "Control" && group["leading"] == true && is_whole {
                    let leader = index(&daemon["vm"]);
                    let voters = group["voters"].as_array().into_iter().flatten().map(index);
                    let others = voters.filter(|voter| *voter != leader);
                    return std::iter::once(leader).chain(others).collect();
                }
            }
        }
        Vec::new()
    }

    async fn choose(&self, who: Chosen) -> usize {
        await_until("a leader", async || !self.voters().await.is_empty()).await;
        let mut voters = self.voters().await;
        voters.retain(|voter| !self.gone.contains(voter));
        match who {
            Leader => voters[0],
            Follower => voters[1],
        }
    }

    /// Tells a daemon to stop and waits until it has ended; returns how long that took.
    async fn stop(&mut self, i: usize) -> Duration {
        let started = Instant::now();
        self.fleet.daemons[i].process.signal("TERM");
        while self.fleet.daemons[i].process.is_running() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert!(started.elapsed() < STOP_TIME, "daemon {i} does not end");
        }
        self.gone.push(i);
        started.elapsed()
    }

    /// Kills a daemon, empties its data folder and starts it again.
    fn wipe(&mut self, i: usize) {
        self.fleet.daemons[i].process.kill();
        let folder = self.fleet.daemons[i].folder.as_ref().expect("it has a data folder");
        std::fs::remove_dir_all(folder).expect("the folder can be removed");
        self.fleet.restart(i);
    }

    /// Waits until a new ticket is accepted, and the first one is still there.
    async fn assert_sound(&self) {
        await_until("a new ticket is accepted", async || {
            let ticket = ticket::initial(2);
            let answer = self.fleet.operate(self.running(), "POST", "/v1/tickets", &ticket).await;
            answer.status == 200
        })
        .await;
        let kept = self.fleet.operate(self.running(), "GET", "/v1/tickets/1", &Value::Null).await;
        assert_eq!(kept.status, 200, "{}", kept.text());
    }
}

/// Guards against a control group without a leader, for good (CONFIG): a voter that was told to stop and
/// did not come back stayed one until it had been silent for long, though its successor was there.
#[rstest]
#[case::a_follower(Case { daemons: 4, leaving: &[Follower], wiped: Follower })]
#[case::a_follower_then_the_leader_is_wiped(Case { daemons: 4, leaving: &[Follower], wiped: Leader })]
#[case::the_leader(Case { daemons: 4, leaving: &[Leader], wiped: Follower })]
#[case::the_leader_then_the_next_is_wiped(Case { daemons: 4, leaving: &[Leader], wiped: Leader })]
#[case::two_in_a_row(Case { daemons: 5, leaving: &[Follower, Follower], wiped: Follower })]
#[case::two_leaders_in_a_row(Case { daemons: 5, leaving: &[Leader, Leader], wiped: Leader })]
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_may_be_lost_right_after_a_planned_removal(#[case] case: Case) {
    let mut fleet = Remaining::start(case.daemons).await;
    for who in case.leaving {
        let leaving = fleet.choose(*who).await;
        fleet.stop(leaving).await;
    }
    let wiped = fleet.choose(case.wiped).await;
    fleet.wipe(wiped);
    fleet.assert_sound().await;
}

/// Both end: where nobody can take the place of a voter, it does not wait for long.
#[tokio::test(flavor = "multi_thread")]
async fn a_voter_without_a_successor_ends_soon_and_comes_back() {
    let mut fleet = Remaining::start(3).await;
    let leaving = fleet.choose(Follower).await;
    let took = fleet.stop(leaving).await;
    assert!(took < Duration::from_secs(4), "{took:?}");
    fleet.fleet.restart(leaving);
    fleet.gone.clear();
    await_until("three voters", async || fleet.voters().await.len() == 3).await;
    let wiped = fleet.choose(Follower).await;
    fleet.wipe(wiped);
    fleet.assert_sound().await;
}

/// A voter that was replaced because it stopped comes back as one that can take another's place.
#[tokio::test(flavor = "multi_thread")]
async fn voters_restarted_in_turn_take_each_others_place() {
    let mut fleet = Remaining::start(4).await;
    for _ in 0..4 {
        let leaving = fleet.choose(Follower).await;
        fleet.stop(leaving).await;
        assert!(!fleet.voters().await.contains(&leaving), "{leaving} is still a voter");
        fleet.fleet.restart(leaving);
        fleet.gone.clear();
        fleet.fleet.await_ready().await;
    }
    let wiped = fleet.choose(Leader).await;
    fleet.wipe(wiped);
    fleet.assert_sound().await;
}
