//! A router that places calls by one of several rules.

use super::{Call, Day, SLOTS, duration, spread_bits};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use samphireshift::policy::{
    CallSize, HomeScope, PlacedCall, PoolLearning, PoolShape, ServerFacts, ServerKey, ServerView,
    WorkPace,
};
use std::collections::HashMap;

/// How long a part counts as kept under the fixed rule, in ms.
const KEPT_MS: f64 = 20_000.0;

/// How servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    RoundRobin,
    LeastLoaded,
    /// By fixed times and one home for each part.
    Fixed,
    /// By what is learned.
    Learned,
    /// The same, with the homes of all parts in the pool or in each data centre.
    LearnedAt(HomeScope),
}

/// What a router knows of a server.
#[derive(Debug, Clone, Default)]
struct Known {
    report: Option<(f64, u32)>,
    since: i64,
    own: u32,
    pending: f64,
    slowness: f64,
    pace: WorkPace,
    sent: HashMap<u64, f64>,
}

/// A call that was sent.
#[derive(Debug)]
struct Sent {
    at: f64,
    new_tokens: f64,
    expected_ms: f64,
    placed: Option<PlacedCall>,
    first: Option<(f64, f64)>,
}

#[derive(Debug)]
pub struct Router {
    day: Day,
    rule: Rule,
    data_centre: usize,
    turn: usize,
    known: Vec<Known>,
    learning: PoolLearning,
    sent: HashMap<usize, Sent>,
}

impl Router {
    pub fn new(day: &Day, rule: Rule, index: usize) -> Self {
        let known = Known { slowness: 1.0, ..Known::default() };
        Self {
            day: *day,
            rule,
            data_centre: index % day.data_centres,
            turn: index,
            known: vec![known; day.servers],
            learning: PoolLearning::default(),
            sent: HashMap::new(),
        }
    }

    fn is_near(&self, server: usize) -> bool {
        server % self.day.data_centres == self.data_centre
    }

    /// The server that a call is sent to.
    pub fn send(&mut self, call: &Call, id: usize, now: f64, random: &mut Pcg64Mcg) -> usize {
        let size = CallSize { parts: &call.parts, answer: call.answer };
        let (server, placed) = match self.rule {
            Rule::RoundRobin => {
                self.turn += 1;
                (self.turn % self.day.servers, None)
            }
            Rule::LeastLoaded => (self.least(|known| busy(known) as f64, random), None),
            Rule::Fixed => (self.fixed(call, now, random), None),
            Rule::Learned | Rule::LearnedAt(_) => self.learned(&size, now, random),
        };
        let new_tokens = match placed {
            Some(placed) => placed.new_tokens,
            None => self.uncached(server, call, now),
        };
        if let Some(placed) = placed {
            self.learning.count(&size, &placed, duration(now));
        }
        let expected_ms = match placed {
            Some(placed) => placed.first_ms,
            None => self.view(server, new_tokens).baseline_wait(),
        };
        let known = &mut self.known[server];
        known.since += 1;
        known.own += 1;
        known.pending += new_tokens;
        call.parts.iter().for_each(|part| {
            known.sent.insert(part.0, now);
        });
        self.sent.insert(id, Sent { at: now, new_tokens, expected_ms, placed, first: None });
        server
    }

