//! A router's side of the limits that servers name: what it has heard, and the tokens that it holds.
//! See [`SharedLimits`](super::SharedLimits) for the leader's side.

use super::local_limit::LocalLimit;
use super::{
    Admission, FleetSize, HeardLimit, KnownLimit, LimitAsk, LimitChange, LimitDemand,
    LimitKnowledge, LimitNews, LimitPosition, LimitSource, OwnShare, SENT_RANK, SendToken,
    ServerPace, TokenCount, TokenSource, WarmUps,
};
use crate::name::VmName;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a token may be used, from when the router asked for it.
const TOKEN_TTL: Duration = Duration::from_secs(1);
/// Without a response of the leader for this long, the router takes its own part of each limit. The
/// leader leaves that part out sooner, see [`SILENT_AFTER`](super::SILENT_AFTER).
const FALL_BACK_AFTER: Duration = Duration::from_millis(2_500);
/// How long a call that went to another server, as there was no token, shows demand for one.
const WANT_TTL: Duration = Duration::from_secs(1);
/// The most tokens that are asked for because of such calls, for one server.
const MAX_WANTED: u32 = 8;
/// Limits from which on nothing is limited, in requests a second.
const MAX_LIMIT: f64 = 10_000.0;
/// How long a limit is kept while its server is not in the VM list: a reading of the list may leave out
/// servers that are there, and a server that comes back is still limited.
pub const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Changes that are kept for the log.
const MAX_CHANGES: usize = 64;

/// Limits, tokens and demand of one router.
#[derive(Debug)]
pub struct LocalLimits {
    /// Where this router's own parts begin, as a fraction of their interval: those of different
    /// routers should not all begin at once.
    phase: f64,
    servers: BTreeMap<VmName, LocalLimit>,
    /// What the leader's last answer told.
    position: LimitPosition,
    /// The same, of the last answer that said which servers are cold.
    listed_at: Option<LimitPosition>,
    /// When the last report that was answered was sent.
    answered_at: Option<Duration>,
    fleet: FleetSize,
    warm_ups: WarmUps,
    /// Changes that have not been logged.
    changes: Vec<LimitChange>,
}

