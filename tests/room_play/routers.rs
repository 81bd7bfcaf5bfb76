//! Routers that place calls by the reports that they have heard, with or without a gate.

use super::{Call, Day, Placement, Report, ms, organisation};
use super::{ORGANISATIONS, RANKS};
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
    /// The gate.
    Gate,
}

#[derive(Debug)]
struct Router {
    known: Vec<Known>,
    gate: OverloadGate,
}

/// All routers of a day.
#[derive(Debug)]
pub struct Routers {
    day: Day,
    way: Way,
    routers: Vec<Router>,
    names: Vec<OrganisationName>,
}

impl Routers {
    pub fn new(day: &Day, way: Way) -> Self {
        let new = || Router {
            known: vec![Known::default(); day.servers],
            gate: OverloadGate::new(ms(0)),
        };
        let routers = (0..day.routers).map(|_| new()).collect();
        let names = (0..ORGANISATIONS).map(organisation).collect();
        Self { day: *day, way, routers, names }
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
        if self.way == Way::Gate {
            let all: Vec<ServerLoad> = loads.iter().map(|(_, load)| *load).collect();
            let pool = PoolLoad::new(&all).filter(|_| !best.is_open());
            let offered = OfferedCall {
                route: ["first", "second", "third"][call.rank],
                organisation: Some(&self.names[call.organisation]),
                rank: call.rank as u8,
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
        let router = &mut self.routers[call.router];
        router.known[server].report = Some((now, report));
        router.known[server].since = 0;
        router.known[server].own -= 1;
        let time = ms(now - call.sent_at);
        let turns = call.turns.max(load(&router.known[server], self.day.slots, now).turns());
        let route = ["first", "second", "third"][call.rank];
        router.gate.record_first(route, time, turns);
        router.gate.record_whole(ms(now), route, time, turns);
    }

    fn lose(&mut self, from: usize) {
        for router in &mut self.routers {
            router.known[from..].iter_mut().for_each(|known| known.lost = true);
        }
    }
}
