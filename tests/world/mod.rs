//! Several consensus members, a bag of messages and skewed clocks, driven by one seed.

pub mod checker;
pub mod disk;

use checker::Checker;
use disk::Disk;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::consensus::{Member, MemberId, Members, Message, Output, Payload, Raft, Timing};
use samphireshift::name::{DataCentre, VmName};
use std::time::Duration;

pub const TIMING: Timing = Timing {
    election_timeout: Duration::from_millis(100),
    heartbeat_interval: Duration::from_millis(20),
};
const NODES: usize = 5;
/// Snapshots of eight bytes travel in three parts.
const PART_BYTES: usize = 3;
const HEAL_STEPS: usize = 6_000;
/// How likely a member that is down starts again, in thousandths of its steps.
const BOOT: u32 = 100;

/// How likely each fault is, in thousandths of the steps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub drop: u32,
    pub repeat: u32,
    pub crash: u32,
    pub wipe: u32,
    pub freeze: u32,
    pub cut: u32,
    pub change: u32,
    pub compact: u32,
    pub yields: u32,
    /// Whether faults begin with the first voter, before there are three.
    pub early: bool,
}

pub struct Node {
    pub id: MemberId,
    pub boot: u64,
    pub core: Option<Raft>,
    pub disk: Disk,
    pub applied: u64,
    pub state: u64,
    rate: f64,
    frozen: Duration,
    cut: Duration,
}

impl Node {
    pub fn clock(&self, now: Duration) -> Duration {
        now.mul_f64(self.rate)
    }

    fn boot(&mut self, now: Duration, seed: u64) {
        self.boot += 1;
        (self.applied, self.state) = self.disk.state();
        let (hard, log) = self.disk.recover();
        let mut core = Raft::new(self.id, TIMING, seed, self.clock(now), hard, log);
        core.set_chunk_bytes(PART_BYTES);
        self.core = Some(core);
    }
}

pub struct World {
    pub nodes: Vec<Node>,
    pub now: Duration,
    pub checker: Checker,
    faults: Faults,
    rng: Pcg64Mcg,
    bag: Vec<Message>,
    ids: u64,
    proposals: u64,
}

