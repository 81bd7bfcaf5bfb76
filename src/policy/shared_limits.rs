//! Pattern: distributed rate limiting by tokens. Servers name the rate of requests that they take from
//! all routers together. The leader fills a bucket for each such server and hands its tokens out to
//! the routers that ask for them, the most urgent first, then in turn.

use super::{
    ColdServer, ColdServers, HeardLimit, KnownLimit, LimitAsk, LimitDemand, LimitNews,
    LimitPosition, PacedBucket, ServerPace, TokenCount, TurnPlace, UNLISTED_TTL, WarmingServers,
    Witness,
};
use crate::control::RouterId;
use crate::name::VmName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A router that has not reported for this long may have fallen back to its own part of each limit,
/// so that part is left out.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);
/// How long a router that is silent is remembered.
const ROUTER_TTL: Duration = Duration::from_secs(60);
/// How long a token that was handed out waits to be taken along.
const GRANT_TTL: Duration = Duration::from_millis(200);
/// How long it takes at least until a token that is handed out can be used.
const HAND_OUT_TIME: Duration = Duration::from_millis(10);
/// How long a limit that has ended still holds, while its rate rises.
const RISE_TIME: Duration = Duration::from_secs(8);
/// How long routers are told that a limit has ended.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// A limit is told to all routers anew if it has changed by more than this fraction.
const TOLD_CHANGE: f64 = 0.25;
/// How old news may be. The time since the start of the leader's process would be too short for them.
const MAX_AGE: Duration = Duration::from_secs(3_600);
/// Servers whose limits are kept.
const MAX_SERVERS: usize = 4_096;
/// Asks of a router that are kept.
const MAX_ASKS: usize = 64;
/// Tokens that one ask may name.
const MAX_COUNT: u32 = 1_024;

/// The limits of all servers, and the tokens for them, as one leader knows them.
#[derive(Debug, Default)]
pub struct SharedLimits {
    term: u64,
    servers: BTreeMap<VmName, SharedLimit>,
    routers: BTreeMap<RouterId, RouterState>,
    asks: Vec<OpenAsk>,
    /// Increases with each change that routers have to know of.
    version: u64,
    /// The last turn that was given.
    turn: u64,
    /// The servers that are cold.
    cold: ColdServers,
}

#[derive(Debug)]
struct SharedLimit {
    state: LimitState,
    /// The limit that routers were told last.
    told: f64,
    /// When the newest news of it was true, later by `MAX_AGE`.
    heard_at: Duration,
    bucket: PacedBucket,
    /// Since when the server is not in the VM list.
    unlisted_since: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum LimitState {
    Named,
    /// The server names no limit any more since then; the rate rises.
    Rising(Duration),
    /// There is no limit any more since then.
    Ended(Duration),
}

#[derive(Debug, Default)]
struct RouterState {
    seen: Duration,
    fleet: u32,
    /// Tokens to be taken along with the next response, and when they were handed out.
    grants: Vec<(VmName, Duration)>,
}

#[derive(Debug)]
struct OpenAsk {
    router: RouterId,
    ask: LimitAsk,
    turn: u64,
    /// Until when a token that is handed out can still be used.
    until: Duration,
}

impl SharedLimits {
    /// Knows no limits yet, as a leader at the start of its term.
    pub fn new(term: u64) -> Self {
        Self { term, ..Self::default() }
    }

    /// The term of the leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes in a router's report. Returns whether there is something that all routers have to know.
    pub fn record(&mut self, now: Duration, router: &RouterId, demand: &LimitDemand) -> bool {
        let state = self.routers.entry(router.clone()).or_default();
        (state.seen, state.fleet) = (now, demand.fleet);
        self.routers.retain(|_, state| now < state.seen + ROUTER_TTL);
        let before = self.version;
        for heard in &demand.heard {
            self.hear(now, heard);
        }
        self.replace_asks(now, router, &demand.asks);
        self.version != before
    }

    fn hear(&mut self, now: Duration, heard: &HeardLimit) {
        let at = (now + MAX_AGE).saturating_sub(heard.age);
        let has_room = self.servers.len() < MAX_SERVERS;
        let known = self.servers.get_mut(&heard.server);
        match (known, heard.limit) {
            (Some(known), _) if at <= known.heard_at => {}
            (Some(known), Some(limit)) => {
                known.heard_at = at;
                known.bucket.set_limit(limit);
                let changed = (limit - known.told).abs() > TOLD_CHANGE * known.told;
                if changed || known.state != LimitState::Named {
                    known.told = limit;
                    self.version += 1;
                }
                if matches!(known.state, LimitState::Ended(_)) {
                    known.bucket = PacedBucket::new(now, limit);
                }
                known.state = LimitState::Named;
            }
            (Some(known), None) if known.state == LimitState::Named => {
                known.heard_at = at;
                known.state = LimitState::Rising(now);
                known.bucket.set_limit(f64::MAX);
            }
            (None, Some(limit)) if has_room => {
                let bucket = PacedBucket::new(now, limit);
                let state = LimitState::Named;
                let unlisted_since = None;
                let known =
                    SharedLimit { state, told: limit, heard_at: at, bucket, unlisted_since };
                self.servers.insert(heard.server.clone(), known);
                self.version += 1;
            }
            _ => {}
        }
    }

