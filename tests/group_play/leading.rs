//! Elections and the log.

use crate::machine::{Machine, slot_of};
use crate::play::Play;
use crate::state::State;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use samphireshift::consensus::{Member, Members};

/// From the moment when no leader is in touch with a majority to the next one, at least and at most.
const ELECTION_MS: (u64, u64) = (600, 1_400);
/// Probability that a voter which lacks entries gets them in a tick.
const SYNC_CHANCE: f64 = 0.4;

impl Play {
    /// Elects a leader once there has been none in touch with a majority for some time.
    pub fn keep_leader(&mut self) -> Result<(), String> {
        if let Some((slot, _)) = self.leader.filter(|(slot, _)| self.leads(*slot)) {
            self.election_at = None;
            self.hand_over(slot);
            return Ok(());
        }
        let now = self.now;
        let Some(at) = self.election_at else {
            self.election_at = Some(now + self.between(ELECTION_MS));
            return Ok(());
        };
        if at > now {
            return Ok(());
        }
        self.election_at = None;
        self.elect()
    }

    fn elect(&mut self) -> Result<(), String> {
        let electable = (0..self.machines.len()).filter(|slot| self.is_electable(*slot));
        let electable: Vec<usize> = electable.collect();
        let Some(slot) = electable.choose(&mut self.random).copied() else { return Ok(()) };
        self.leader = Some((slot, self.now));
        self.log.push(format!("{} {slot} leads", self.now));
        match self.machines[slot].synced >= self.committed {
            true => Ok(()),
            false => Err(self.failure("an acknowledged entry is lost")),
        }
    }

    fn leads(&self, slot: usize) -> bool {
        let members = self.members();
        self.machines[slot].state == State::Up
            && members.is_voter(self.machines[slot].member.id)
            && self.in_touch(slot, members).len() >= members.quorum()
    }

    /// The voters that a machine is linked to, itself included.
    fn in_touch(&self, slot: usize, members: &Members) -> Vec<usize> {
        let is_linked = |member: &&Member| {
            let to = slot_of(member);
            let runs = self.machine_of(member).is_some_and(|m| m.state == State::Up);
            runs && (to == slot || self.is_in_touch(slot, to))
        };
        members.voters.iter().filter(is_linked).map(slot_of).collect()
    }

    fn is_electable(&self, slot: usize) -> bool {
        let machine = &self.machines[slot];
        let Some(members) = self.members_at(machine.synced) else { return false };
        let votes = self.in_touch(slot, members);
        let granted = votes.iter().filter(|voter| self.machines[**voter].synced <= machine.synced);
        machine.state == State::Up
            && members.is_voter(machine.member.id)
            && granted.count() >= members.quorum()
    }

    /// A leader that is told to stop hands over to a voter that has the whole log.
    fn hand_over(&mut self, leader: usize) {
        if self.machines[leader].told_at.is_none() {
            return;
        }
        let voters = self.in_touch(leader, self.members());
        let is_fit = |machine: &Machine| machine.is_sound() && machine.synced >= self.committed;
        let next = voters.into_iter().find(|slot| is_fit(&self.machines[*slot]));
        if let Some(next) = next {
            self.leader = Some((next, self.now));
            self.log.push(format!("{} {leader} hands over to {next}", self.now));
        }
    }

    /// The address of the leader, if it may commit now.
    pub fn serving_leader(&self) -> Option<usize> {
        let leader = self.leader.map(|(slot, _)| slot).filter(|slot| self.leads(*slot));
        leader.filter(|slot| self.machines[*slot].told_at.is_none())
    }

    /// Acknowledges an entry, on a majority drawn anew; the other members get it later.
    pub fn replicate(&mut self) {
        if let Some(leader) = self.serving_leader() {
            self.commit(leader, self.members().clone());
        }
        let leader = self.leader.map(|(slot, _)| slot).filter(|slot| self.leads(*slot));
        let Some(leader) = leader else { return };
        let members = self.members().clone();
        for member in members.all() {
            let slot = slot_of(member);
            if self.is_in_touch(leader, slot) && self.machine_of(member).is_some() {
                self.catch_up(slot);
            }
        }
    }

    fn catch_up(&mut self, slot: usize) {
        let committed = self.committed;
        let is_voter = self.members().is_voter(self.machines[slot].member.id);
        let gets_it = !is_voter || self.random.random_bool(SYNC_CHANCE);
        let machine = &mut self.machines[slot];
        match machine.catch_up_ticks {
            0 if gets_it => machine.synced = committed,
            0 => {}
            _ => machine.catch_up_ticks -= 1,
        }
    }

    /// Commits an entry with these members on a majority of them, if one is in touch.
    pub fn commit(&mut self, leader: usize, members: Members) -> bool {
        let mut others = self.in_touch(leader, &members);
        if others.len() < members.quorum() {
            return false;
        }
        others.retain(|slot| *slot != leader);
        others.shuffle(&mut self.random);
        others.truncate(members.quorum() - 1);
        self.committed += 1;
        let committed = self.committed;
        let holders = others.into_iter().chain([leader]);
        holders.for_each(|slot| self.machines[slot].synced = committed);
        if *self.members() != members {
            self.history.push((committed, members));
        }
        true
    }
}