impl World {
    pub fn open(seed: u64, faults: Faults) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = Self {
            nodes: Vec::new(),
            now: Duration::from_secs(1),
            checker: Checker::default(),
            faults: Faults::default(),
            rng,
            bag: Vec::new(),
            ids: 0,
            proposals: 0,
        };
        for _ in 0..NODES {
            let node = world.fresh();
            world.nodes.push(node);
        }
        let first = Members { voters: vec![world.member(0)], learners: Vec::new() };
        world.core(0).bootstrap(first);
        // An operator who sees a founding crash founds anew, so it is not part of a run.
        world.flush(0);
        if !faults.early {
            world.settle();
        }
        world.faults = faults;
        world
    }

    /// Takes random steps, then heals everything and asks for one more commit.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            self.check();
        }
        self.heal();
    }

    /// Runs without faults until there are three voters.
    fn settle(&mut self) {
        self.faults.change = 300;
        let settled = |n: &Node| n.core.as_ref().is_some_and(|c| c.members().voters.len() >= 3);
        while !self.nodes.iter().any(settled) {
            self.step();
            self.check();
        }
    }

    fn fresh(&mut self) -> Node {
        self.ids += 1;
        let rate = self.rng.random_range(0.96..1.05);
        let disk = Disk::default();
        let mut node = Node {
            id: MemberId(self.ids),
            boot: 0,
            core: None,
            disk,
            applied: 0,
            state: 0,
            rate,
            frozen: Duration::ZERO,
            cut: Duration::ZERO,
        };
        node.boot(self.now, self.rng.random());
        node
    }

    fn core(&mut self, i: usize) -> &mut Raft {
        self.nodes[i].core.as_mut().expect("it runs")
    }

    fn member(&self, i: usize) -> Member {
        let (vm, data_centre) = (VmName::new(format!("vm-{i}")), DataCentre::new("dc"));
        let address = ([127, 0, 0, 1], 1).into();
        Member { id: self.nodes[i].id, vm, data_centre, address, durable: true }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn step(&mut self) {
        let i = self.rng.random_range(0..NODES);
        let faults = self.faults;
        if self.nodes[i].core.is_none() && self.chance(BOOT) {
            let seed = self.rng.random();
            self.nodes[i].boot(self.now, seed);
        }
        if self.chance(faults.crash) {
            self.nodes[i].core = None;
        }
        if self.chance(faults.wipe) {
            self.wipe(i);
        }
        if self.chance(faults.freeze) {
            self.nodes[i].frozen = self.now + self.span(300);
        }
        if self.chance(faults.cut) {
            self.nodes[i].cut = self.now + self.span(400);
        }
        match self.rng.random_range(0..10) {
            0 => self.propose(i),
            1 | 2 => self.advance(),
            _ => self.deliver(),
        }
        if self.chance(faults.change) {
            self.change(i);
        }
        if self.chance(faults.compact) {
            self.compact(i);
        }
        if self.chance(faults.yields) && self.awake(i) {
            self.core(i).transfer_leadership();
            self.flush(i);
        }
    }

    fn span(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..most))
    }

    fn awake(&self, i: usize) -> bool {
        self.nodes[i].core.is_some() && self.nodes[i].frozen <= self.now
    }

    fn advance(&mut self) {
        let passed = self.span(12);
        self.now += passed;
        for i in 0..NODES {
            if self.awake(i) {
                let clock = self.nodes[i].clock(self.now);
                self.core(i).tick(clock);
                self.flush(i);
            }
        }
    }

    fn propose(&mut self, i: usize) {
        if !self.awake(i) {
            return;
        }
        self.proposals += 1;
        let command = self.proposals.to_le_bytes().to_vec();
        // Only a leader takes it.
        let _ = self.core(i).propose(command.into());
        if self.rng.random() {
            self.flush(i);
        }
    }

    fn deliver(&mut self) {
        if self.bag.is_empty() {
            return;
        }
        // Mostly the oldest message, at times any other.
        let at = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(0..self.bag.len()),
            _ => 0,
        };
        let message = match self.chance(self.faults.repeat) {
            true => self.bag[at].clone(),
            false => self.bag.remove(at),
        };
        let cut = |id| self.nodes.iter().any(|n| n.id == id && n.cut > self.now);
        if cut(message.from) || cut(message.to) || self.chance(self.faults.drop) {
            return;
        }
        let Some(i) = self.nodes.iter().position(|n| n.id == message.to) else { return };
        if self.nodes[i].core.is_none() {
            return;
        }
        if !self.awake(i) {
            self.bag.push(message);
            return;
        }
        let clock = self.nodes[i].clock(self.now);
        self.core(i).step(clock, message);
        if self.rng.random_range(0..4) > 0 {
            self.flush(i);
        }
    }

    /// What a driver does; a crash may come before the sync, or between sync and answers.
    fn flush(&mut self, i: usize) {
        loop {
            let Some(core) = &mut self.nodes[i].core else { return };
            let Output { immediate, snapshot, hard_state, entries, after_sync, committed } =
                core.take_output();
            let writes = snapshot.is_some() || hard_state.is_some() || !entries.is_empty();
            if !writes && immediate.is_empty() && after_sync.is_empty() && committed.is_empty() {
                return;
            }
            self.checker.entries(&self.nodes[i], &entries);
            self.bag.extend(immediate);
            if self.chance(self.faults.crash / 2) {
                self.nodes[i].core = None;
                return;
            }
            let node = &mut self.nodes[i];
            node.disk.write(hard_state, snapshot.as_ref(), &entries);
            if let Some(snapshot) = snapshot {
                (node.applied, node.state) = node.disk.state();
                self.checker.state(snapshot.index, node.state);
            }
            if self.chance(self.faults.crash / 2) {
                self.nodes[i].core = None;
                return;
            }
            if writes {
                self.core(i).on_persisted();
            }
            self.bag.extend(after_sync);
            for entry in committed {
                let node = &mut self.nodes[i];
                assert_eq!(entry.index, node.applied + 1, "entries are applied in order");
                node.applied = entry.index;
                node.state = self.checker.apply(node.state, &entry);
            }
        }
    }

    /// Loses a disk; never a second one before the first has left every configuration.
    fn wipe(&mut self, i: usize) {
        let present = |id| self.nodes.iter().any(|n| n.id == id);
        let mut known = self.nodes.iter().map(|n| n.disk.members());
        if !known.all(|m| m.voters.iter().all(|v| present(v.id)) && m.voters.len() != 2) {
            return;
        }
        let newest = self.nodes.iter().map(|n| n.disk.members()).max_by_key(|m| m.voters.len());
        if newest.is_some_and(|m| m.voters.len() >= 3) && self.three_voters_hold_all() {
            self.nodes[i] = self.fresh();
        }
    }

    /// Whether each configuration that some disk knows has three voters or does not name its owner.
    fn three_voters_hold_all(&self) -> bool {
        self.nodes.iter().all(|n| {
            let members = n.disk.members();
            !members.is_voter(n.id) || members.voters.len() >= 3
        })
    }

    fn change(&mut self, i: usize) {
        if !self.awake(i) || !self.core(i).is_leader() {
            return;
        }
        let members = self.core(i).members().clone();
        let other = self.rng.random_range(0..NODES);
        let gone = |m: &&Member| !self.nodes.iter().any(|n| n.id == m.id);
        let mut next = members.clone();
        if let Some(lost) =
            members.voters.iter().find(gone).filter(|_| self.now.as_millis().is_multiple_of(2))
        {
            next.voters.retain(|m| m.id != lost.id);
        } else if next.learners.iter().any(|m| m.id == self.nodes[other].id) {
            let core = self.nodes[i].core.as_ref().expect("it runs");
            let matched = core.progress(self.nodes[other].id).map_or(0, |p| p.match_index);
            if matched < core.log().last_index() {
                return;
            }
            next.learners.retain(|m| m.id != self.nodes[other].id);
            next.voters.push(self.member(other));
        } else if !next.contains(self.nodes[other].id) {
            next.learners = vec![self.member(other)];
        } else if next.voters.len() > 3 {
            next.voters.retain(|m| m.id != self.nodes[other].id);
        }
        // Refused while an earlier change is pending.
        let _ = self.core(i).change_members(next);
        self.flush(i);
    }

    fn compact(&mut self, i: usize) {
        let Some(core) = &self.nodes[i].core else { return };
        if self.nodes[i].applied <= core.log().snapshot_index() {
            return;
        }
        self.flush(i);
        let node = &mut self.nodes[i];
        let Some(core) = &mut node.core else { return };
        let data = node.state.to_le_bytes().to_vec();
        let snapshot = core.snapshot_at(node.applied, data.into());
        core.compact(snapshot.clone());
        node.disk.compact(snapshot);
    }

    pub fn check(&mut self) {
        self.checker.leaders(&self.nodes, self.now);
    }

    /// Ends all faults; a leader must come, and one more command be committed by all that run.
    fn heal(&mut self) {
        self.faults = Faults::default();
        for i in 0..NODES {
            self.nodes[i].frozen = Duration::ZERO;
            self.nodes[i].cut = Duration::ZERO;
            if self.nodes[i].core.is_none() {
                self.nodes[i].boot(self.now, self.rng.random());
            }
        }
        let before = self.checker.commands();
        for _ in 0..HEAL_STEPS {
            match self.rng.random_range(0..40) {
                0 => self.advance(),
                1 => {
                    let i = self.rng.random_range(0..NODES);
                    self.propose(i);
                }
                _ => self.deliver(),
            }
            (0..NODES).for_each(|i| self.flush(i));
            self.check();
            if self.checker.commands() > before {
                return;
            }
        }
        panic!("no commit after everything healed");
    }
}

/// Whether an entry is a command.
pub fn is_command(payload: &Payload) -> bool {
    matches!(payload, Payload::Command(_))
}
