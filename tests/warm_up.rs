//! Servers that have just started take few requests. Routers that each keep to turns of their own are
//! played on virtual time, without network.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{
    Admission, LimitAsk, LimitDemand, LimitNews, LimitPosition, LocalLimits, SharedLimits,
    TurnPlace, WarmUpBounds, WarmingServers,
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
/// The least part of what chance lets meet that is to be used where calls are few.
const USED_BY_FEW: f64 = 0.5;
const SERVERS: usize = 20;
/// How much later than others a router hears that servers are warming up.
const HEARD_MS: u64 = 50;

/// How far the time of day is ahead of the routers' own time.
const DAY: Duration = Duration::from_secs(20_000 * 86_400);

/// How the routers come to know.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Source {
    /// The leader tells them.
    Leader,
    /// Each holds it by itself, for the whole day.
    Own,
    /// Each holds it by itself until the leader tells, a second later.
    OwnThenLeader,
}

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
    source: Source,
    /// A router hears up to this much later than others. It sends nothing before.
    heard_ms: u64,
    bounds: WarmUpBounds,
    /// By how much the clocks of routers' machines differ from the leader's at most.
    skew_ms: u64,
    /// How long half an exchange with the leader takes at most, if it has told its time.
    told_ms: Option<u64>,
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

/// A router that has its place, and the moment when it hears of cold servers.
fn router(day: Day, index: u32, random: &mut Pcg64Mcg) -> (LocalLimits, u64) {
    let mut router = LocalLimits::new(random.random());
    router.set_fleet(at(0), day.routers);
    router.warm_ups_mut().set_bounds(day.bounds);
    let place = TurnPlace { index, count: day.routers };
    router.warm_ups_mut().set_place(Some(place).filter(|_| day.placed));
    let skew = random.random_range(0..=day.skew_ms);
    router.warm_ups_mut().set_day_offset(DAY + Duration::from_millis(skew));
    if let Some(told_ms) = day.told_ms {
        let mut message = || Duration::from_millis(random.random_range(0..=told_ms));
        let (there, back) = (message(), message());
        router.warm_ups_mut().hear_time(at(0), at(0) - there - back, at(0) - back + DAY);
    }
    (router, random.random_range(0..=day.heard_ms / STEP_MS) * STEP_MS)
}

fn learn(router: &mut LocalLimits, index: u32, day: Day, heard: u64, now: u64) {
    let place = TurnPlace { index, count: day.routers };
    let told = news(day.rate, 1, Some(place).filter(|_| day.placed));
    let told_at = match day.source {
        Source::Leader => Some(heard),
        Source::Own => None,
        Source::OwnThenLeader => Some(heard + 1_000),
    };
    if now == heard && day.source != Source::Leader {
        let lasts = Duration::from_secs(50);
        for index in 0..SERVERS {
            let warm_ups = router.warm_ups_mut();
            warm_ups.presume(at(heard), &server(index), day.rate, lasts, false);
        }
    }
    if told_at == Some(now) {
        router.apply(at(now), at(0), &told);
    }
}