    fn replace_asks(&mut self, now: Duration, router: &RouterId, asks: &[LimitAsk]) {
        let mut turns = BTreeMap::new();
        self.asks.retain(|open| {
            if open.router == *router {
                turns.insert(open.ask.servers.clone(), open.turn);
            }
            open.router != *router
        });
        for ask in asks.iter().filter(|ask| ask.count > 0).take(MAX_ASKS) {
            // A router that asks again keeps its place in the line.
            let turn = turns.remove(&ask.servers).unwrap_or_else(|| {
                self.turn += 1;
                self.turn
            });
            let ask = LimitAsk { count: ask.count.min(MAX_COUNT), ..ask.clone() };
            let until = now + ask.lasts;
            self.asks.push(OpenAsk { router: router.clone(), ask, turn, until });
        }
    }

    /// Sets which servers are warming up, by the VM list. Returns whether that is something that all
    /// routers have to know.
    pub fn set_warming(&mut self, warming: Vec<WarmingServers>) -> bool {
        let is_news = self.cold.set_listed(warming);
        self.version += u64::from(is_news);
        is_news
    }

    /// Takes in that servers are cold, or may be, before the VM list says so. Returns whether that is
    /// something that all routers have to know.
    pub fn presume_cold(
        &mut self,
        now: Duration,
        witness: &Witness,
        servers: &[ColdServer],
    ) -> bool {
        let is_news = self.cold.presume(now, witness, servers);
        self.version += u64::from(is_news);
        is_news
    }

    /// Whether any router waits for tokens, so that [`Self::distribute`] has to be called soon.
    pub fn has_asks(&self) -> bool {
        !self.asks.is_empty()
    }

    /// Hands out the tokens that have come together; returns the routers that got some.
    pub fn distribute(&mut self, now: Duration) -> BTreeSet<RouterId> {
        let fraction = self.reporting_fraction(now);
        self.asks.retain(|open| {
            let state = self.routers.get(&open.router);
            let is_heard = state.is_some_and(|state| now < state.seen + SILENT_AFTER);
            is_heard && now + HAND_OUT_TIME < open.until
        });
        for server in self.servers.values_mut() {
            server.bucket.advance(now, fraction);
        }
        let mut routers = BTreeSet::new();
        while let Some((name, index)) = self.next_grant() {
            let Some(server) = self.servers.get_mut(&name) else { break };
            if !server.bucket.take() {
                break;
            }
            let open = &mut self.asks[index];
            self.turn += 1;
            (open.turn, open.ask.count) = (self.turn, open.ask.count - 1);
            let state = self.routers.entry(open.router.clone()).or_default();
            state.grants.push((name, now));
            routers.insert(open.router.clone());
            self.asks.retain(|open| open.ask.count > 0);
        }
        routers
    }

    /// The server with the most tokens that somebody asks for, and the ask whose turn it is.
    fn next_grant(&self) -> Option<(VmName, usize)> {
        let has_token = |server: &SharedLimit| server.bucket.tokens() >= 1.0;
        let full = self.servers.iter().filter(|(_, server)| has_token(server));
        let asked = full.filter_map(|(name, server)| {
            let asks = self.asks.iter().enumerate();
            let fitting = asks.filter(|(_, open)| open.ask.servers.contains(name));
            let first = fitting.min_by_key(|(_, open)| (open.ask.rank, open.turn))?;
            Some((server.bucket.tokens(), name, first.0))
        });
        let most = asked.max_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((most.1.clone(), most.2))
    }

    /// The part of each limit that is not reserved for routers that do not report. Such a router
    /// takes the limit divided by the number of routers that it was told of.
    fn reporting_fraction(&self, now: Duration) -> f64 {
        let reporting = self.routers.values().filter(|state| now < state.seen + SILENT_AFTER);
        let (mut count, mut fleet) = (0_u32, 1_u32);
        for state in reporting {
            count += 1;
            fleet = fleet.max(state.fleet);
        }
        f64::from(count) / f64::from(fleet.max(count))
    }

    /// Whether there is something for a router that knows the limits as of `known`.
    pub fn has_news(&self, router: &RouterId, known: LimitPosition) -> bool {
        let has_grants = self.routers.get(router).is_some_and(|state| !state.grants.is_empty());
        has_grants || known != self.position()
    }

    /// The answer to a router's report: what it does not know of the limits, and its tokens.
    pub fn answer(
        &mut self,
        now: Duration,
        router: &RouterId,
        known: LimitPosition,
        demand: &LimitDemand,
    ) -> LimitNews {
        let (mut limits, warming) = match known == self.position() {
            true => (Vec::new(), None),
            false => (self.limits(), self.cold.all()),
        };
        // A router of another term has yet to report what it knows.
        if known.term == self.term {
            limits.extend(self.unknown(demand));
        }
        let tokens = self.take_grants(now, router);
        let paces = self.paces(now, demand);
        let place = warming.as_ref().and_then(|_| self.place(now, router));
        LimitNews { position: self.position(), limits, tokens, paces, warming, place }
    }

