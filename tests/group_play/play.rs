use crate::event::Event;
use crate::loss::Loss;
use crate::machine::{Machine, slot_of};
use crate::setting::Setting;
use crate::state::State;
use crate::trouble::Trouble;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::consensus::{Member, Members};

/// The step of virtual time.
pub const TICK_MS: u64 = 50;
const START_MS: u64 = 10_000;
const END_MS: u64 = 70_000;
/// By how much the lists of seeds lag (`seed_lag_s`).
const SEED_LAG_MS: u64 = 3_000;

/// A group on virtual time. Entries are committed in one tick, on a majority drawn anew each time.
#[derive(Debug)]
pub struct Play {
    /// What it is given.
    pub setting: Setting,
    /// All that is drawn.
    pub random: Pcg64Mcg,
    /// Virtual time.
    pub now: u64,
    /// All machines there have been.
    pub machines: Vec<Machine>,
    /// Members by the entry that set them; all are committed.
    pub history: Vec<(u64, Members)>,
    /// The newest acknowledged entry.
    pub committed: u64,
    /// The address of the leader, and since when it leads.
    pub leader: Option<(usize, u64)>,
    /// When the next leader is elected, while none is in touch with a majority.
    pub election_at: Option<u64>,
    /// Whether the core is cut in two halves.
    pub split: bool,
    /// What counts as lost.
    pub losses: Vec<Loss>,
    /// What is to happen.
    pub events: Vec<(u64, Event)>,
    /// The next trouble, and when it comes at the earliest.
    pub trouble: Trouble,
    /// See `trouble`.
    pub trouble_at: u64,
    /// The member id of the next incarnation.
    pub next_id: u64,
    /// What has happened, for whoever reads a failure.
    pub log: Vec<String>,
}

impl Play {
    /// Plays one seed. The error tells what happened until a loss that may come next would cost the
    /// majority or an acknowledged entry.
    pub fn run(setting: Setting, seed: u64) -> Result<(), String> {
        let mut play = Self::start(setting, seed);
        while play.now < END_MS {
            play.tick()?;
        }
        Ok(())
    }

    fn start(setting: Setting, seed: u64) -> Self {
        let mut play = Self {
            setting,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: START_MS,
            machines: Vec::new(),
            history: Vec::new(),
            committed: 1,
            leader: None,
            election_at: None,
            split: false,
            losses: Vec::new(),
            events: Vec::new(),
            trouble: Trouble::Gone,
            trouble_at: START_MS + 5_000,
            next_id: 1,
            log: Vec::new(),
        };
        play.form_group();
        play
    }

    /// Starts all machines with the same seeds; as many as wanted vote.
    fn form_group(&mut self) {
        let count = self.setting.target() + self.setting.spares;
        let mut slots: Vec<usize> = (0..count).collect();
        slots.shuffle(&mut self.random);
        let seeds: Vec<usize> = slots.iter().take(3).copied().collect();
        (0..count).for_each(|_| _ = self.add_machine(seeds.clone()));
        slots.shuffle(&mut self.random);
        slots.truncate(self.setting.target());
        slots.iter().for_each(|slot| self.machines[*slot].synced = 1);
        let voters = slots.iter().map(|slot| self.machines[*slot].member.clone()).collect();
        self.log.push(format!("seeds {seeds:?}, voters {slots:?} of {count}"));
        self.history.push((1, Members { voters, learners: Vec::new() }));
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        self.happen();
        self.make_trouble();
        self.network();
        self.keep_leader()?;
        self.replicate();
        self.plan();
        self.leave();
        self.check()
    }

    /// Starts a machine with an empty disk at an address of its own.
    pub fn add_machine(&mut self, seeds: Vec<usize>) -> usize {
        let slot = self.machines.len();
        let mut machine = Machine::start(slot, self.next_id, seeds, self.now);
        machine.half = self.random.random_bool(0.5);
        self.next_id += 1;
        self.machines.push(machine);
        slot
    }

    /// Three addresses of the operator's list, which lags: at times, all but one are of machines that are
    /// away. One of another machine that runs is always among them.
    pub fn draw_seeds(&mut self, own: usize) -> Vec<usize> {
        let then = self.now.saturating_sub(SEED_LAG_MS);
        let is_listed = |machine: &Machine| {
            machine.listed.0 <= then && machine.listed.1.is_none_or(|until| until > then)
        };
        let listed = self.machines.iter().filter(|machine| is_listed(machine));
        let mut slots: Vec<usize> = listed.map(|machine| slot_of(&machine.member)).collect();
        slots.shuffle(&mut self.random);
        let runs = |slot: &usize| {
            let machine = &self.machines[*slot];
            let stops = machine.told_at.is_some();
            *slot != own && !stops && matches!(machine.state, State::Up | State::Killed)
        };
        let sure = slots.iter().copied().find(runs);
        if self.random.random_bool(0.5) {
            slots.sort_by_key(runs);
        }
        slots.retain(|slot| Some(*slot) != sure);
        slots.truncate(2);
        slots.extend(sure);
        slots
    }

    /// Draws a time.
    pub fn between(&mut self, (least, most): (u64, u64)) -> u64 {
        self.random.random_range(least..=most)
    }

    /// The newest members.
    pub fn members(&self) -> &Members {
        &self.history.last().expect("a first entry").1
    }

    /// The newest members up to an entry.
    pub fn members_at(&self, index: u64) -> Option<&Members> {
        self.history.iter().rev().find(|(at, _)| *at <= index).map(|(_, members)| members)
    }

    /// The machine of a member, unless it has started without its disk since.
    pub fn machine_of(&self, member: &Member) -> Option<&Machine> {
        self.machines.get(slot_of(member)).filter(|machine| machine.member.id == member.id)
    }
}