/// When each server got requests.
fn play(day: Day, seed: u64) -> Vec<Vec<u64>> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut routers: Vec<(LocalLimits, u64)> =
        (0..day.routers).map(|index| router(day, index, &mut random)).collect();
    let mut arrivals = vec![Vec::new(); SERVERS];
    let calls = day.calls * STEP_MS as f64 / 1_000.0 / f64::from(day.routers);
    let end = day.heard_ms + day.idle_ms + WARM_UP_MS;
    for now in (0..end).step_by(STEP_MS as usize) {
        for (index, (router, heard)) in routers.iter_mut().enumerate() {
            learn(router, index as u32, day, *heard, now);
            if now <= *heard || now < day.idle_ms {
                continue;
            }
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

/// The part of the usable rate that a few calls make up if they meet turns by chance: each meets one for
/// as long as it is kept.
fn least_meeting(day: Day) -> f64 {
    let turns = day.rate * day.bounds.placed_fraction(day.rate) / f64::from(day.routers);
    let meeting = (turns * day.bounds.kept(day.rate).as_secs_f64()).min(1.0);
    (day.calls * meeting / day.rate.min(day.calls)).min(1.0)
}

fn most_in_window(arrived: &[u64]) -> usize {
    let ends = arrived.iter().enumerate();
    let count = |(first, start): (usize, &u64)| {
        arrived[first..].iter().take_while(|at| **at < start + WINDOW_MS).count()
    };
    ends.map(count).max().unwrap_or(0)
}

const FEW: Day = Day {
    routers: 3,
    rate: 8.4,
    calls: 1_000.0,
    idle_ms: 0,
    placed: true,
    source: Source::Leader,
    heard_ms: HEARD_MS,
    bounds: WarmUpBounds { overshoot: OVERSHOOT, slack: SLACK },
    skew_ms: 0,
    told_ms: None,
};
const MANY: Day = Day { routers: 83, calls: 20_000.0, ..FEW };
const MORE: Day = Day { routers: 191, calls: 40_000.0, ..FEW };
const HUGE: Day = Day { routers: 350, calls: 70_000.0, ..FEW };
/// Less and more room than the users' rule leaves.
const TIGHT: WarmUpBounds = WarmUpBounds { overshoot: 1.1, slack: 4.0 };
const WIDE: WarmUpBounds = WarmUpBounds { overshoot: 3.0, slack: 20.0 };
/// Servers that come back under the load of an ordinary day, and as the one that everybody wants.
const ORDINARY: f64 = 4.0;
const WANTED: f64 = 32.0;

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
#[case::huge(Day { rate: 20.0, ..HUGE })]
#[case::few_tight(Day { bounds: TIGHT, ..FEW })]
#[case::many_tight(Day { bounds: TIGHT, ..MANY })]
#[case::many_tight_after_idling(Day { bounds: TIGHT, idle_ms: 20_000, ..MANY })]
#[case::more_tight_heard_unlike(Day { bounds: TIGHT, heard_ms: 3_000, ..MORE })]
#[case::many_wide(Day { bounds: WIDE, ..MANY })]
#[case::many_wide_at_random(Day { bounds: WIDE, placed: false, ..MANY })]
#[case::few_heard_unlike(Day { heard_ms: 3_000, ..FEW })]
#[case::many_heard_unlike(Day { heard_ms: 100, ..MANY })]
#[case::many_heard_more_unlike(Day { heard_ms: 3_000, ..MANY })]
#[case::more_heard_unlike(Day { heard_ms: 1_000, ..MORE })]
#[case::huge_heard_unlike(Day { heard_ms: 3_000, ..HUGE })]
#[case::few_by_themselves(Day { source: Source::Own, ..FEW })]
#[case::many_by_themselves(Day { source: Source::Own, heard_ms: 3_000, ..MANY })]
#[case::many_by_themselves_at_random(Day { source: Source::Own, placed: false, ..MANY })]
#[case::many_told_later(Day { source: Source::OwnThenLeader, heard_ms: 1_000, ..MANY })]
#[case::more_told_later(Day { source: Source::OwnThenLeader, heard_ms: 3_000, ..MORE })]
#[case::huge_told_later(Day { source: Source::OwnThenLeader, heard_ms: 3_000, ..HUGE })]
#[case::many_with_wrong_clocks(Day { skew_ms: 10_000, told_ms: Some(20), ..MANY })]
#[case::many_with_wrong_clocks_after_idling(
    Day { skew_ms: 2_000, told_ms: Some(20), idle_ms: 20_000, ..MANY }
)]
#[case::huge_with_wrong_clocks_after_idling(
    Day { skew_ms: 60_000, told_ms: Some(50), idle_ms: 20_000, ..HUGE }
)]
#[case::few_wanted(Day { calls: WANTED, source: Source::Own, heard_ms: 1_000, ..FEW })]
#[case::many_wanted(Day { calls: WANTED, source: Source::Own, heard_ms: 1_000, ..MANY })]
#[case::huge_wanted(Day { calls: WANTED, source: Source::Own, heard_ms: 1_000, ..HUGE })]
#[case::few_ordinary(Day { calls: ORDINARY, source: Source::Own, heard_ms: 1_000, ..FEW })]
#[case::huge_ordinary(Day { calls: ORDINARY, source: Source::Own, heard_ms: 1_000, ..HUGE })]
fn a_warming_server_gets_few_requests_and_its_share(#[case] day: Day) {
    let allowed = day.bounds.allowed(day.rate);
    for seed in 1..=SEEDS {
        let arrivals = play(day, seed);
        let most = arrivals.iter().map(|arrived| most_in_window(arrived)).max().unwrap_or(0);
        assert!(most as f64 <= allowed, "seed {seed}: {most} in a second, allowed {allowed}");
        let late = |at: &&u64| **at >= day.heard_ms + day.idle_ms;
        let all: usize = arrivals.iter().map(|arrived| arrived.iter().filter(late).count()).sum();
        let seconds = WARM_UP_MS as f64 / 1_000.0 * SERVERS as f64;
        let used = all as f64 / (day.rate.min(day.calls) * seconds);
        let wanted = match day.calls <= WANTED {
            // Where calls are fewer than turns, a router may have none when its turn comes.
            true => USED_BY_FEW * least_meeting(day),
            false if day.placed => USED,
            false => USED_AT_RANDOM,
        };
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
