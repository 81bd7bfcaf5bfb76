//! Routers that place calls by the reports that they have heard, with or without a gate.

use super::leaders::{Exchange, Leaders};
use super::{Call, Day, Placement, Report, Trouble, ms, organisation};
use super::{ORGANISATIONS, RANKS, WARM_UP_MS};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use samphireshift::name::OrganisationName;
use samphireshift::policy::{OfferedCall, OverloadGate, PoolLoad, ServerLoad};

/// What a router knows of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    report: Option<(u64, Report)>,
    since: i64,
    own: u32,
    lost: bool,
}

/// What comes before the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// Nothing: everything is sent on.
    Fifo,
    /// The gate, by what each router sees.
    Gate,
    /// The gate with the fleet's sums.
    Fleet,
}

/// How often a router is replaced by a new one, in ms.
const RESTART_MS: u64 = 500;

#[derive(Debug)]
struct Router {
    known: Vec<Known>,
    gate: OverloadGate,
    /// When it started: earlier calls are not its own.
    born: u64,
}

/// All routers of a day.
#[derive(Debug)]
pub struct Routers {
    day: Day,
    way: Way,
    routers: Vec<Router>,
    names: Vec<OrganisationName>,
    leaders: Leaders,
    restarts: u64,
}

impl Routers {
    pub fn new(day: &Day, way: Way) -> Self {
        let routers = (0..day.routers).map(|_| Router::new(day, 0)).collect();
        let names = (0..ORGANISATIONS).map(organisation).collect();
        let leaders = Leaders::new(day);
        Self { day: *day, way, routers, names, leaders, restarts: 0 }
    }

    /// What happens without calls until now.
    fn pass(&mut self, now: u64) {
        let lost = now >= WARM_UP_MS && self.day.trouble == Trouble::Restarts;
        while lost && self.restarts < (now - WARM_UP_MS) / RESTART_MS {
            let number = (self.restarts as usize * 7) % self.routers.len();
            let lost: Vec<bool> =
                self.routers[number].known.iter().map(|known| known.lost).collect();
            self.routers[number] = Router::new(&self.day, now);
            for (known, lost) in self.routers[number].known.iter_mut().zip(lost) {
                known.lost = lost;
            }
            self.restarts += 1;
        }
        if self.way != Way::Fleet {
            return;
        }
        while let Some((at, exchange)) = self.leaders.next(now) {
            match exchange {
                Exchange::Ask { router } => {
                    let Router { known, gate, .. } = &self.routers[router];
                    let listed = known.iter().filter(|known| !known.lost);
                    let in_flight: u32 = listed.map(|known| known.own).sum();
                    let report = gate.report(ms(at), f64::from(in_flight));
                    self.leaders.take(at, router, report);
                }
                Exchange::Answer { router, asked_at, news } => {
                    self.routers[router].gate.hear(ms(asked_at), news);
                }
            }
        }
    }
}

impl Router {
    fn new(day: &Day, now: u64) -> Self {
        let known = vec![Known::default(); day.servers];
        Self { known, gate: OverloadGate::new(ms(now)), born: now }
    }
}

fn load(known: &Known, slots: usize, now: u64) -> ServerLoad {
    let (running, waiting) = known.report.map_or((0, 0), |(_, report)| report);
    // As `ServerState::snapshot` has it.
    let busy = ((running + waiting) as f64 + known.since as f64).max(f64::from(known.own));
    let slots = slots as f64;
    ServerLoad {
        busy: busy.max(0.0),
        waiting: (busy - slots).max(0.0),
        slots,
        own_calls: f64::from(known.own),
        age: known.report.map(|(at, _)| ms(now.saturating_sub(at))),
    }
}

impl Placement for Routers {
    fn place(&mut self, now: u64, call: &mut Call, random: &mut Pcg64Mcg) -> Result<usize, u64> {
        self.pass(now);
        let slots = self.day.slots;
        let router = &mut self.routers[call.router];
        let listed = router.known.iter().enumerate().filter(|(_, known)| !known.lost);
        let loads: Vec<(usize, ServerLoad)> =
            listed.map(|(server, known)| (server, load(known, slots, now))).collect();
        let cost = |load: &ServerLoad| (load.busy + 1.0) * random.random_range(1.0..1.15);
        let costs: Vec<f64> = loads.iter().map(|(_, load)| load).map(cost).collect();
        let best =
            (0..loads.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b])).expect("a server");
        let (server, best) = loads[best];
        call.turns = best.turns();
        if self.way != Way::Fifo {
            let all: Vec<ServerLoad> = loads.iter().map(|(_, load)| *load).collect();
            let pool = PoolLoad::new(&all);
            let offered = OfferedCall {
                route: ["first", "second", "third"][call.rank],
                organisation: Some(&self.names[call.organisation]),
                rank: call.rank as u8,
                is_open: best.is_open(),
                by_rank: false,
                target: ms(RANKS[call.rank].3),
                left: ms(call.deadline().saturating_sub(now)),
            };
            let routers = self.day.routers as u32;
            let point = random.random::<f64>();
            router
                .gate
                .offer(ms(now), pool, &offered, point, routers)
                .map_err(|refused| refused.wait.as_millis() as u64)?;
        }
        router.known[server].since += 1;
        router.known[server].own += 1;
        Ok(server)
    }

    fn hear(&mut self, now: u64, call: &Call, server: usize, report: Report) {
        self.pass(now);
        let router = &mut self.routers[call.router];
        if call.sent_at < router.born {
            return;
        }
        router.known[server].report = Some((now, report));
        router.known[server].since = 0;
        router.known[server].own -= 1;
        let time = ms(now - call.sent_at);
        let turns = call.turns.max(load(&router.known[server], self.day.slots, now).turns());
        let route = ["first", "second", "third"][call.rank];
        router.gate.record_first(route, time, turns);
        router.gate.record_whole(ms(now), route, time, turns);
    }

    fn end(&mut self, _now: u64, call: &Call, server: usize) {
        let router = &mut self.routers[call.router];
        if call.sent_at >= router.born {
            router.known[server].own -= 1;
        }
    }

    fn lose(&mut self, from: usize) {
        for router in &mut self.routers {
            router.known[from..].iter_mut().for_each(|known| known.lost = true);
        }
    }
}
