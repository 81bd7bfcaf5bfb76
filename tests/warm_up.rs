//! Servers that have just started take few requests. Routers that each keep to turns of their own are
//! played on virtual time, without network.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{
    Admission, LimitAsk, LimitDemand, LimitNews, LimitPosition, LocalLimits, SharedLimits,
    TurnPlace, WarmingServers,
};
use std::time::Duration;

const SEEDS: u64 = 4;
const STEP_MS: u64 = 5;
const WARM_UP_MS: u64 = 5_000;
/// The users' rule: in one second a server gets at most this many times its rate, and some more.
const WINDOW_MS: u64 = 1_000;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The least part of the rate that is to be used while all routers have calls.
const USED: f64 = 0.9;
const USED_AT_RANDOM: f64 = 0.25;
const SERVERS: usize = 20;
/// How much later than others a router hears that servers are warming up.
const HEARD_MS: u64 = 50;

/// What happens on a day.
#[derive(Debug, Clone, Copy)]
struct Day {
    routers: u32,
    /// Requests a second that a server takes while it is warming up.
    rate: f64,
    /// Calls a second to all routers together for each server.
    calls: f64,
    /// How long no router has any call at first.
    idle_ms: u64,
    /// Whether the leader knows the routers' places.
    placed: bool,
}

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn server(index: usize) -> VmName {
    VmName::new(format!("server-{index}"))
}

fn news(rate: f64, version: u64, place: Option<TurnPlace>) -> LimitNews {
    let servers = (0..SERVERS).map(server).collect();
    LimitNews {
        position: LimitPosition { term: 1, version },
        warming: Some(vec![WarmingServers { rate, servers }]),
        place,
        ..LimitNews::default()
    }
}

/// When each server got requests.
fn play(day: Day, seed: u64) -> Vec<Vec<u64>> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut routers: Vec<LocalLimits> =
        (0..day.routers).map(|_| LocalLimits::new(random.random())).collect();
    for (index, router) in routers.iter_mut().enumerate() {
        router.set_fleet(at(0), day.routers);
        let place = TurnPlace { index: index as u32, count: day.routers };
        let place = Some(place).filter(|_| day.placed);
        let heard = random.random_range(0..=HEARD_MS);
        router.apply(at(heard), at(0), &news(day.rate, 1, place));
    }
    let mut arrivals = vec![Vec::new(); SERVERS];
    let calls = day.calls * STEP_MS as f64 / 1_000.0 / f64::from(day.routers);
    let start = HEARD_MS + day.idle_ms;
    for now in (start..start + WARM_UP_MS).step_by(STEP_MS as usize) {
        for router in &mut routers {
            for (index, arrived) in arrivals.iter_mut().enumerate() {
                let has_call = random.random_bool(calls.min(1.0));
                if has_call && router.take(at(now), &server(index)).is_some() {
                    arrived.push(now);
                }
            }
        }
    }
    arrivals
}

fn most_in_window(arrived: &[u64]) -> usize {
    let ends = arrived.iter().enumerate();
    let count = |(first, start): (usize, &u64)| {
        arrived[first..].iter().take_while(|at| **at < start + WINDOW_MS).count()
    };
    ends.map(count).max().unwrap_or(0)
}

const FEW: Day = Day { routers: 3, rate: 8.4, calls: 1_000.0, idle_ms: 0, placed: true };
const MANY: Day = Day { routers: 83, calls: 20_000.0, ..FEW };

#[rstest]
#[case::few(FEW)]
#[case::few_slow(Day { rate: 1.0, ..FEW })]
#[case::few_fast(Day { rate: 60.0, ..FEW })]
#[case::few_after_idling(Day { idle_ms: 20_000, ..FEW })]
#[case::many(MANY)]
#[case::many_slow(Day { rate: 2.0, ..MANY })]
#[case::many_after_idling(Day { idle_ms: 20_000, ..MANY })]
#[case::few_at_random(Day { placed: false, ..FEW })]
#[case::many_at_random(Day { placed: false, ..MANY })]
#[case::many_at_random_after_idling(Day { placed: false, idle_ms: 20_000, ..MANY })]
#[case::huge(Day { routers: 350, rate: 20.0, calls: 70_000.0, ..FEW })]
fn a_warming_server_gets_few_requests_and_its_share(#[case] day: Day) {
    let allowed = day.rate * OVERSHOOT + SLACK;
    for seed in 1..=SEEDS {
        let arrivals = play(day, seed);
        let most = arrivals.iter().map(|arrived| most_in_window(arrived)).max().unwrap_or(0);
        assert!(most as f64 <= allowed, "seed {seed}: {most} in a second, allowed {allowed}");
        let all: usize = arrivals.iter().map(Vec::len).sum();
        let seconds = WARM_UP_MS as f64 / 1_000.0 * SERVERS as f64;
        let used = all as f64 / (day.rate.min(day.calls) * seconds);
        let wanted = if day.placed { USED } else { USED_AT_RANDOM };
        assert!(used >= wanted, "seed {seed}: {used:.3} of the rate is used");
    }
}

