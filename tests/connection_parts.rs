//! The parts of a fleet's routers in the connections that a server accepts, on virtual time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{
    ConnectionParts, ConnectionUse, PART_TTL, floor_part, shared_connections,
};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const REPORT_TICKS: u64 = 10;
const CAP: u32 = 430;

struct Router {
    id: RouterId,
    phase: u64,
    part: Option<(u32, Duration)>,
    open: u32,
    demand: u32,
    frozen_until: u64,
}

struct Fleet {
    random: StdRng,
    routers: Vec<Router>,
    leader: Option<ConnectionParts>,
    tick: u64,
    /// Answers that are lost, of a hundred.
    lost: u32,
}

impl Fleet {
    fn new(seed: u64, count: u32) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let router = |number| Router {
            id: RouterId { vm: VmName::new(format!("router-{number}")), run: 1 },
            phase: random.random_range(0..REPORT_TICKS),
            part: None,
            open: 0,
            demand: 0,
            frozen_until: 0,
        };
        let routers = (0..count).map(router).collect();
        let leader = Some(ConnectionParts::new(Duration::ZERO, Duration::ZERO));
        Self { random, routers, leader, tick: 0, lost: 0 }
    }

    fn count(&self) -> u32 {
        self.routers.len() as u32
    }

    /// Lets 0.1 s pass; returns all open connections.
    fn step(&mut self) -> u32 {
        let (tick, now, fleet) = (self.tick, TICK * self.tick as u32, self.count());
        let floor = floor_part(CAP, fleet);
        for router in self.routers.iter_mut().filter(|router| router.frozen_until <= tick) {
            router.part = router.part.filter(|(_, until)| now < *until);
            let held = router.part.map_or(floor, |(part, _)| part);
            // A tenth of the streams ends; connections beyond the part are closed then.
            router.open = router.demand.min(held).max(router.open * 9 / 10);
            let is_turn = tick % REPORT_TICKS == router.phase;
            let Some(leader) = self.leader.as_mut().filter(|_| is_turn) else { continue };
            let told = ConnectionUse { held, open: router.open, need: router.demand };
            let part = leader.report(now, &router.id, told, (CAP, fleet));
            if self.random.random_range(0..100) >= self.lost {
                router.part = Some((part, now + PART_TTL));
            }
        }
        self.tick += 1;
        self.routers.iter().map(|router| router.open).sum()
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            let open = self.step();
            let most = shared_connections(CAP).max(self.count());
            assert!(open <= most, "{open} of {most} at tick {}", self.tick);
        }
    }

    fn parts(&self) -> u32 {
        self.routers.iter().filter_map(|router| router.part).map(|(part, _)| part).sum()
    }

    fn draw_demand(&mut self) {
        for router in &mut self.routers {
            router.demand = 10_f64.powf(self.random.random_range(-1.0..2.5)) as u32;
        }
    }
}

/// One router has most of the callers: what the others' floors leave is its own, and nothing lies
/// idle.
#[rstest]
fn a_router_that_needs_it_gets_what_the_others_leave(
    #[values(3, 61, 83, 191, 350)] count: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, count);
    fleet.run(8);
    fleet.routers[0].demand = 1_000;
    fleet.run(8);
    let rest = shared_connections(CAP).saturating_sub(floor_part(CAP, count) * (count - 1));
    let open = fleet.routers[0].open;
    assert!(f64::from(open) >= 0.9 * f64::from(rest), "{open} of {rest}");
    let (parts, shared) = (fleet.parts(), shared_connections(CAP));
    assert!(f64::from(parts) >= 0.9 * f64::from(shared), "{parts} of {shared} are given out");
}

/// Guards against a fleet that starts, or learns of a new pool, with its floors only.
#[rstest]
fn a_fleet_that_starts_shares_all_before_a_part_ends(#[values(1, 3, 61, 83, 191)] count: u32) {
    let mut fleet = Fleet::new(11, count);
    fleet.routers.iter_mut().for_each(|router| router.demand = CAP);
    fleet.run(PART_TTL.as_secs());
    let (parts, shared) = (fleet.parts(), shared_connections(CAP));
    assert!(f64::from(parts) >= 0.9 * f64::from(shared), "{parts} of {shared} are given out");
}

