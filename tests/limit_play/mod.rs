//! The leader and the routers that keep the limits of servers together, played on virtual time without
//! network, and two simple ways for comparison: equal parts of each limit, and each router by itself.

#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

mod router;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use router::Router;
use samphireshift::name::VmName;
use samphireshift::policy::{LimitDemand, LimitNews, LimitPosition, SharedLimits};
use std::time::Duration;

const STEP_MS: u64 = 5;
pub const LENGTH_MS: u64 = 40_000;
/// From when on the users' rule counts, and its window.
const GRACE_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
/// One way between a router and the leader.
const DELAY_MS: u64 = 3;
/// The shortest interval between two reports of a router, and the longest that an answer is delayed
/// with and without asks.
const REPORT_MS: u64 = 20;
const HOLD_MS: (u64, u64) = (25, 1_000);
/// Larger fleets are kept waiting for longer, as `daemon/server_limits.rs` does.
const ROUTERS_PER_HOLD: u64 = 16;
const MAX_ASK_HOLD_MS: u64 = 300;
/// After how long a router gives up an exchange.
const TIMEOUT_MS: u64 = 1_500;
/// The shortest time from a request to the head of its answer.
pub const ANSWER_MS: u64 = 10;
/// From when on after an answer the users count what its router sends.
const TOLD_GRACE_MS: u64 = 500;
/// For how long a reading of the VM list leaves servers out.
const UNLISTED_MS: u64 = 1_500;
/// How long a call waits for a token.
const PATIENCE_MS: u64 = 1_500;
/// What happens on a day.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub routers: usize,
    pub servers: usize,
    /// Requests a second that each server takes.
    pub limit: f64,
    /// Calls a second to all routers together.
    pub calls: f64,
    /// The number of routers that get calls; they change every ten seconds.
    pub busy: usize,
    pub trouble: Trouble,
    /// The longest time from a request to the head of its answer, which names the limit of the moment
    /// at which the request came.
    pub answer_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    Nothing,
    /// A new leader, which knows nothing, after a time without any.
    NewLeader,
    /// Some routers do not reach the leader for a time, but still the servers.
    CutOff(usize),
    /// Some routers stand still for a time.
    Frozen(usize),
    /// Some routers start anew.
    Restarted(usize),
    /// The limit falls to a third, rises to three times as much, and ends.
    Changes,
    /// The limit falls to a tenth at once, and rises again.
    FallsByTen,
    /// Readings of the VM list by all routers leave the servers out.
    Unlisted,
    /// The leader's reading of the VM list leaves the servers out for a time.
    UnlistedAtLeader,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    Shared,
    EqualParts,
    EachByItself,
}

/// An exchange of a router with the leader.
#[derive(Debug)]
pub struct Exchange {
    asked_at: u64,
    /// When the answer has to leave at the latest; `None` until the report has arrived.
    held_until: Option<u64>,
    known: LimitPosition,
    demand: LimitDemand,
    /// When the answer arrives.
    answer: Option<(u64, LimitNews)>,
}

/// An answer on its way to a run of a router.
struct Answer {
    sent_at: u64,
    arrives_at: u64,
    router: usize,
    run: u64,
    server: usize,
    limit: Option<f64>,
}

pub struct Play {
    day: Day,
    policy: Policy,
    random: Pcg64Mcg,
    now: u64,
    leader: SharedLimits,
    term: u64,
    leaderless_until: u64,
    pub routers: Vec<Router>,
    /// Answers under way.
    answers: Vec<Answer>,
    /// When requests reached each server.
    arrivals: Vec<Vec<u64>>,
    /// The limit of each moment, in the order of time; infinite where there is none.
    limits: Vec<(u64, f64)>,
    /// The same as the users count: a lower limit binds from half a second after the first answer that
    /// named it on.
    told: Vec<(u64, f64)>,
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis + 1_000)
}

/// The bytes of a message.
fn encoded<T>(message: &T) -> usize
where
    T: serde::Serialize,
{
    postcard::to_stdvec(message).expect("messages serialise").len()
}

pub fn server(index: usize) -> VmName {
    VmName::new(format!("server-{index}"))
}

impl Play {
    pub fn new(day: Day, policy: Policy, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let routers = (0..day.routers).map(|index| Router::new(index, 0, day, random.random()));
        let routers: Vec<Router> = routers.collect();
        Self {
            day,
            policy,
            random,
            now: 0,
            leader: SharedLimits::new(1),
            term: 1,
            leaderless_until: 0,
            routers,
            answers: Vec::new(),
            arrivals: vec![Vec::new(); day.servers],
            limits: vec![(0, day.limit)],
            told: vec![(0, day.limit)],
        }
    }

