//! Links, and what daemons know through them.

use crate::knowledge::Knowledge;
use crate::link::Link;
use crate::machine::slot_of;
use crate::play::{Play, TICK_MS};
use crate::state::State;
use rand::Rng;
use std::collections::BTreeSet;

/// How often a daemon checks its links.
const LINK_MS: u64 = 200;
/// Silence after which a link is dropped.
const PING_TIMEOUT_MS: u64 = 900;
/// How often each link hands on the newest members.
const HAND_ON_MS: u64 = 300;
/// Probability that a link is connected at a check, where the other end runs.
const CONNECT_CHANCE: f64 = 0.7;
/// How long a link that is not needed may be silent before it is closed.
const UNUSED_LINK_MS: u64 = 30_000;

impl Play {
    /// Drops, makes and uses the links of one tick.
    pub fn network(&mut self) {
        self.hear();
        for slot in 0..self.machines.len() {
            let is_due = (self.now / TICK_MS + slot as u64).is_multiple_of(LINK_MS / TICK_MS);
            if is_due && self.machines[slot].state == State::Up {
                self.want_links(slot);
                self.connect(slot);
            }
        }
        if self.setting.knowledge == Knowledge::HandedOn && self.now.is_multiple_of(HAND_ON_MS) {
            self.hand_on();
        }
    }

    /// Whether two machines run and no cut is between them.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.machines[from], &self.machines[to]);
        from.state == State::Up && to.state == State::Up && (!self.split || from.half == to.half)
    }

    /// Whether a machine is linked to another one that it reaches.
    pub fn is_in_touch(&self, from: usize, to: usize) -> bool {
        let link = self.machines[from].links.get(&to);
        link.is_some_and(|link| link.connected) && self.reaches(from, to)
    }

    fn hear(&mut self) {
        for from in 0..self.machines.len() {
            let mut links = std::mem::take(&mut self.machines[from].links);
            for (to, link) in &mut links {
                if link.connected && self.reaches(from, *to) {
                    link.heard = Some((self.machines[*to].member.clone(), self.now));
                }
                let heard_at = link.heard.as_ref().map_or(0, |(_, at)| *at);
                let is_reset = matches!(self.machines[*to].state, State::Off | State::Killed);
                link.connected &= !is_reset && self.now < heard_at + PING_TIMEOUT_MS;
            }
            self.machines[from].links = links;
        }
    }

    /// Adds the links that a daemon wants and closes those that it has no use for.
    fn want_links(&mut self, slot: usize) {
        let machine = &self.machines[slot];
        let news = if self.setting.knowledge == Knowledge::HandedOn { machine.news } else { 0 };
        let members = [machine.synced, news].into_iter().filter_map(|at| self.members_at(at));
        let mut wanted: BTreeSet<usize> = members.flat_map(|m| m.all().map(slot_of)).collect();
        wanted.extend(&machine.seeds);
        wanted.remove(&slot);
        let now = self.now;
        let links = &mut self.machines[slot].links;
        let is_fresh =
            |link: &Link| link.heard.as_ref().is_some_and(|(_, at)| now - at < UNUSED_LINK_MS);
        links.retain(|to, link| wanted.contains(to) || is_fresh(link));
        wanted.into_iter().for_each(|to| _ = links.entry(to).or_default());
    }

    /// Connects what can be connected; the other end links back.
    fn connect(&mut self, slot: usize) {
        let open = self.machines[slot].links.iter().filter(|(_, link)| !link.connected);
        let open: Vec<usize> = open.map(|(to, _)| *to).collect();
        for to in open {
            if self.reaches(slot, to) && self.random.random_bool(CONNECT_CHANCE) {
                let heard = Some((self.machines[to].member.clone(), self.now));
                self.machines[slot].links.insert(to, Link { connected: true, heard });
                let heard = Some((self.machines[slot].member.clone(), self.now));
                let back = self.machines[to].links.entry(slot).or_default();
                back.heard = back.heard.take().or(heard);
            }
        }
    }

    fn hand_on(&mut self) {
        let own =
            |synced: u64| self.history.iter().rev().map(|(at, _)| *at).find(|at| *at <= synced);
        let known =
            self.machines.iter().map(|machine| own(machine.synced).unwrap_or(0).max(machine.news));
        let known: Vec<u64> = known.collect();
        for from in 0..self.machines.len() {
            let links = self.machines[from].links.keys().copied();
            let linked: Vec<usize> = links.filter(|to| self.is_in_touch(from, *to)).collect();
            for to in linked {
                let newest = known[from].max(known[to]);
                self.machines[from].news = self.machines[from].news.max(newest);
                self.machines[to].news = self.machines[to].news.max(newest);
            }
        }
    }
}
