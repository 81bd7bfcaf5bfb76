//! A seeded load without network on virtual time: routers that each see a part of all answers, and servers
//! of different and changing speed that keep parts of prompts in a memory that calls share.

#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

pub mod router;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use router::{Router, Rule};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// How fast a usual server reads prompts, in tokens a ms, begins, and writes a token, in ms.
const READ_TOKENS_PER_MS: f64 = 40.0;
const BEGIN_MS: f64 = 36.0;
const TOKEN_MS: f64 = 6.5;
pub const SLOTS: usize = 16;
/// Speeds of servers, as multiples of the usual time.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// How often a server is slowed by others on its machine, how much, and for how long.
const SLOWED: (f64, f64, u64) = (0.15, 2.5, 600);
/// Tokens of a prompt's parts: of the first, of the second, and of the call's own.
pub const PART_TOKENS: [u32; 3] = [2_000, 4_000, 1_500];
const FIRST_PARTS: u64 = 4;
pub const SECOND_PARTS: u64 = 300;
/// From when on calls count, in ms: before, routers learn.
const COUNTED_FROM_MS: f64 = 12_000.0;

/// What happens on a day.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub routers: usize,
    pub servers: usize,
    pub data_centres: usize,
    /// Calls a second.
    pub calls: f64,
    /// The part of the calls that have the same second part.
    pub hot: f64,
    /// What the servers' memory holds of all second parts, in a hundred.
    pub memory: f64,
    /// How old the load is that an answer tells, in ms.
    pub lag_ms: f64,
    pub length_ms: f64,
    /// What the way to another data centre costs, in ms.
    pub way_ms: f64,
}

impl Day {
    /// Tokens that a server's memory holds.
    pub fn memory_tokens(&self) -> u64 {
        let all = SECOND_PARTS as f64 * f64::from(PART_TOKENS[1]);
        (all * self.memory / 100.0 / self.servers as f64) as u64 + 60_000
    }
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    pub router: usize,
    pub parts: Vec<(u64, u32)>,
    pub answer: u32,
    pub sent_at: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrival,
    First(usize, usize),
    End(usize, usize),
}

#[derive(Debug, Default)]
struct Server {
    speed: f64,
    slowed: Vec<bool>,
    running: BTreeMap<usize, f64>,
    queue: VecDeque<usize>,
    reader_free_at: f64,
    /// Kept parts, the longest unused first.
    kept: VecDeque<(u64, u32)>,
    told: Option<(f64, u32)>,
}

impl Server {
    fn pace(&self, now: f64) -> f64 {
        let window = (now as u64 / SLOWED.2) as usize % self.slowed.len();
        if self.slowed[window] { self.speed * SLOWED.1 } else { self.speed }
    }

    /// Tokens of the prompt that are to be read; its parts are kept from then on.
    fn read(&mut self, parts: &[(u64, u32)], memory: f64) -> f64 {
        let is_kept = |part: &&(u64, u32)| self.kept.iter().any(|kept| kept.0 == part.0);
        let known = parts.iter().take_while(is_kept).count();
        for part in parts {
            self.kept.retain(|kept| kept.0 != part.0);
            self.kept.push_back(*part);
        }
        let used: f64 = self.running.values().sum();
        let mut total: f64 = self.kept.iter().map(|part| f64::from(part.1)).sum();
        while total + used > memory {
            let Some(part) = self.kept.pop_front() else { break };
            total -= f64::from(part.1);
        }
        parts[known..].iter().map(|part| f64::from(part.1)).sum()
    }
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times to the first event, in ms, sorted.
    pub first_ms: Vec<f64>,
    /// Ratios of measured to expected times to the first event, sorted.
    pub ratios: Vec<f64>,
    /// Tokens of shared parts read, as a part of all of them.
    pub read_again: f64,
    /// The part of the calls that were sent to another data centre.
    pub away: f64,
}

impl Outcome {
    pub fn first(&self, quantile: f64) -> f64 {
        self.first_ms[(self.first_ms.len() as f64 * quantile) as usize]
    }

    pub fn median_ratio(&self) -> f64 {
        self.ratios[self.ratios.len() / 2]
    }
}

/// Plays a day with several seeds, and so other homes, in which all routers follow a rule.
pub fn play(day: &Day, rule: Rule, seeds: Range<u64>) -> Outcome {
    let mut all = Outcome::default();
    let count = (seeds.end - seeds.start) as f64;
    for seed in seeds {
        let one = Play::new(day, rule, seed).run();
        all.first_ms.extend(one.first_ms);
        all.ratios.extend(one.ratios);
        all.read_again += one.read_again / count;
        all.away += one.away / count;
    }
    all.first_ms.sort_unstable_by(f64::total_cmp);
    all.ratios.sort_unstable_by(f64::total_cmp);
    all
}

struct Play {
    day: Day,
    random: Pcg64Mcg,
    seed: u64,
    servers: Vec<Server>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    kinds: Vec<Event>,
    outcome: Outcome,
    shared: (f64, f64),
    away: (f64, f64),
}

