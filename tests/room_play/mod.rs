//! A seeded load without network on virtual time: calls of several ranks and organisations, routers that
//! each see a part of all answers, and servers with places and queues. A [`Placement`] is a router's
//! way to place calls; [`one_scheduler::all_knowing`] is one scheduler that knows everything.

#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

pub mod leaders;
pub mod one_scheduler;
pub mod routers;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::name::OrganisationName;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Ranks, with the weight of an answer in time, the part of the calls, the mean time at a server in
/// ms, the target for the whole answer and the deadline in ms.
pub const RANKS: [(u32, f64, f64, u64, u64); 3] =
    [(4, 0.3, 40.0, 1_000, 2_500), (2, 0.4, 60.0, 1_500, 4_000), (1, 0.3, 120.0, 2_500, 6_000)];
/// Organisations; each has a share of the calls that falls with its number.
pub const ORGANISATIONS: usize = 20;
/// The longest queue of a server, as a multiple of its places.
const QUEUE_FACTOR: usize = 40;
/// From when on answers count, in ms: before, routers learn what is usual.
pub const WARM_UP_MS: u64 = 12_000;

/// What happens on a day.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub routers: usize,
    pub servers: usize,
    pub slots: usize,
    /// Offered work before the burst, as a part of what the servers can do.
    pub usual: f64,
    /// All calls are multiplied by this from the end of the warm-up on.
    pub burst: f64,
    /// The calls of the largest organisation as well.
    pub hot: f64,
    /// The part of the servers that is lost then.
    pub lost: f64,
    /// The part of the callers that repeat a refused call at once, three times.
    pub storm: f64,
    /// How old the load is that an answer tells, in ms: between these.
    pub lag_ms: (u64, u64),
    /// What happens to routers and leaders.
    pub trouble: Trouble,
    pub length_ms: u64,
}

/// What happens to routers and leaders from the end of the warm-up on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// Each 500 ms a router is replaced by one that knows nothing, whose calls at the servers go on.
    Restarts,
    /// No leader answers, for good.
    NoLeader,
    /// No leader answers for 3 s; then a new one knows nothing.
    NewLeader,
    /// Half of the routers report to another leader.
    TwoLeaders,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    pub arrives: u64,
    pub rank: usize,
    pub organisation: usize,
    pub router: usize,
    /// The time that it takes at a server, in ms.
    pub work: u64,
    pub tries: u32,
    /// Calls that waited for each place at its server when it was sent, as its router saw it.
    pub turns: f64,
    pub sent_at: u64,
    /// Whether it waits in a server's queue.
    queued: bool,
    stubborn: bool,
}

impl Call {
    pub fn target(&self) -> u64 {
        self.arrives + RANKS[self.rank].3
    }

    pub fn deadline(&self) -> u64 {
        self.arrives + RANKS[self.rank].4
    }
}

/// A load report: running, waiting.
pub type Report = (usize, usize);

/// How routers place calls.
pub trait Placement {
    /// The server for a call, or in how many ms its caller may come back.
    fn place(&mut self, now: u64, call: &mut Call, random: &mut Pcg64Mcg) -> Result<usize, u64>;
    /// A router gets an answer's load report, at its end.
    fn hear(&mut self, now: u64, call: &Call, server: usize, report: Report);
    /// A call ended without an answer: its server was lost or full, or its time was over.
    fn end(&mut self, now: u64, call: &Call, server: usize);
    /// Servers from this one on are lost.
    fn lose(&mut self, from: usize);
}

/// What came of the calls of a group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    pub offered: u32,
    pub in_time: u32,
    pub served: u32,
    pub refused: u32,
}

/// What came of a play, by rank and organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    pub groups: Vec<Vec<Outcome>>,
}

impl Sums {
    fn new() -> Self {
        Self { groups: vec![vec![Outcome::default(); ORGANISATIONS]; RANKS.len()] }
    }

    /// Answers in time, weighed by rank.
    pub fn goodput(&self) -> f64 {
        let weigh = |(rank, group): (usize, &Vec<Outcome>)| {
            let in_time: u32 = group.iter().map(|outcome| outcome.in_time).sum();
            f64::from(RANKS[rank].0 * in_time)
        };
        self.groups.iter().enumerate().map(weigh).sum()
    }

    pub fn total<F>(&self, is_in: F) -> Outcome
    where
        F: Fn(usize, usize) -> bool,
    {
        let mut total = Outcome::default();
        for (rank, group) in self.groups.iter().enumerate() {
            for (_, outcome) in group.iter().enumerate().filter(|(name, _)| is_in(rank, *name)) {
                total.offered += outcome.offered;
                total.in_time += outcome.in_time;
                total.served += outcome.served;
                total.refused += outcome.refused;
            }
        }
        total
    }
}

pub fn organisation(number: usize) -> OrganisationName {
    OrganisationName::new(format!("org-{number}"))
}

/// The part of the calls that an organisation sends.
fn share(number: usize) -> f64 {
    let weight = |number: usize| 1.0 / (number + 2) as f64;
    weight(number) / (0..ORGANISATIONS).map(weight).sum::<f64>()
}

