//! What the leader sees and plans, and how voters that are told to stop end.

use crate::machine::slot_of;
use crate::play::{Play, TICK_MS};
use crate::state::State;
use samphireshift::consensus::{Member, MemberId};
use samphireshift::daemon::{KnownVm, MembershipStep, MembershipView, voter_heard};
use std::time::Duration;

/// How often the leader plans.
const PLAN_MS: u64 = 200;
const REPLACE_AFTER: Duration = Duration::from_secs(2);
/// How long the log of a learner takes.
const LEARN_MS: (u64, u64) = (50, 900);
/// How long a voter waits for its successor, and how long where the leader sees none.
const STOP_MS: u64 = 4_000;
const NO_SUCCESSOR_MS: u64 = 600;

impl Play {
    fn next_step(&self) -> Option<Option<MembershipStep>> {
        let leader = self.serving_leader()?;
        let known_vms = self.known_vms(leader);
        let synced = self.machines.iter().filter(|machine| machine.synced >= self.committed);
        let caught_up: Vec<MemberId> = synced.map(|machine| machine.member.id).collect();
        let view = MembershipView {
            leader: self.machines[leader].member.id,
            members: self.members(),
            caught_up: &caught_up,
            known_vms: &known_vms,
            target_voters: self.setting.target(),
            replace_after: REPLACE_AFTER,
        };
        Some(view.next_step())
    }

    /// As `known_vms` in `daemon/membership.rs`.
    fn known_vms(&self, leader: usize) -> Vec<KnownVm> {
        let own = KnownVm {
            member: self.machines[leader].member.clone(),
            available: true,
            silent_for: Duration::ZERO,
            leaving: false,
        };
        let links = self.machines[leader].links.iter();
        let heard = links.filter_map(|(slot, link)| {
            let (member, at) = link.heard.clone()?;
            Some(self.known_vm(member, at, link.connected, *slot))
        });
        let mut all: Vec<KnownVm> = std::iter::once(own).chain(heard).collect();
        let is_new = |member: &&Member| !all.iter().any(|known| known.member.id == member.id);
        let never_heard = self.members().all().filter(is_new);
        let never_heard: Vec<KnownVm> = never_heard
            .map(|member| self.known_vm(member.clone(), self.led_since(), false, slot_of(member)))
            .collect();
        all.extend(never_heard);
        all
    }

    fn known_vm(&self, member: Member, at: u64, available: bool, slot: usize) -> KnownVm {
        let at = if self.members().is_voter(member.id) { self.voter_heard(at) } else { at };
        let leaving =
            self.machines[slot].told_at.is_some() && self.machines[slot].member.id == member.id;
        let silent_for = Duration::from_millis(self.now - at);
        KnownVm { member, available, silent_for, leaving }
    }

    /// A voter acknowledges whatever the leader sends over its link.
    fn voter_heard(&self, at: u64) -> u64 {
        let since = self.led_since();
        let acknowledged = (at > since).then_some(Duration::from_millis(at));
        let [heard, since, now] = [at, since, self.now].map(Duration::from_millis);
        voter_heard(acknowledged, heard, since, now).as_millis() as u64
    }

    fn led_since(&self) -> u64 {
        self.leader.map_or(self.now, |(_, since)| since)
    }

    /// Takes the next step of the leader.
    pub fn plan(&mut self) {
        if !self.now.is_multiple_of(PLAN_MS) {
            return;
        }
        let Some(leader) = self.serving_leader() else { return };
        let Some(step) = self.next_step().flatten() else { return };
        let next = step.apply(self.members());
        let done = self.commit(leader, next);
        let (verb, member) = match &step {
            MembershipStep::Add(member) => ("adds", member),
            MembershipStep::Promote(member) => ("promotes", member),
            MembershipStep::Remove(member) => ("removes", member),
        };
        let slot = slot_of(member);
        self.log.push(format!("{} {leader} {verb} {slot}, done: {done}", self.now));
        if verb == "adds" && done {
            self.machines[slot].catch_up_ticks = self.between(LEARN_MS) / TICK_MS;
        }
    }

    /// Ends the machines that were told to stop, as `daemon/departures.rs` does.
    pub fn leave(&mut self) {
        for slot in 0..self.machines.len() {
            let machine = &self.machines[slot];
            let Some(told_at) = machine.told_at else { continue };
            if machine.state == State::Up && self.may_end(slot, told_at) {
                let machine = &mut self.machines[slot];
                machine.state = State::Off;
                machine.listed.1 = Some(self.now);
                self.log.push(format!("{} {slot} ends", self.now));
            }
        }
    }

    fn may_end(&mut self, slot: usize, told_at: u64) -> bool {
        let now = self.now;
        let leader = self.serving_leader();
        let leader = leader.filter(|leader| slot == *leader || self.is_in_touch(slot, *leader));
        let planned = leader.and_then(|_| self.next_step()).map(|step| step.is_some());
        let has_learner = !self.members().learners.is_empty();
        let is_voter = self.members().is_voter(self.machines[slot].member.id);
        let machine = &mut self.machines[slot];
        match planned {
            Some(planned) if planned || has_learner => machine.alone_since = None,
            Some(_) => machine.alone_since = machine.alone_since.or(Some(now)),
            None => {}
        }
        let alone = machine.alone_since.is_some_and(|at| now - at >= NO_SUCCESSOR_MS);
        (!is_voter && planned.is_some()) || now - told_at >= STOP_MS || alone
    }
}
