//! Deterministic simulation of a Raft cluster with injected faults: the seed determines message
//! order, clock rates and faults.

pub mod disk;
pub mod fault_rates;
pub mod invariant_checker;
pub mod pending_work;
pub mod simulated_node;

use disk::Disk;
pub use fault_rates::FaultRates;
use invariant_checker::InvariantChecker;
use pending_work::PendingWork;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::consensus::{
    Entry, Member, MemberId, Members, Message, Output, Payload, Raft, Timing,
};
use samphireshift::name::{DataCentre, VmName};
pub use simulated_node::SimulatedNode;
use std::collections::VecDeque;
use std::time::Duration;

pub const TIMING: Timing = Timing {
    election_timeout: Duration::from_millis(100),
    heartbeat_interval: Duration::from_millis(20),
};
const NODE_COUNT: usize = 5;
/// Splits the snapshots, which are eight bytes long, into three chunks.
const CHUNK_BYTES: usize = 3;
/// Steps within which a command must be committed once all faults have ended.
const MAX_HEAL_STEPS: usize = 6_000;
/// Probability per step, in thousandths, that a stopped node restarts.
const RESTART_PERMILLE: u32 = 100;

/// Simulated cluster, its network and its time.
pub struct Simulation {
    pub nodes: Vec<SimulatedNode>,
    pub now: Duration,
    pub checker: InvariantChecker,
    faults: FaultRates,
    rng: Pcg64Mcg,
    /// Messages sent but not yet delivered.
    in_flight: Vec<Message>,
    last_id: u64,
    proposal_count: u64,
}

