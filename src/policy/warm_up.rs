//! Pattern: slow start. Servers that are cold take few requests; the routers keep to a common rate by
//! turns, which the leader lays out and nobody has to ask for.

use super::{
    Admission, TurnOrder, TurnPlace, UNLISTED_TTL, WarmUpBounds, WarmUpTurns, WarmingServers,
};
use crate::name::VmName;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long what the leader told holds when no leader answers any more.
const TOLD_TTL: Duration = Duration::from_secs(60);
/// How long what a router knows by itself holds at most: the list says it by then.
const MAX_OWN: Duration = Duration::from_secs(60);

/// The servers that are cold, and one router's turns to send to them.
#[derive(Debug)]
pub struct WarmUps {
    order: TurnOrder,
    servers: BTreeMap<VmName, WarmUp>,
    /// When the leader last confirmed what it told.
    told_at: Duration,
    /// Whether a leader has told the common time.
    has_common_time: bool,
}

#[derive(Debug)]
struct WarmUp {
    turns: WarmUpTurns,
    /// Whether the leader said so.
    is_told: bool,
    own: Option<OwnKnowledge>,
    /// Since when the server is not in the VM list.
    unlisted_since: Option<Duration>,
}

/// Why a router holds by itself that a server is cold, or may be.
#[derive(Debug, Clone, Copy)]
struct OwnKnowledge {
    since: Duration,
    until: Duration,
    /// Whether a leader's later answer settles it.
    until_told: bool,
}

impl WarmUp {
    fn is_cold(&self, now: Duration, told_at: Duration) -> bool {
        let is_own = self.own.is_some_and(|own| now < own.until);
        is_own || (self.is_told && now <= told_at + TOLD_TTL)
    }
}

impl WarmUps {
    /// Knows no servers; `seed` should differ from router to router.
    pub fn new(seed: u64) -> Self {
        let bounds = WarmUpBounds::default();
        let order = TurnOrder { seed, place: None, fleet: 1, time_offset: Duration::ZERO, bounds };
        let (servers, told_at) = (BTreeMap::new(), Duration::ZERO);
        Self { order, servers, told_at, has_common_time: false }
    }

    /// Sets what a cold server may get.
    pub fn set_bounds(&mut self, bounds: WarmUpBounds) {
        self.order.bounds = bounds;
    }

    /// Sets how far the time of day on this machine is ahead of the router's own time. It counts only
    /// until a leader has told its time: the clocks of machines may differ by seconds.
    pub fn set_day_offset(&mut self, offset: Duration) {
        if !self.has_common_time {
            self.order.time_offset = offset;
        }
    }

    /// Takes in the leader's time from the answer, just arrived, to what was asked at `asked_at`. Turns
    /// that are laid out already stay.
    pub fn hear_time(&mut self, now: Duration, asked_at: Duration, leader_time: Duration) {
        let told_at = asked_at + now.saturating_sub(asked_at) / 2;
        self.order.time_offset = leader_time.saturating_sub(told_at);
        self.has_common_time = true;
    }

    /// Sets this router's place among all, for turns that are laid out from now on; `None` if the
    /// leader does not know it.
    pub fn set_place(&mut self, place: Option<TurnPlace>) {
        self.order.place = place;
    }

    /// Sets the number of routers that the router was told of.
    pub fn set_fleet(&mut self, fleet: u32) {
        self.order.fleet = fleet.max(1);
    }

    /// Notes that a leader answered a report sent at `asked_at`, so that what it told before still holds;
    /// `knows_list`: it had read the VM list, and told what is in it.
    pub fn confirm(&mut self, now: Duration, asked_at: Duration, knows_list: bool) {
        self.told_at = now;
        if !knows_list {
            return;
        }
        for server in self.servers.values_mut() {
            server.own = server.own.filter(|own| !own.until_told || own.since > asked_at);
        }
    }