    fn least<F>(&self, cost: F, random: &mut Pcg64Mcg) -> usize
    where
        F: Fn(&Known) -> f64,
    {
        let cost = |known: &Known| cost(known) + random.random::<f64>() / 10.0;
        let costs: Vec<f64> = self.known.iter().map(cost).collect();
        (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b])).expect("servers")
    }

    fn uncached(&self, server: usize, call: &Call, now: f64) -> f64 {
        let sent = &self.known[server].sent;
        let is_kept = |part: &&(u64, u32)| sent.get(&part.0).is_some_and(|at| now - at < KEPT_MS);
        let kept = call.parts.iter().take_while(is_kept).count();
        call.parts[kept..].iter().map(|part| f64::from(part.1)).sum()
    }

    fn view(&self, server: usize, uncached_tokens: f64) -> ServerView {
        let known = &self.known[server];
        ServerView {
            busy: busy(known) as f64,
            slots: SLOTS as f64,
            pending_tokens: known.pending,
            uncached_tokens,
            slowness: known.slowness,
            failure_rate: 0.0,
            local: self.is_near(server),
        }
    }

    fn fixed(&self, call: &Call, now: f64, random: &mut Pcg64Mcg) -> usize {
        let part = call.parts[1].0;
        let home = (0..self.day.servers).max_by_key(|server| score(part, *server));
        let cost = |server: usize| {
            let fraction = if home == Some(server) { 0.1 } else { 1.0 };
            let view = self.view(server, self.uncached(server, call, now) * fraction);
            view.expected_wait()
        };
        let costs: Vec<f64> = (0..self.day.servers)
            .map(|server| cost(server) * random.random_range(1.0..1.15))
            .collect();
        (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b])).expect("servers")
    }

    fn learned(
        &self,
        call: &CallSize<'_>,
        now: f64,
        random: &mut Pcg64Mcg,
    ) -> (usize, Option<PlacedCall>) {
        let shape = PoolShape {
            servers: self.day.servers,
            data_centres: self.day.data_centres,
            slots: SLOTS as f64,
            memory: self.day.memory_tokens(),
            routers: self.day.routers as f64,
        };
        let view = self.learning.view(call, None, shape, duration(now));
        let key = |server: usize| ServerKey {
            hash: spread_bits(server as u64),
            near: self.is_near(server),
        };
        let keys: Vec<ServerKey> = (0..self.day.servers).map(key).collect();
        let homes = view.home_chances(call, &keys, self.weighed_way());
        let rate = |server: usize| {
            let known = &self.known[server];
            let facts = ServerFacts {
                reported: known.report.map(|(at, busy)| (f64::from(busy), duration(now - at))),
                since: known.since as f64,
                own_calls: f64::from(known.own),
                slots: SLOTS as f64,
                pending_tokens: known.pending,
                failure_rate: 0.0,
                pace: known.pace,
                way_ms: if self.is_near(server) { 0.0 } else { self.day.way_ms },
            };
            let sent = |part: u64| known.sent.get(&part).map(|at| duration(now - at));
            view.rate(&facts, call, homes[server], sent, duration(now))
        };
        let placed: Vec<PlacedCall> = (0..self.day.servers).map(rate).collect();
        let cost = |placed: &PlacedCall| placed.cost * random.random_range(1.0..1.03);
        let costs: Vec<f64> = placed.iter().map(cost).collect();
        let best = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        let best = best.expect("servers");
        (best, Some(placed[best]))
    }

    /// The way as it is weighed for homes.
    fn weighed_way(&self) -> f64 {
        match self.rule {
            Rule::LearnedAt(HomeScope::Pool) => f64::NEG_INFINITY,
            Rule::LearnedAt(HomeScope::DataCentre) => f64::INFINITY,
            _ => self.day.way_ms,
        }
    }

    /// The first event has come. Returns when it was expected, in ms after the call.
    pub fn first(
        &mut self,
        call: usize,
        server: usize,
        load: u32,
        pace: f64,
        now: f64,
    ) -> Option<f64> {
        let sent = self.sent.get_mut(&call)?;
        let known = &mut self.known[server];
        (known.report, known.since) = (Some((now, load)), 0);
        known.pending -= sent.new_tokens;
        let ms = now - sent.at;
        let ratio = (ms / sent.expected_ms).clamp(0.3, 20.0);
        known.slowness = (known.slowness * 0.85 + ratio * 0.15).max(0.3);
        known.pace.read(pace, duration(now));
        self.learning.hear(Some(pace), f64::from(load.saturating_sub(1)));
        let server_pace = pace * known.pace.ratio(duration(now));
        sent.first = Some((now, server_pace));
        if let Some(placed) = &sent.placed {
            let ratio = self.learning.first_event(None, placed, ms, server_pace).ratio;
            let before = known.pace.ratio(duration(now));
            known.pace.observe(ratio * before, duration(now));
        }
        Some(sent.expected_ms)
    }

    pub fn end(&mut self, call: usize, server: usize, now: f64) {
        let known = &mut self.known[server];
        known.since -= 1;
        known.own -= 1;
        let Some(sent) = self.sent.remove(&call) else { return };
        if let (Some(placed), Some((first, pace))) = (sent.placed, sent.first) {
            let seconds = (now - sent.at) / 1e3;
            self.learning.finish(None, &placed, now - first, seconds, pace);
        }
    }
}

fn busy(known: &Known) -> i64 {
    let reported = known.report.map_or(0, |report| i64::from(report.1));
    (reported + known.since).max(i64::from(known.own))
}

fn score(part: u64, server: usize) -> u64 {
    spread_bits(part ^ spread_bits(server as u64))
}