/// All calls of a day, in the order of their arrival.
pub fn arrivals(day: &Day, seed: u64) -> Vec<Call> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mean: f64 = RANKS.iter().map(|rank| rank.1 * rank.2).sum();
    let usual = day.usual * (day.servers * day.slots) as f64 / mean;
    let mut calls = Vec::new();
    for number in 0..ORGANISATIONS {
        let mut at = 0.0;
        loop {
            let is_busy = at >= WARM_UP_MS as f64;
            let hot = if number == 0 { day.hot } else { 1.0 };
            let rate = usual * share(number) * if is_busy { day.burst * hot } else { 1.0 };
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            if at >= day.length_ms as f64 {
                break;
            }
            let point = random.random::<f64>();
            let rank = [RANKS[0].1, RANKS[0].1 + RANKS[1].1].iter().filter(|p| point > **p).count();
            // The sum of two exponential times varies as answers of one kind do.
            let spread =
                -(random.random::<f64>().max(1e-9) * random.random::<f64>().max(1e-9)).ln();
            calls.push(Call {
                arrives: at as u64,
                rank,
                organisation: number,
                router: random.random_range(0..day.routers),
                work: (RANKS[rank].2 * spread / 2.0).max(1.0) as u64,
                tries: 0,
                turns: 0.0,
                sent_at: 0,
                queued: false,
                stubborn: random.random::<f64>() < day.storm,
            });
        }
    }
    calls.sort_by_key(|call| call.arrives);
    calls
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
    lost: bool,
    /// What the server would have reported, and when.
    past: Vec<(u64, Report)>,
}

impl Server {
    fn note(&mut self, now: u64) {
        self.past.push((now, (self.running, self.queue.len())));
    }

    fn report_of(&self, time: u64) -> Report {
        let next = self.past.partition_point(|(at, _)| *at <= time);
        self.past[..next].last().map_or((0, 0), |(_, report)| *report)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Offer(usize),
    End { server: usize, call: usize },
    Leave { server: usize, call: usize },
    Lose,
}

/// Plays a day. A caller comes back once after a refusal, as asked for, but after a third of its time
/// left at the latest.
pub fn play(day: &Day, seed: u64, placement: &mut dyn Placement) -> Sums {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 1);
    let mut calls = arrivals(day, seed);
    let mut servers: Vec<Server> = (0..day.servers).map(|_| Server::default()).collect();
    let mut sums = Sums::new();
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    events.extend(
        calls.iter().enumerate().map(|(id, call)| Reverse((call.arrives, Event::Offer(id)))),
    );
    let first_lost = day.servers - (day.servers as f64 * day.lost) as usize;
    events.push(Reverse((WARM_UP_MS, Event::Lose)));
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Lose => {
                servers[first_lost..].iter_mut().for_each(|server| server.lost = true);
                placement.lose(first_lost);
            }
            Event::Offer(id) => {
                let call = &mut calls[id];
                let counts = call.arrives >= WARM_UP_MS;
                let outcome = &mut sums.groups[call.rank][call.organisation];
                outcome.offered += u32::from(counts && call.tries == 0);
                call.tries += 1;
                call.sent_at = now;
                match placement.place(now, call, &mut random) {
                    Err(wait) => {
                        outcome.refused += u32::from(counts && call.tries == 1);
                        let left = call.deadline().saturating_sub(now);
                        let most = if call.stubborn { 4 } else { 2 };
                        let wait = if call.stubborn { 20 } else { wait.min(left / 3) };
                        if call.tries < most && left > 0 {
                            events.push(Reverse((now + wait.max(1), Event::Offer(id))));
                        }
                    }
                    Ok(server) if servers[server].lost => placement.end(now, call, server),
                    Ok(server) if servers[server].running < day.slots => {
                        servers[server].running += 1;
                        servers[server].note(now);
                        let end = Event::End { server, call: id };
                        events.push(Reverse((now + call.work, end)));
                    }
                    Ok(server) if servers[server].queue.len() < QUEUE_FACTOR * day.slots => {
                        servers[server].queue.push_back(id);
                        servers[server].note(now);
                        call.queued = true;
                        let leave = Event::Leave { server, call: id };
                        events.push(Reverse((call.deadline().max(now), leave)));
                    }
                    Ok(server) => placement.end(now, call, server),
                }
            }
            // It is skipped once its turn comes.
            Event::Leave { server, call } if calls[call].queued => {
                placement.end(now, &calls[call], server);
            }
            Event::Leave { .. } => {}
            Event::End { server, call } => {
                let state = &mut servers[server];
                state.running -= 1;
                let next = loop {
                    match state.queue.pop_front() {
                        // Its caller has left.
                        Some(next) if calls[next].deadline() <= now => {}
                        next => break next,
                    }
                };
                if let Some(next) = next.filter(|_| !state.lost) {
                    state.running += 1;
                    calls[next].queued = false;
                    let end = Event::End { server, call: next };
                    events.push(Reverse((now + calls[next].work, end)));
                }
                if state.lost {
                    continue;
                }
                state.note(now);
                let lag = random.random_range(day.lag_ms.0..=day.lag_ms.1);
                let report = state.report_of(now.saturating_sub(lag));
                placement.hear(now, &calls[call], server, report);
                let done = &calls[call];
                if done.arrives >= WARM_UP_MS {
                    let outcome = &mut sums.groups[done.rank][done.organisation];
                    outcome.in_time += u32::from(now <= done.target());
                    outcome.served += u32::from(now <= done.deadline());
                }
            }
        }
    }
    sums
}

/// Virtual time as the policies want it.
pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}