/// Guards against a warm-up that never ends, and against one that ends when the leader changes.
#[test]
fn a_server_is_free_once_the_leader_says_it_is_warm() {
    let mut router = LocalLimits::new(0.99);
    router.set_fleet(at(0), 100);
    router.apply(at(0), at(0), &news(1.0, 1, None));
    assert_eq!(router.admission(at(1), &server(0)), Admission::Dry);
    assert_eq!(router.admission(at(1), &VmName::new("warm")), Admission::Free);
    assert_eq!(router.limit(&server(0)), None);
    let unread = LimitNews {
        position: LimitPosition { term: 2, version: 0 },
        warming: None,
        ..LimitNews::default()
    };
    router.apply(at(2), at(2), &unread);
    assert_eq!(router.admission(at(3), &server(0)), Admission::Dry);
    let warm = LimitNews { warming: Some(Vec::new()), ..unread };
    router.apply(at(4), at(4), &warm);
    assert_eq!(router.admission(at(5), &server(0)), Admission::Free);
}

/// Guards against a router that, cut off from every leader, holds back from servers long since warm.
#[test]
fn what_a_leader_told_ends_some_time_after_its_last_answer() {
    let mut router = LocalLimits::new(0.99);
    router.set_fleet(at(0), 100_000);
    router.apply(at(0), at(0), &news(1.0, 1, None));
    assert_eq!(router.admission(at(30_000), &server(0)), Admission::Dry);
    assert_eq!(router.admission(at(61_000), &server(0)), Admission::Free);
}

/// Guards against calls that ask the leader for tokens that it does not have.
#[test]
fn nothing_is_asked_of_the_leader_for_servers_that_only_warm_up() {
    let mut router = LocalLimits::new(0.99);
    router.apply(at(0), at(0), &news(1.0, 1, None));
    assert!(!router.want(at(1), &server(0)));
    let ask =
        LimitAsk { servers: vec![server(0)], count: 1, rank: 0, lasts: Duration::from_secs(1) };
    assert!(router.report(at(1), vec![ask]).asks.is_empty());
}

#[test]
fn the_leader_tells_of_changes_once_and_of_nothing_before_it_read_the_list() {
    let mut leader = SharedLimits::new(3);
    let router = RouterId { vm: VmName::new("router"), run: 1 };
    let answer = |leader: &mut SharedLimits, known| {
        leader.answer(at(0), &router, known, &Default::default())
    };
    assert_eq!(answer(&mut leader, LimitPosition::default()).warming, None);
    let warming = vec![WarmingServers { rate: 8.4, servers: vec![server(1)] }];
    assert!(leader.set_warming(warming.clone()));
    assert!(!leader.set_warming(warming.clone()));
    let told = answer(&mut leader, LimitPosition { term: 3, version: 0 });
    assert_eq!(told.warming, Some(warming));
    assert_eq!(answer(&mut leader, told.position).warming, None);
    assert!(leader.set_warming(Vec::new()));
    assert_eq!(answer(&mut leader, told.position).warming, Some(Vec::new()));
}

/// Guards against two routers that take the same turns after a change of the leader.
#[test]
fn the_leader_gives_places_once_it_has_heard_of_all_routers() {
    let mut leader = SharedLimits::new(3);
    let router = |index| RouterId { vm: VmName::new(format!("router-{index}")), run: 1 };
    let demand = LimitDemand { fleet: 3, ..LimitDemand::default() };
    leader.set_warming(vec![WarmingServers { rate: 8.4, servers: vec![server(1)] }]);
    let known = LimitPosition::default();
    for (index, expected) in [(0, None), (2, None), (1, Some(TurnPlace { index: 1, count: 3 }))] {
        leader.record(at(0), &router(index), &demand);
        assert_eq!(leader.answer(at(0), &router(index), known, &demand).place, expected);
    }
    leader.record(at(3_000), &router(2), &LimitDemand { fleet: 1, ..LimitDemand::default() });
    let alone = leader.answer(at(3_000), &router(2), known, &demand).place;
    assert_eq!(alone, Some(TurnPlace { index: 0, count: 1 }));
}