impl Play {
    fn new(day: &Day, rule: Rule, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let server = |index: usize| Server {
            speed: SPEEDS[index % SPEEDS.len()],
            slowed: (0..256).map(|_| random.random_bool(SLOWED.0)).collect(),
            ..Server::default()
        };
        let servers = (0..day.servers).map(server).collect();
        let routers = (0..day.routers).map(|index| Router::new(day, rule, index)).collect();
        Self {
            day: *day,
            random,
            seed,
            servers,
            routers,
            calls: Vec::new(),
            events: BinaryHeap::new(),
            kinds: Vec::new(),
            outcome: Outcome::default(),
            shared: (0.0, 0.0),
            away: (0.0, 0.0),
        }
    }

    fn at(&mut self, time: f64, event: Event) {
        self.kinds.push(event);
        self.events.push(Reverse(((time * 1e3) as u64, self.kinds.len() - 1)));
    }

    fn run(mut self) -> Outcome {
        self.at(1.0, Event::Arrival);
        while let Some(Reverse((time, index))) = self.events.pop() {
            let now = time as f64 / 1e3;
            match self.kinds[index] {
                Event::Arrival => self.arrive(now),
                Event::First(server, call) => self.first(now, server, call),
                Event::End(server, call) => self.end(now, server, call),
            }
        }
        self.outcome.read_again = self.shared.0 / self.shared.1;
        self.outcome.away = self.away.0 / self.away.1;
        self.outcome
    }

    fn arrive(&mut self, now: f64) {
        let next = now - (1.0 - self.random.random::<f64>()).ln() * 1e3 / self.day.calls;
        if next < self.day.length_ms {
            self.at(next, Event::Arrival);
        }
        let is_hot = self.random.random_bool(self.day.hot);
        let second = if is_hot { 0 } else { self.random.random_range(1..SECOND_PARTS) };
        let (router, id) = (self.random.random_range(0..self.day.routers), self.calls.len() as u64);
        let parts = [second % FIRST_PARTS + 1_000_000, second, id + 2_000_000];
        let spread = self.random.random_range(0.5..1.5);
        let own = (f64::from(PART_TOKENS[2]) * spread) as u32;
        let tokens = [PART_TOKENS[0], PART_TOKENS[1], own];
        let salt = spread_bits(self.seed);
        let parts = parts.into_iter().map(|id| spread_bits(id) ^ salt).zip(tokens).collect();
        let answer = self.random.random_range(20..100);
        self.calls.push(Call { router, parts, answer, sent_at: now });
        let call = self.calls.len() - 1;
        let server = self.routers[router].send(&self.calls[call], call, now, &mut self.random);
        if now >= COUNTED_FROM_MS {
            self.away.1 += 1.0;
            let own = router % self.day.data_centres;
            self.away.0 += f64::from(u8::from(server % self.day.data_centres != own));
        }
        self.servers[server].queue.push_back(call);
        self.start(now, server);
    }

    fn start(&mut self, now: f64, index: usize) {
        while self.servers[index].running.len() < SLOTS {
            let Some(call) = self.servers[index].queue.pop_front() else { return };
            let memory = self.day.memory_tokens() as f64;
            let (parts, answer) = (&self.calls[call].parts, f64::from(self.calls[call].answer));
            let size = parts.iter().map(|part| f64::from(part.1)).sum::<f64>() + answer;
            let own = parts.last().map_or(0.0, |part| f64::from(part.1));
            let server = &mut self.servers[index];
            server.running.insert(call, answer);
            let new = server.read(parts, memory);
            if now >= COUNTED_FROM_MS {
                self.shared.0 += new - own;
                self.shared.1 += size - own - answer;
            }
            let pace = server.pace(now);
            let began = server.reader_free_at.max(now);
            server.reader_free_at = began + new / READ_TOKENS_PER_MS * pace;
            let first = server.reader_free_at + BEGIN_MS * pace;
            let end = first + answer * TOKEN_MS * pace;
            self.at(first, Event::First(index, call));
            self.at(end, Event::End(index, call));
        }
    }

    fn first(&mut self, now: f64, index: usize, call: usize) {
        let server = &mut self.servers[index];
        let busy = (server.running.len() + server.queue.len()) as u32;
        let told = server.told.filter(|(at, _)| now - at < self.day.lag_ms).unwrap_or((now, busy));
        server.told = Some(told);
        let pace = server.pace(now);
        let sent = &self.calls[call];
        let ms = now - sent.sent_at;
        let expected = self.routers[sent.router].first(call, index, told.1, pace, now);
        if sent.sent_at >= COUNTED_FROM_MS {
            self.outcome.first_ms.push(ms);
            expected.into_iter().for_each(|expected| self.outcome.ratios.push(ms / expected));
        }
    }

    fn end(&mut self, now: f64, index: usize, call: usize) {
        self.servers[index].running.remove(&call);
        let router = self.calls[call].router;
        self.routers[router].end(call, index, now);
        self.start(now, index);
    }
}

pub fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// An id as random as those of real parts.
pub fn spread_bits(id: u64) -> u64 {
    let id = (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (id ^ (id >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