    /// Takes in which servers are warming up; `same_term`: by the leader that told last. Turns at
    /// servers that were warming up before go on.
    pub fn replace(
        &mut self,
        now: Duration,
        asked_at: Duration,
        same_term: bool,
        groups: &[WarmingServers],
    ) {
        for server in self.servers.values_mut() {
            // A server that the leader told of and now leaves out is warm, unless something has happened
            // since. Another leader may not have heard of it yet.
            if server.is_told && same_term {
                server.own = server.own.filter(|own| own.since > asked_at);
            }
            server.is_told = false;
        }
        for group in groups.iter().filter(|group| group.rate > 0.0) {
            for server in &group.servers {
                self.entry(now, server, group.rate).is_told = true;
            }
        }
        self.expire(now);
    }

    /// Holds a server to be cold while this `lasts`, a minute at most; `until_told`: or until a leader
    /// answers that is asked later. Returns whether it was not held to be cold before.
    pub fn presume(
        &mut self,
        now: Duration,
        server: &VmName,
        rate: f64,
        lasts: Duration,
        until_told: bool,
    ) -> bool {
        if rate <= 0.0 || lasts.is_zero() {
            return false;
        }
        let told_at = self.told_at;
        let until = now.saturating_add(lasts.min(MAX_OWN));
        let known = self.entry(now, server, rate);
        let is_news = !known.is_cold(now, told_at);
        let before = known.own.filter(|own| now < own.until);
        known.own = Some(match before {
            Some(own) => OwnKnowledge {
                since: now,
                until: until.max(own.until),
                until_told: until_told && own.until_told,
            },
            None => OwnKnowledge { since: now, until, until_told },
        });
        is_news
    }

    /// Takes in that a server says, in the answer to a call sent at `sent_at`, that it is warm.
    pub fn hear_warm(&mut self, sent_at: Duration, server: &VmName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.own = known.own.filter(|own| own.since >= sent_at);
        }
    }

    fn entry(&mut self, now: Duration, server: &VmName, rate: f64) -> &mut WarmUp {
        let order = self.order;
        let new = || WarmUpTurns::new(now, server, rate, order);
        let known = self.servers.entry(server.clone()).or_insert_with(|| WarmUp {
            turns: new(),
            is_told: false,
            own: None,
            unlisted_since: None,
        });
        if !known.turns.fits(rate, order.place.is_some()) {
            known.turns = new();
        }
        known
    }

    /// Forgets servers that are no longer held to be cold.
    pub fn expire(&mut self, now: Duration) {
        let told_at = self.told_at;
        self.servers.retain(|_, known| known.is_cold(now, told_at));
    }

    /// The number of servers that are held to be cold.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Of these, the number that only this router holds to be cold.
    pub fn presumed_count(&self) -> usize {
        self.servers.values().filter(|known| !known.is_told).count()
    }

    /// Whether a request may be sent to a server now.
    pub fn admission(&mut self, now: Duration, server: &VmName) -> Admission {
        let told_at = self.told_at;
        let Some(known) = self.servers.get_mut(server) else { return Admission::Free };
        match known.is_cold(now, told_at) {
            false => Admission::Free,
            true if known.turns.is_due(now) => Admission::Ready,
            true => Admission::Dry,
        }
    }

    /// Takes the turn that has begun at a server.
    pub fn take(&mut self, server: &VmName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.turns.take();
        }
    }

    /// Requests a second that this router may send to a server; `None` if it is not cold.
    pub fn rate(&self, now: Duration, server: &VmName) -> Option<f64> {
        let known = self.servers.get(server)?;
        known.is_cold(now, self.told_at).then(|| known.turns.rate())
    }

    /// Forgets servers that have not been in the VM list for long.
    pub fn retain<F>(&mut self, now: Duration, is_listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.servers.retain(|server, known| {
            let is_listed = is_listed(server);
            let since = known.unlisted_since.filter(|_| !is_listed).unwrap_or(now);
            known.unlisted_since = (!is_listed).then_some(since);
            now < since + UNLISTED_TTL
        });
    }
}
