use crate::link::Link;
use crate::state::State;
use samphireshift::consensus::{Member, MemberId};
use samphireshift::name::{DataCentre, VmName};
use std::collections::BTreeMap;

/// A machine of the core. Its place in the list of all is its address.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its daemon, in the incarnation that it has now.
    pub member: Member,
    /// What it does.
    pub state: State,
    /// The side on which it is while the core is cut in two.
    pub half: bool,
    /// Up to which entry its log is synced; 0 without a log.
    pub synced: u64,
    /// The entry of the newest members that it was told of.
    pub news: u64,
    /// The addresses that it was started with.
    pub seeds: Vec<usize>,
    /// Its links, by address.
    pub links: BTreeMap<usize, Link>,
    /// Ticks until it has the log, as a learner.
    pub catch_up_ticks: u64,
    /// When it was told to stop.
    pub told_at: Option<u64>,
    /// Since when the leader has seen no successor for it.
    pub alone_since: Option<u64>,
    /// When it was added, and when it was taken away for good.
    pub listed: (u64, Option<u64>),
}

impl Machine {
    /// A machine that starts with an empty disk.
    pub fn start(slot: usize, id: u64, seeds: Vec<usize>, now: u64) -> Self {
        let member = Member {
            id: MemberId(id),
            vm: VmName::new(format!("m{slot}")),
            data_centre: DataCentre::new(format!("dc-{}", slot % 3)),
            address: ([10, 0, 0, 1], slot as u16).into(),
            durable: true,
        };
        Self {
            member,
            state: State::Up,
            half: false,
            synced: 0,
            news: 0,
            seeds,
            links: BTreeMap::new(),
            catch_up_ticks: 0,
            told_at: None,
            alone_since: None,
            listed: (now, None),
        }
    }

    /// Starts its process again, with newly filled settings.
    pub fn restart(&mut self, seeds: Vec<usize>) {
        self.state = State::Up;
        self.seeds = seeds;
        self.links.clear();
        self.news = 0;
    }

    /// Whether it runs and has not been told to stop.
    pub fn is_sound(&self) -> bool {
        self.state == State::Up && self.told_at.is_none()
    }
}

/// The address of a member, as a place in the list of all machines.
pub fn slot_of(member: &Member) -> usize {
    usize::from(member.address.port())
}