/// Guards against a router that starts as a leader is elected, knows of no other one, and is taken for the
/// whole fleet; also where the leader hears of it late.
#[rstest]
fn a_new_leader_gives_nothing_more_before_all_could_report(#[values(0, 900, 1_900)] first_ms: u64) {
    let first = Duration::from_millis(first_ms);
    let mut parts = ConnectionParts::new(Duration::ZERO, first);
    let id = RouterId { vm: VmName::new("router"), run: 1 };
    let floor = floor_part(CAP, 1);
    let told = ConnectionUse { held: floor, open: 0, need: 1_000 };
    let mut report =
        |after: u64| parts.report(first + Duration::from_millis(after), &id, told, (CAP, 1));
    assert_eq!((report(0), report(990)), (floor, floor));
    assert_eq!(report(1_100), shared_connections(CAP));
}

/// One router has 0.3 of all calls, the others like parts of the rest: all of them are served.
#[rstest]
fn uneven_demand_that_fits_is_met(
    #[values(3, 61, 83, 191)] count: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, count);
    fleet.run(8);
    let all = shared_connections(CAP) * 9 / 10;
    for (number, router) in fleet.routers.iter_mut().enumerate() {
        router.demand = if number == 0 { all * 3 / 10 } else { all * 7 / 10 / (count - 1) };
    }
    fleet.run(8);
    for router in &fleet.routers {
        assert!(router.open >= router.demand, "{} of {}", router.open, router.demand);
    }
}

/// Herds, lost answers, routers that freeze and a leader that is lost and comes anew: the sum stays
/// within what is shared.
#[rstest]
fn the_sum_never_exceeds_what_is_shared(
    #[values(3, 61, 83, 191, 350)] count: u32,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, count);
    fleet.lost = 10;
    for round in 0..12 {
        fleet.draw_demand();
        if round % 3 == 1 {
            let (number, ticks) = (fleet.random.random_range(0..count), 60);
            fleet.routers[number as usize].frozen_until = fleet.tick + ticks;
        }
        if round % 4 == 2 {
            fleet.leader = None;
            let seconds = fleet.random.random_range(0..6);
            fleet.run(seconds);
            let now = TICK * fleet.tick as u32;
            fleet.leader = Some(ConnectionParts::new(now, now));
        }
        fleet.run(3);
    }
}

/// Without a leader a part ends by itself, and the floor is left.
#[rstest]
fn a_router_without_the_leader_falls_back_to_its_floor(#[values(3, 83, 350)] count: u32) {
    let mut fleet = Fleet::new(7, count);
    fleet.routers[0].demand = 1_000;
    fleet.run(8);
    fleet.leader = None;
    fleet.run(4);
    assert!(fleet.routers.iter().all(|router| router.part.is_none()));
    let fleet_floor = floor_part(CAP, count);
    fleet.routers.iter_mut().for_each(|router| router.open = 0);
    fleet.step();
    assert_eq!(fleet.routers[0].open, fleet_floor);
}

/// Routers of earlier builds take equal parts and report none: these are left to them.
#[rstest]
fn routers_that_do_not_report_keep_equal_parts(#[values(4, 84, 190)] count: u32) {
    let mut parts = ConnectionParts::new(Duration::ZERO, Duration::ZERO);
    let now = Duration::from_secs(10);
    let equal = (shared_connections(CAP) / count).max(1);
    for number in 0..count / 2 {
        let id = RouterId { vm: VmName::new(format!("router-{number}")), run: 1 };
        let told = ConnectionUse { held: equal, open: 0, need: 1_000 };
        parts.report(now, &id, told, (CAP, count));
    }
    let taken = parts.taken(now, (CAP, count)) + (count - count / 2) * equal;
    assert!(taken <= shared_connections(CAP), "{taken}");
}