    pub fn run(mut self) -> Self {
        while self.now < LENGTH_MS {
            self.now += STEP_MS;
            self.trouble();
            self.calls();
            self.answers();
            for index in 0..self.day.routers {
                if self.now >= self.routers[index].stopped_until {
                    self.send(index);
                    self.exchange(index);
                }
            }
            if self.now.is_multiple_of(1_000) {
                let is_unlisted = self.day.trouble == Trouble::UnlistedAtLeader
                    && self.now % 10_000 < UNLISTED_MS;
                self.leader.expire(at(self.now), |_| !is_unlisted);
            }
        }
        self
    }

    fn limit(&self) -> f64 {
        self.limits.last().expect("there is a first limit").1
    }

    fn trouble(&mut self) {
        let some = |count: usize| 0..count;
        match (self.now, self.day.trouble) {
            (10_000 | 20_000, Trouble::NewLeader) => {
                self.term += 1;
                self.leader = SharedLimits::new(self.term);
                self.leaderless_until = self.now + 1_200;
                self.routers.iter_mut().for_each(|router| router.exchange = None);
            }
            (10_000 | 22_000, Trouble::CutOff(count)) => {
                for index in some(count) {
                    self.routers[index].cut_until = self.now + 5_000;
                    self.routers[index].exchange = None;
                }
            }
            (10_000 | 22_000, Trouble::Frozen(count)) => {
                for index in some(count) {
                    self.routers[index].stopped_until = self.now + 5_000;
                }
            }
            (10_000 | 12_000 | 22_000, Trouble::Restarted(count)) => {
                for index in some(count) {
                    let phase = self.random.random();
                    self.routers[index] = Router::new(index, self.now, self.day, phase);
                }
            }
            (10_000 | 25_000, Trouble::FallsByTen) => {
                self.limits.push((self.now, self.day.limit / 10.0));
            }
            (20_000, Trouble::FallsByTen) => self.limits.push((self.now, self.day.limit)),
            (now @ (10_000 | 20_000 | 30_000), Trouble::Unlisted) => {
                self.routers.iter_mut().for_each(|router| router.local.retain(at(now), |_| false));
            }
            (10_000, Trouble::Changes) => self.limits.push((self.now, self.day.limit / 3.0)),
            (20_000, Trouble::Changes) => self.limits.push((self.now, self.day.limit * 3.0)),
            (30_000, Trouble::Changes) => self.limits.push((self.now, f64::INFINITY)),
            _ => {}
        }
    }

    /// Calls arrive at the busy routers.
    fn calls(&mut self) {
        let expected = self.day.calls * STEP_MS as f64 / 1e3;
        let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        let first = (self.now / 10_000) as usize * self.day.busy;
        for _ in 0..count {
            let index = (first + self.random.random_range(0..self.day.busy)) % self.day.routers;
            if self.now >= self.routers[index].stopped_until {
                self.routers[index].waiting.push_back(self.now);
            }
        }
    }

    /// Sends the waiting calls that may be sent.
    fn send(&mut self, index: usize) {
        let (now, first) = (self.now, self.random.random_range(0..self.day.servers));
        let parts = if self.policy == Policy::EqualParts { self.day.routers as f64 } else { 1.0 };
        let rate = self.limit() / parts;
        let limit = Some(self.limit()).filter(|limit| limit.is_finite());
        let router = &mut self.routers[index];
        router.waiting.retain(|arrived| now < arrived + PATIENCE_MS);
        for bucket in &mut router.buckets {
            *bucket = (*bucket + rate * STEP_MS as f64 / 1e3).min(1.0 + rate / 4.0);
        }
        while let Some(arrived) = router.waiting.pop_front() {
            let mut servers = (0..self.day.servers).map(|i| (first + i) % self.day.servers);
            let Some(server) = servers.find(|server| router.may_send(now, *server, self.policy))
            else {
                router.waiting.push_front(arrived);
                return;
            };
            self.arrivals[server].push(now);
            let (run, span) = (router.id.run, ANSWER_MS..=self.day.answer_ms);
            let arrives_at = now + self.random.random_range(span);
            self.answers.push(Answer {
                sent_at: now,
                arrives_at,
                router: index,
                run,
                server,
                limit,
            });
        }
    }