impl Simulation {
    /// Bootstraps the cluster with one voter.
    pub fn new(seed: u64, faults: FaultRates) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Self {
            nodes: Vec::new(),
            now: Duration::from_secs(1),
            checker: InvariantChecker::default(),
            faults: FaultRates::default(),
            rng,
            in_flight: Vec::new(),
            last_id: 0,
            proposal_count: 0,
        };
        for _ in 0..NODE_COUNT {
            let node = simulation.new_node();
            simulation.nodes.push(node);
        }
        let first = Members { voters: vec![simulation.member(0)], learners: Vec::new() };
        simulation.raft(0).bootstrap(first);
        // A crash during bootstrap is not simulated: an operator who sees one bootstraps again.
        simulation.flush(0);
        if !faults.from_bootstrap {
            simulation.add_voters();
        }
        simulation.faults = faults;
        simulation
    }

    /// Runs random steps, then ends all faults and requires one more commit.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            self.check();
        }
        self.heal();
    }

    /// Runs without faults until there are three voters.
    fn add_voters(&mut self) {
        self.faults.change = 300;
        let has_three =
            |n: &SimulatedNode| n.raft.as_ref().is_some_and(|c| c.members().voters.len() >= 3);
        while !self.nodes.iter().any(has_three) {
            self.step();
            self.check();
        }
    }

    fn new_node(&mut self) -> SimulatedNode {
        self.last_id += 1;
        let clock_rate = self.rng.random_range(0.96..1.05);
        let disk = Disk::default();
        let mut node = SimulatedNode {
            id: MemberId(self.last_id),
            boot_count: 0,
            raft: None,
            disk,
            applied_index: 0,
            state_hash: 0,
            clock_rate,
            frozen_until: Duration::ZERO,
            isolated_until: Duration::ZERO,
            stalled_until: Duration::ZERO,
            pending: VecDeque::new(),
        };
        node.start(self.now, self.rng.random());
        node
    }

    fn raft(&mut self, i: usize) -> &mut Raft {
        self.nodes[i].raft.as_mut().expect("the node is running")
    }

    fn member(&self, i: usize) -> Member {
        let (vm, data_centre) = (VmName::new(format!("vm-{i}")), DataCentre::new("dc"));
        let address = ([127, 0, 0, 1], 1).into();
        Member { id: self.nodes[i].id, vm, data_centre, address, durable: true }
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn step(&mut self) {
        let i = self.rng.random_range(0..NODE_COUNT);
        let faults = self.faults;
        if self.nodes[i].raft.is_none() && self.chance(RESTART_PERMILLE) {
            let seed = self.rng.random();
            self.nodes[i].start(self.now, seed);
        }
        if self.chance(faults.crash) {
            self.crash(i);
        }
        if self.chance(faults.wipe) {
            self.wipe(i);
        }
        if self.chance(faults.freeze) {
            self.nodes[i].frozen_until = self.now + self.random_duration(300);
        }
        if self.chance(faults.isolate) {
            self.nodes[i].isolated_until = self.now + self.random_duration(400);
        }
        if faults.stall > 0 && self.chance(faults.stall) {
            self.nodes[i].stalled_until = self.now + self.random_duration(400);
        }
        if faults.stall_all > 0 && self.chance(faults.stall_all) {
            let until = self.now + self.random_duration(400);
            self.nodes.iter_mut().for_each(|node| node.stalled_until = until);
        }
        if self.is_running(i) {
            self.work_disk(i);
        }
        match self.rng.random_range(0..10) {
            0 => self.propose(i),
            1 | 2 => self.advance(),
            _ => self.deliver(),
        }
        if self.chance(faults.change) {
            self.change_members(i);
        }
        if self.chance(faults.compact) {
            self.compact(i);
        }
        if self.chance(faults.transfer) && self.is_running(i) {
            self.raft(i).transfer_leadership();
            self.flush(i);
        }
    }

    fn random_duration(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..max_ms))
    }

    /// Whether the node is started and not frozen.
    fn is_running(&self, i: usize) -> bool {
        self.nodes[i].raft.is_some() && self.nodes[i].frozen_until <= self.now
    }

    fn advance(&mut self) {
        let elapsed = self.random_duration(12);
        self.now += elapsed;
        for i in 0..NODE_COUNT {
            if self.is_running(i) {
                let clock = self.nodes[i].clock(self.now);
                self.raft(i).tick(clock);
                self.flush(i);
            }
        }
    }

    fn propose(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        self.proposal_count += 1;
        let command = self.proposal_count.to_le_bytes().to_vec();
        // Fails unless the node is the leader.
        let _ = self.raft(i).propose(command.into());
        if self.rng.random() {
            self.flush(i);
        }
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        // Delivers the oldest message in most cases, a random one in one case of four.
        let at = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(0..self.in_flight.len()),
            _ => 0,
        };
        let message = match self.chance(self.faults.duplicate) {
            true => self.in_flight[at].clone(),
            false => self.in_flight.remove(at),
        };
        let isolated = |id| self.nodes.iter().any(|n| n.id == id && n.isolated_until > self.now);
        if isolated(message.from) || isolated(message.to) || self.chance(self.faults.drop) {
            return;
        }
        let Some(i) = self.nodes.iter().position(|n| n.id == message.to) else { return };
        if self.nodes[i].raft.is_none() {
            return;
        }
        if !self.is_running(i) {
            self.in_flight.push(message);
            return;
        }
        let clock = self.nodes[i].clock(self.now);
        self.raft(i).step(clock, message);
        if self.rng.random_range(0..4) > 0 {
            self.flush(i);
        }
    }

    /// Handles the output of a node as the driver of a group does, and lets the disk work on it
    /// unless it stalls.
    fn flush(&mut self, i: usize) {
        loop {
            let Some(raft) = &mut self.nodes[i].raft else { return };
            let output = raft.take_output();
            if output.is_empty() {
                return;
            }
            let Output { immediate, snapshot, hard_state, entries, write, after_sync, committed } =
                output;
            self.checker.check_log_matching(&self.nodes[i], &entries);
            self.send(i, immediate);
            let node = &mut self.nodes[i];
            if let Some(snapshot) = &snapshot {
                (node.applied_index, node.state_hash) = disk::state_in(snapshot);
                self.checker.check_state(snapshot.index, node.state_hash);
            }
            let (number, installed) = (write, snapshot);
            let work = PendingWork::Write { number, hard_state, installed, entries, after_sync };
            node.pending.push_back(work);
            self.apply(i, committed);
            self.work_disk(i);
        }
    }

    fn apply(&mut self, i: usize, committed: Vec<Entry>) {
        let node = &mut self.nodes[i];
        for entry in committed {
            assert_eq!(
                entry.index,
                node.applied_index + 1,
                "a committed entry was skipped or repeated"
            );
            node.applied_index = entry.index;
            node.state_hash = self.checker.check_applied(node.state_hash, &entry);
        }
    }

    fn send(&mut self, i: usize, messages: Vec<Message>) {
        for message in &messages {
            self.checker.check_promise(&self.nodes[i], message);
        }
        self.in_flight.extend(messages);
    }

    /// Lets the disk of a node do what is queued, unless it stalls. A crash may happen before a
    /// sync, or between the sync and the messages that depend on it.
    fn work_disk(&mut self, i: usize) {
        while self.nodes[i].stalled_until <= self.now {
            let node = &mut self.nodes[i];
            let Some(work) = node.pending.pop_front() else { return };
            let (number, hard_state, installed, entries, after_sync) = match work {
                PendingWork::Compact(snapshot) => {
                    node.disk.compact(snapshot);
                    continue;
                }
                PendingWork::Write { number, hard_state, installed, entries, after_sync } => {
                    (number, hard_state, installed, entries, after_sync)
                }
            };
            if self.chance(self.faults.crash / 2) {
                return self.crash(i);
            }
            self.nodes[i].disk.write(hard_state, installed.as_ref(), &entries);
            if self.chance(self.faults.crash / 2) {
                return self.crash(i);
            }
            if let Some(number) = number {
                self.raft(i).on_persisted(number);
            }
            self.send(i, after_sync);
        }
    }

    fn crash(&mut self, i: usize) {
        self.nodes[i].crash();
    }

    /// Replaces a node by a new member with an empty disk. At most one voter is lost at a time: not
    /// before the last one lost has left every configuration.
    fn wipe(&mut self, i: usize) {
        let present = |id| self.nodes.iter().any(|n| n.id == id);
        let mut configurations = self.nodes.iter().map(|n| n.disk.latest_members());
        if !configurations.all(|m| m.voters.iter().all(|v| present(v.id)) && m.voters.len() != 2) {
            return;
        }
        let newest =
            self.nodes.iter().map(|n| n.disk.latest_members()).max_by_key(|m| m.voters.len());
        if newest.is_some_and(|m| m.voters.len() >= 3) && self.voters_know_three_voters() {
            self.nodes[i] = self.new_node();
        }
    }

    /// Whether the configuration on every disk has at least three voters or does not list the owner
    /// of the disk as a voter.
    fn voters_know_three_voters(&self) -> bool {
        self.nodes.iter().all(|n| {
            let members = n.disk.latest_members();
            !members.is_voter(n.id) || members.voters.len() >= 3
        })
    }

    fn change_members(&mut self, i: usize) {
        if !self.is_running(i) || !self.raft(i).is_leader() {
            return;
        }
        let members = self.raft(i).members().clone();
        let other = self.rng.random_range(0..NODE_COUNT);
        let gone = |m: &&Member| !self.nodes.iter().any(|n| n.id == m.id);
        let mut next = members.clone();
        if let Some(lost) =
            members.voters.iter().find(gone).filter(|_| self.now.as_millis().is_multiple_of(2))
        {
            next.voters.retain(|m| m.id != lost.id);
        } else if next.learners.iter().any(|m| m.id == self.nodes[other].id) {
            let raft = self.nodes[i].raft.as_ref().expect("the node is running");
            let matched = raft.progress(self.nodes[other].id).map_or(0, |p| p.match_index);
            if matched < raft.log().last_index() {
                return;
            }
            next.learners.retain(|m| m.id != self.nodes[other].id);
            next.voters.push(self.member(other));
        } else if !next.contains(self.nodes[other].id) {
            next.learners = vec![self.member(other)];
        } else if next.voters.len() > 3 {
            next.voters.retain(|m| m.id != self.nodes[other].id);
        }
        // Fails while an earlier change is pending.
        let _ = self.raft(i).change_members(next);
        self.flush(i);
    }

    fn compact(&mut self, i: usize) {
        let Some(raft) = &self.nodes[i].raft else { return };
        if self.nodes[i].applied_index <= raft.log().snapshot_index() {
            return;
        }
        self.flush(i);
        let node = &mut self.nodes[i];
        let Some(raft) = &mut node.raft else { return };
        if node.applied_index > raft.persisted_index() {
            return;
        }
        let data = node.state_hash.to_le_bytes().to_vec();
        let snapshot = raft.snapshot_at(node.applied_index, data.into());
        raft.compact(snapshot.clone());
        node.pending.push_back(PendingWork::Compact(snapshot));
        self.work_disk(i);
    }

    pub fn check(&mut self) {
        self.checker.check_leaders(&self.nodes, self.now);
    }

    /// Ends all faults and requires that one more command is committed within `MAX_HEAL_STEPS`.
    fn heal(&mut self) {
        self.faults = FaultRates::default();
        for i in 0..NODE_COUNT {
            self.nodes[i].frozen_until = Duration::ZERO;
            self.nodes[i].isolated_until = Duration::ZERO;
            self.nodes[i].stalled_until = Duration::ZERO;
            if self.nodes[i].raft.is_none() {
                self.nodes[i].start(self.now, self.rng.random());
            }
        }
        let before = self.checker.command_count();
        for _ in 0..MAX_HEAL_STEPS {
            match self.rng.random_range(0..40) {
                0 => self.advance(),
                1 => {
                    let i = self.rng.random_range(0..NODE_COUNT);
                    self.propose(i);
                }
                _ => self.deliver(),
            }
            (0..NODE_COUNT).for_each(|i| self.work_disk(i));
            (0..NODE_COUNT).for_each(|i| self.flush(i));
            self.check();
            if self.checker.command_count() > before {
                return;
            }
        }
        panic!("no command was committed after all faults had ended");
    }
}

/// Whether the payload of an entry is a command.
pub fn is_command(payload: &Payload) -> bool {
    matches!(payload, Payload::Command(_))
}