impl LocalLimits {
    /// Knows no limits yet; `phase`, from 0 to 1, should differ from router to router.
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            servers: BTreeMap::new(),
            position: LimitPosition::default(),
            listed_at: None,
            answered_at: None,
            fleet: FleetSize::default(),
            warm_ups: WarmUps::new(phase.to_bits()),
            changes: Vec::new(),
        }
    }

    /// Records what a response says of its server's limit, in requests a second; `sent_at` is when
    /// the call was sent. Returns whether the leader has to know of it at once.
    pub fn hear(
        &mut self,
        now: Duration,
        sent_at: Duration,
        server: &VmName,
        limit: Option<f64>,
    ) -> bool {
        let limit = limit.filter(|limit| *limit < MAX_LIMIT);
        let Some(known) = self.servers.get_mut(server) else {
            let Some(limit) = limit else { return false };
            let known = LocalLimit { unreported: true, ..LocalLimit::new(now, limit, now) };
            self.servers.insert(server.clone(), known);
            let age = now.saturating_sub(sent_at);
            self.note(server, LimitKnowledge::Named(limit), LimitSource::Answer, age);
            return true;
        };
        let is_news = match limit {
            Some(limit) => known.hear(now, sent_at, limit),
            None => known.hear_none(now, sent_at),
        };
        let state = limit.map_or(LimitKnowledge::Ended, LimitKnowledge::Named);
        if is_news {
            self.note(server, state, LimitSource::Answer, now.saturating_sub(sent_at));
        }
        is_news
    }

    /// Keeps a change for the log.
    fn note(&mut self, server: &VmName, state: LimitKnowledge, source: LimitSource, age: Duration) {
        if self.changes.len() < MAX_CHANGES {
            let server = server.clone();
            self.changes.push(LimitChange { server, state, source, age });
        }
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// The limit of a server, in requests a second; `None` without one.
    pub fn limit(&self, server: &VmName) -> Option<f64> {
        self.servers.get(server).map(|known| known.limit)
    }

    /// The number of servers with a limit.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// The servers that are cold.
    pub fn warm_ups(&self) -> &WarmUps {
        &self.warm_ups
    }

    /// The servers that are cold, for changes.
    pub fn warm_ups_mut(&mut self) -> &mut WarmUps {
        &mut self.warm_ups
    }

    /// Sets the number of routers that the leader has told of.
    pub fn set_fleet(&mut self, now: Duration, routers: u32) {
        self.fleet.set(now, routers);
        self.warm_ups.set_fleet(self.fleet());
    }

    fn fleet(&self) -> u32 {
        self.fleet.routers()
    }

    /// Whether a request may be sent to a server now.
    pub fn admission(&mut self, now: Duration, server: &VmName) -> Admission {
        match (self.limit_admission(now, server), self.warm_ups.admission(now, server)) {
            (Admission::Dry, _) | (_, Admission::Dry) => Admission::Dry,
            (Admission::Free, Admission::Free) => Admission::Free,
            (Admission::Ready, _) | (_, Admission::Ready) => Admission::Ready,
        }
    }

    fn limit_admission(&mut self, now: Duration, server: &VmName) -> Admission {
        let (starts_at, fleet, phase) = (self.own_from(), self.fleet(), self.phase);
        let Some(known) = self.servers.get_mut(server) else { return Admission::Free };
        known.drop_expired(now);
        let has_own = |known: &mut LocalLimit| {
            now >= starts_at && known.share.is_due(now, starts_at, known.interval(fleet), phase)
        };
        match !known.tokens.is_empty() || has_own(known) {
            true => Admission::Ready,
            false => Admission::Dry,
        }
    }

    /// Takes a token for a server, if there is one.
    pub fn take(&mut self, now: Duration, server: &VmName) -> Option<SendToken> {
        if self.admission(now, server) != Admission::Ready {
            return None;
        }
        let fleet = self.fleet();
        self.warm_ups.take(server);
        let Some(known) = self.servers.get_mut(server) else {
            return Some(SendToken { expires_at: now + TOKEN_TTL, source: TokenSource::WarmUp });
        };
        if let Some(expires_at) = known.tokens.pop_front() {
            return Some(SendToken { expires_at, source: TokenSource::Leader });
        }
        known.share.take(known.interval(fleet));
        Some(SendToken { expires_at: now + TOKEN_TTL, source: TokenSource::OwnPart })
    }

    /// Whether a token may still be used.
    pub fn is_valid(&self, now: Duration, token: SendToken) -> bool {
        now < token.expires_at
    }

    /// Gives a token back that was not used.
    pub fn give_back(&mut self, now: Duration, server: &VmName, token: SendToken) {
        if let Some(known) = self.servers.get_mut(server).filter(|_| now < token.expires_at) {
            known.tokens.push_front(token.expires_at);
        }
    }

    /// Records that a call would have gone to a server, had there been a token. Returns whether that
    /// is news.
    pub fn want(&mut self, now: Duration, server: &VmName) -> bool {
        let Some(known) = self.servers.get_mut(server) else { return false };
        if now >= known.wanted_at + WANT_TTL {
            known.wanted = 0;
        }
        known.wanted_at = now;
        known.wanted = (known.wanted + 1).min(MAX_WANTED);
        known.wanted == 1
    }

    /// From when on this router takes its own parts, unless a leader answers.
    fn own_from(&self) -> Duration {
        self.answered_at.unwrap_or_default() + FALL_BACK_AFTER
    }

    /// Tokens a second that this router may expect of a server for calls of this rank. The leader gives
    /// those that were sent before each token first, whichever router they wait at.
    pub fn expected_rate(&self, now: Duration, server: &VmName, rank: u8) -> f64 {
        let fleet = self.fleet();
        let warm_up = self.warm_ups.rate(now, server);
        let Some(known) = self.servers.get(server) else { return warm_up.unwrap_or(0.0) };
        let own = known.limit / f64::from(fleet);
        let has_leader = now < self.own_from();
        let limit = match known.pace {
            _ if !has_leader => own,
            _ if rank == SENT_RANK => known.limit,
            Some(pace) => pace,
            None => own,
        };
        limit.min(warm_up.unwrap_or(f64::MAX))
    }

    /// The state of the limits that this router knows.
    pub fn position(&self) -> LimitPosition {
        self.position
    }

    /// What is to be reported now; `asks` are the tokens that waiting calls need.
    pub fn report(&self, now: Duration, mut asks: Vec<LimitAsk>) -> LimitDemand {
        let heard = |(name, known): (&VmName, &LocalLimit)| HeardLimit {
            server: name.clone(),
            limit: (!known.has_ended).then_some(known.limit),
            age: now.saturating_sub(known.said_at),
        };
        let unreported = self.servers.iter().filter(|(_, known)| known.unreported);
        let heard = unreported.map(heard).collect();
        // The leader has no tokens for servers that are only warming up.
        asks.iter_mut()
            .for_each(|ask| ask.servers.retain(|server| self.servers.contains_key(server)));
        asks.retain(|ask| !ask.servers.is_empty());
        let is_wanted = |known: &LocalLimit| known.wanted > 0 && now < known.wanted_at + WANT_TTL;
        let wanted = self.servers.iter().filter(|(_, known)| is_wanted(known));
        asks.extend(wanted.map(|(name, known)| LimitAsk {
            servers: vec![name.clone()],
            count: known.wanted,
            rank: u8::MAX,
            lasts: (known.wanted_at + WANT_TTL).saturating_sub(now),
        }));
        LimitDemand { heard, asks, fleet: self.fleet() }
    }

    /// Takes in the leader's answer to the report that was sent at `asked_at`. Returns whether there
    /// is something to report to it.
    pub fn apply(&mut self, now: Duration, asked_at: Duration, news: &LimitNews) -> bool {
        self.answered_at = Some(asked_at);
        if news.warming.is_some() {
            self.listed_at = Some(news.position);
        }
        // An answer without a list tells of no change since that position.
        let knows_list = self.listed_at == Some(news.position);
        self.warm_ups.confirm(now, asked_at, knows_list);
        if let Some(warming) = &news.warming {
            self.warm_ups.set_place(news.place);
            let same_term = news.position.term == self.position.term;
            self.warm_ups.replace(now, asked_at, same_term, warming);
        }
        for known in self.servers.values_mut() {
            known.unreported &= known.changed_at > asked_at;
            known.share = OwnShare::default();
        }
        let is_new_leader = news.position.term != self.position.term;
        if is_new_leader {
            self.servers.values_mut().for_each(|known| known.unreported = true);
        }
        // A leader that tells of no limit though nothing has changed for it has not heard of this one.
        let is_unheard = news.position == self.position;
        self.position = news.position;
        let mut has_unheard = false;
        let age = now.saturating_sub(asked_at);
        for KnownLimit { server, limit } in &news.limits {
            let known = self.servers.get(server).filter(|known| !known.has_ended);
            let state = match (known, limit) {
                (Some(known), _) if known.unreported => None,
                (Some(_), None) if is_unheard => None,
                (Some(known), Some(limit)) if known.limit == *limit => None,
                (_, Some(limit)) => Some(LimitKnowledge::Named(*limit)),
                (Some(_), None) => Some(LimitKnowledge::Ended),
                (None, None) => None,
            };
            if let Some(state) = state {
                self.note(server, state, LimitSource::Leader, age);
            }
            match (self.servers.get_mut(server), limit) {
                // What this router has heard since is newer.
                (Some(known), _) if known.unreported => {}
                (Some(known), Some(limit)) => known.set_limit(*limit),
                (Some(known), None) if is_unheard => {
                    (known.unreported, has_unheard) = (true, true);
                }
                (Some(_), None) => {
                    self.servers.remove(server);
                }
                (None, Some(limit)) => {
                    self.servers.insert(server.clone(), LocalLimit::new(now, *limit, asked_at));
                }
                (None, None) => {}
            }
        }
        for TokenCount { server, count } in &news.tokens {
            if let Some(known) = self.servers.get_mut(server) {
                known.wanted = known.wanted.saturating_sub(*count);
                let expiries = std::iter::repeat_n(asked_at + TOKEN_TTL, *count as usize);
                known.tokens.extend(expiries);
            }
        }
        for ServerPace { server, rate, routers } in &news.paces {
            if let Some(known) = self.servers.get_mut(server) {
                known.pace = Some(rate / f64::from((*routers).max(1)));
            }
        }
        has_unheard || (is_new_leader && !self.servers.is_empty())
    }

    /// Forgets servers that have not been in the VM list for long.
    pub fn retain<F>(&mut self, now: Duration, is_listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        let mut gone = Vec::new();
        for (server, known) in &mut self.servers {
            let is_listed = is_listed(server);
            let since = known.unlisted_since.filter(|_| !is_listed).unwrap_or(now);
            known.unlisted_since = (!is_listed).then_some(since);
            if now >= since + UNLISTED_TTL {
                gone.push((server.clone(), now.saturating_sub(since)));
            }
        }
        for (server, age) in gone {
            self.servers.remove(&server);
            self.note(&server, LimitKnowledge::Forgotten, LimitSource::VmList, age);
        }
        self.warm_ups.retain(now, is_listed);
    }
}