    /// A router's place among those that report; `None` if there are more that do not yet.
    pub fn place(&self, now: Duration, router: &RouterId) -> Option<TurnPlace> {
        let is_heard = |state: &RouterState| now < state.seen + SILENT_AFTER;
        let heard: Vec<_> = self.routers.iter().filter(|(_, state)| is_heard(state)).collect();
        let fleet = heard.iter().map(|(_, state)| state.fleet).max().unwrap_or(0);
        let index = heard.iter().position(|(name, _)| *name == router)?;
        let (index, count) = (index as u32, heard.len() as u32);
        (count >= fleet).then_some(TurnPlace { index, count })
    }

    /// The present state of the limits.
    pub fn position(&self) -> LimitPosition {
        LimitPosition { term: self.term, version: self.version }
    }

    /// Takes the tokens that were handed out to a router.
    fn take_grants(&mut self, now: Duration, router: &RouterId) -> Vec<TokenCount> {
        let Some(state) = self.routers.get_mut(router) else { return Vec::new() };
        let mut counts: BTreeMap<VmName, u32> = BTreeMap::new();
        for (server, at) in state.grants.drain(..) {
            if now < at + GRANT_TTL {
                *counts.entry(server).or_default() += 1;
            }
        }
        counts.into_iter().map(|(server, count)| TokenCount { server, count }).collect()
    }

    /// Whether a router has reported lately.
    pub fn is_known(&self, router: &RouterId) -> bool {
        self.routers.contains_key(router)
    }

    /// The limits as all routers are to keep them, those that have lately ended included.
    fn limits(&self) -> Vec<KnownLimit> {
        let known = |(name, server): (&VmName, &SharedLimit)| KnownLimit {
            server: name.clone(),
            limit: (!matches!(server.state, LimitState::Ended(_))).then_some(server.told),
        };
        self.servers.iter().map(known).collect()
    }

    /// Of the servers that a router asks for, those whose limit is not known here.
    fn unknown(&self, demand: &LimitDemand) -> Vec<KnownLimit> {
        let names: BTreeSet<&VmName> = demand.asks.iter().flat_map(|ask| &ask.servers).collect();
        let unknown = names.into_iter().filter(|name| !self.servers.contains_key(*name));
        unknown.map(|name| KnownLimit { server: name.clone(), limit: None }).collect()
    }

    /// How fast the tokens are given out that a router asks for.
    fn paces(&self, now: Duration, demand: &LimitDemand) -> Vec<ServerPace> {
        let fraction = self.reporting_fraction(now);
        let names: BTreeSet<&VmName> = demand.asks.iter().flat_map(|ask| &ask.servers).collect();
        let pace = |name: &VmName| {
            let server = self.servers.get(name)?;
            let asks = self.asks.iter().filter(|open| open.ask.servers.contains(name));
            let routers: BTreeSet<&RouterId> = asks.map(|open| &open.router).collect();
            let rate = server.bucket.rate() * fraction;
            Some(ServerPace { server: name.clone(), rate, routers: routers.len().max(1) as u32 })
        };
        names.into_iter().filter_map(pace).collect()
    }

    /// Lets limits end whose rate has risen for long enough, and forgets what is over. `is_listed`
    /// tells whether a server is still in the VM list. Returns whether there is something that all
    /// routers have to know.
    pub fn expire<F>(&mut self, now: Duration, is_listed: F) -> bool
    where
        F: Fn(&VmName) -> bool,
    {
        let mut news = self.cold.expire(now);
        for server in self.servers.values_mut() {
            if let LimitState::Rising(since) = server.state
                && now >= since + RISE_TIME
            {
                server.state = LimitState::Ended(now);
                news = true;
            }
        }
        // One reading of the list may leave out servers that are there.
        self.servers.retain(|name, server| {
            let is_listed = is_listed(name);
            let since = server.unlisted_since.filter(|_| !is_listed).unwrap_or(now);
            server.unlisted_since = (!is_listed).then_some(since);
            match server.state {
                LimitState::Ended(since) => now < since + ENDED_TTL,
                LimitState::Named | LimitState::Rising(_) => now < since + UNLISTED_TTL,
            }
        });
        self.version += u64::from(news);
        news
    }

    /// The servers with a limit, and what they named last, in requests a second.
    pub fn named(&self) -> impl Iterator<Item = (&VmName, f64)> {
        let limited =
            self.servers.iter().filter(|(_, server)| !matches!(server.state, LimitState::Ended(_)));
        limited.map(|(name, server)| (name, server.told))
    }

    /// The number of servers with a limit.
    pub fn count(&self) -> usize {
        let limited =
            self.servers.values().filter(|server| !matches!(server.state, LimitState::Ended(_)));
        limited.count()
    }
}