    /// Answers arrive, which name the limit.
    fn answers(&mut self) {
        let now = self.now;
        for answer in self.answers.extract_if(.., |answer| answer.arrives_at <= now) {
            let limit = answer.limit.unwrap_or(f64::INFINITY);
            let told = self.told.last().expect("there is a first limit").1;
            if limit != told && limit == self.limits.last().expect("there is a first limit").1 {
                let grace = if limit < told { TOLD_GRACE_MS } else { 0 };
                self.told.push((now + grace, limit));
            }
            let router = &mut self.routers[answer.router];
            if router.id.run == answer.run && now >= router.stopped_until {
                let (sent_at, name) = (at(answer.sent_at), server(answer.server));
                router.has_news |= router.local.hear(at(now), sent_at, &name, answer.limit);
            }
        }
    }

    /// The exchange of a router with the leader, as far as it is due.
    fn exchange(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        let reaches_leader = now >= router.cut_until && now >= self.leaderless_until;
        let Some(exchange) = &mut router.exchange else {
            if now >= router.next_report && reaches_leader {
                router.begin_exchange(now, self.day);
            }
            return;
        };
        let asks = !exchange.demand.asks.is_empty();
        let is_interrupted = !asks && (router.has_news || !router.waiting.is_empty());
        if now >= exchange.asked_at + TIMEOUT_MS || !reaches_leader || is_interrupted {
            router.exchange = None;
            router.next_report = now + REPORT_MS;
            return;
        }
        if let Some((arrives_at, news)) = &exchange.answer {
            if now >= *arrives_at {
                router.has_news |= router.local.apply(at(now), at(exchange.asked_at), news);
                router.exchange = None;
                router.next_report = now + REPORT_MS;
            }
            return;
        }
        if now < exchange.asked_at + DELAY_MS {
            return;
        }
        let held_until = *exchange.held_until.get_or_insert_with(|| {
            self.leader.record(at(now), &router.id, &exchange.demand);
            let factor = (self.day.routers as u64 / ROUTERS_PER_HOLD).max(1);
            now + if asks { (HOLD_MS.0 * factor).min(MAX_ASK_HOLD_MS) } else { HOLD_MS.1 }
        });
        self.leader.distribute(at(now));
        if now >= held_until || self.leader.has_news(&router.id, exchange.known) {
            let news = self.leader.answer(at(now), &router.id, exchange.known, &exchange.demand);
            router.bytes += encoded(&news);
            exchange.answer = Some((now + DELAY_MS, news));
        }
    }

    /// Requests in the window that is worst by the users' rule, beyond what it allows; negative if
    /// the rule holds.
    pub fn excess(&self) -> f64 {
        self.excess_over(&self.limits)
    }

    /// The same, where a lower limit binds once it was told, as the users count.
    pub fn excess_when_told(&self) -> f64 {
        self.excess_over(&self.told)
    }

    fn excess_over(&self, limits: &[(u64, f64)]) -> f64 {
        let over = |arrivals: &Vec<u64>| {
            let late: Vec<u64> = arrivals.iter().copied().filter(|at| *at >= GRACE_MS).collect();
            let worst = late.iter().map(|start| {
                let count = late.iter().filter(|at| (*start..start + WINDOW_MS).contains(*at));
                count.count() as f64 - 1.5 * allowed(limits, *start, start + WINDOW_MS) - 5.0
            });
            worst.fold(f64::NEG_INFINITY, f64::max)
        };
        self.arrivals.iter().map(over).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The part of all limits that was used.
    pub fn used(&self) -> f64 {
        let end = self.limits.last().filter(|(_, limit)| limit.is_infinite());
        let end = end.map_or(LENGTH_MS, |(at, _)| *at);
        let count = |arrivals: &Vec<u64>| {
            arrivals.iter().filter(|at| (GRACE_MS..end).contains(*at)).count()
        };
        let arrived: usize = self.arrivals.iter().map(count).sum();
        arrived as f64 / (allowed(&self.limits, GRACE_MS, end) * self.day.servers as f64)
    }
}

/// What one server's limits allow in a span of time; infinite if it has none for a part of it.
fn allowed(limits: &[(u64, f64)], from: u64, to: u64) -> f64 {
    let ends = limits.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
    let spans = limits.iter().zip(ends);
    let part = spans.map(|((begin, limit), end)| {
        let millis = to.min(end).saturating_sub(from.max(*begin));
        if millis == 0 { 0.0 } else { limit * millis as f64 / 1e3 }
    });
    part.sum()
}
