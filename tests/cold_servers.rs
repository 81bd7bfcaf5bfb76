//! Servers that turn cold before the platform's list says so: routers, leader and servers of a fleet
//! on virtual time, without network.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::{DataCentre, VmName};
use samphireshift::policy::{
    Admission, ColdServer, ColdSign, LimitDemand, LimitNews, LimitPosition, LocalLimits,
    SharedLimits, WarmingServers, Witness,
};
use std::collections::HashMap;
use std::time::Duration;

const SEEDS: u64 = 3;
const STEP_MS: u64 = 5;
const SERVERS: usize = 12;
/// Servers of which each has an outage; the others stay warm.
const LOST: usize = 4;
/// The outage, and how long a server is cold after it.
const DOWN_MS: std::ops::Range<u64> = 1_000..4_000;
const COLD_MS: u64 = 3_000;
/// How late the list tells.
const LIST_LAG_MS: u64 = 2_000;
/// How long a message takes at most.
const MESSAGE_MS: u64 = 60;
const RATE: f64 = 8.4;
const ALLOWED: f64 = RATE * 1.5 + 5.0;
/// Calls a second to each server, and to the one that all routers want.
const CALLS: f64 = 4.0;
const WANTED: f64 = 32.0;
/// The pauses of a router after it could not connect.
const PAUSE_MS: (u64, u64) = (250, 3_000);
/// As routers hold it, see the design note.
const PRESUMED: Duration = Duration::from_secs(6);

/// How routers find that a server is down.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Sharing {
    /// The leader tells all of what one has found.
    Shared,
    /// The leader cannot be reached.
    Alone,
}

struct FleetRouter {
    id: RouterId,
    limits: LocalLimits,
    /// Pauses of servers: the number in a row, and the end of the last.
    pauses: HashMap<usize, (u32, u64)>,
    /// When each answer of the leader arrives.
    next_news: u64,
}

struct Fleet {
    routers: Vec<FleetRouter>,
    leader: SharedLimits,
    /// Reports on their way: when they arrive, and the server.
    reports: Vec<(u64, usize)>,
    random: Pcg64Mcg,
}

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn server(index: usize) -> VmName {
    VmName::new(format!("server-{index}"))
}

fn is_down(index: usize, now: u64) -> bool {
    index < LOST && DOWN_MS.contains(&now)
}

fn witness(router: usize, data_centre: usize) -> Witness {
    Witness {
        vm: VmName::new(format!("router-{router}")),
        data_centre: DataCentre::new(format!("dc-{data_centre}")),
    }
}

/// What the list says: nothing of servers that are down.
fn listed(now: u64) -> Vec<WarmingServers> {
    let is_cold = (DOWN_MS.end..DOWN_MS.end + COLD_MS).contains(&now.saturating_sub(LIST_LAG_MS));
    let mut servers: Vec<VmName> = (0..LOST).map(server).collect();
    servers.sort_unstable();
    if is_cold { vec![WarmingServers { rate: RATE, servers }] } else { Vec::new() }
}

impl Fleet {
    fn new(count: u32, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let router = |index| {
            let mut limits = LocalLimits::new(random.random());
            limits.set_fleet(at(0), count);
            let id = RouterId { vm: VmName::new(format!("router-{index}")), run: 1 };
            FleetRouter { id, limits, pauses: HashMap::new(), next_news: 0 }
        };
        let routers: Vec<_> = (0..count).map(router).collect();
        Self { routers, leader: SharedLimits::new(1), reports: Vec::new(), random }
    }

    /// The exchange with the leader that every router has, at least every second and soon after news.
    fn share(&mut self, now: u64) {
        self.leader.set_warming(listed(now));
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.reports.drain(..).partition(|(arrives, _)| *arrives <= now);
        self.reports = waiting;
        for (_, index) in arrived {
            let cold = ColdServer {
                server: server(index),
                rate: RATE,
                lasts: PRESUMED,
                sign: ColdSign::Answer,
            };
            self.leader.presume_cold(at(now), &witness(0, 0), &[cold]);
        }
        self.leader.expire(at(now), |_| true);
        let fleet = self.routers.len() as u32;
        for router in &mut self.routers {
            let demand = LimitDemand { fleet, ..LimitDemand::default() };
            self.leader.record(at(now), &router.id, &demand);
            let known = router.limits.position();
            if now < router.next_news || !self.leader.has_news(&router.id, known) {
                continue;
            }
            let news = self.leader.answer(at(now), &router.id, known, &demand);
            router.limits.apply(at(now), at(now), &news);
            // Places come with other answers too.
            let place = self.leader.place(at(now), &router.id);
            router.limits.warm_ups_mut().set_place(place);
            router.next_news = now + self.random.random_range(5..=MESSAGE_MS);
        }
    }

    /// One router's call that would go to this server. Returns whether it arrives.
    fn call(&mut self, now: u64, router: usize, index: usize) -> bool {
        let FleetRouter { limits, pauses, .. } = &mut self.routers[router];
        if pauses.get(&index).is_some_and(|(_, until)| now < *until) {
            return false;
        }
        match limits.admission(at(now), &server(index)) {
            Admission::Dry => return false,
            Admission::Ready => drop(limits.take(at(now), &server(index))),
            Admission::Free => {}
        }
        if !is_down(index, now) {
            pauses.remove(&index);
            return true;
        }
        let (count, _) = pauses.get(&index).copied().unwrap_or_default();
        let pause = (PAUSE_MS.0 << count.min(8)).min(PAUSE_MS.1);
        pauses.insert(index, (count + 1, now + pause));
        limits.warm_ups_mut().presume(at(now), &server(index), RATE, PRESUMED, false);
        self.reports.push((now + self.random.random_range(5..=MESSAGE_MS), index));
        false
    }

    /// When each server got requests.
    fn play(&mut self, sharing: Sharing, length_ms: u64) -> Vec<Vec<u64>> {
        let mut arrivals = vec![Vec::new(); SERVERS];
        for now in (0..length_ms).step_by(STEP_MS as usize) {
            if sharing == Sharing::Shared || now == 0 {
                self.share(now);
            }
            for (index, arrived) in arrivals.iter_mut().enumerate() {
                let calls = if index == 0 { WANTED } else { CALLS };
                if self.random.random_bool(calls * STEP_MS as f64 / 1_000.0) {
                    let router = self.random.random_range(0..self.routers.len());
                    if self.call(now, router, index) {
                        arrived.push(now);
                    }
                }
            }
        }
        arrivals
    }
}

fn most_in_a_second(arrived: &[u64], span: std::ops::Range<u64>) -> usize {
    let within: Vec<u64> = arrived.iter().copied().filter(|at| span.contains(at)).collect();
    let count =
        |start: &u64| within.iter().filter(|at| (*start..start + 1_000).contains(*at)).count();
    within.iter().map(count).max().unwrap_or(0)
}

/// Guards against servers that come back empty and get all that they had, before the list says that
/// they are cold.
#[rstest]
#[case::few(3)]
#[case::many(83)]
#[case::more(191)]
#[case::huge(350)]
fn a_server_that_was_down_gets_few_requests_from_the_first_moment(#[case] routers: u32) {
    for seed in 1..=SEEDS {
        let mut fleet = Fleet::new(routers, seed);
        let arrivals = fleet.play(Sharing::Shared, 14_000);
        for (index, arrived) in arrivals.iter().enumerate().take(LOST) {
            let most = most_in_a_second(arrived, DOWN_MS.end..DOWN_MS.end + COLD_MS);
            assert!(most as f64 <= ALLOWED, "seed {seed}: server {index} got {most} in a second");
        }
        let ordinary: usize = arrivals[1..LOST].iter().map(Vec::len).sum();
        let untouched: usize = arrivals[LOST..].iter().map(Vec::len).sum();
        let part =
            ordinary as f64 / (LOST - 1) as f64 / (untouched as f64 / (SERVERS - LOST) as f64);
        // A server of an ordinary load is away for 3 s of the 14, and slower to return afterwards.
        assert!(part >= 0.35, "seed {seed}: {part:.2} of what the others got");
        for router in &mut fleet.routers {
            let admission = router.limits.admission(at(14_000), &server(0));
            assert_eq!(admission, Admission::Free, "seed {seed}");
        }
    }
}

/// Guards against a server that is held to be cold for good where no leader answers.
#[test]
fn routers_without_a_leader_hold_a_server_to_be_cold_for_a_while() {
    let mut fleet = Fleet::new(3, 1);
    let arrivals = fleet.play(Sharing::Alone, 20_000);
    let span = DOWN_MS.end..DOWN_MS.end + COLD_MS;
    for arrived in &arrivals[..LOST] {
        assert!(most_in_a_second(arrived, span.clone()) as f64 <= ALLOWED);
    }
    let late = arrivals[0].iter().filter(|at| **at >= 16_000).count();
    assert!(late as f64 >= 0.8 * WANTED * 4.0, "{late} requests");
}

/// Guards against a leader's list that is lost on the way: what is presumed ends with the list's word.
#[test]
fn the_list_ends_what_routers_presume_once_it_has_shown_the_server_as_cold() {
    let mut leader = SharedLimits::new(1);
    let cold =
        ColdServer { server: server(1), rate: RATE, lasts: PRESUMED, sign: ColdSign::Answer };
    leader.presume_cold(at(0), &witness(0, 0), std::slice::from_ref(&cold));
    let router = RouterId { vm: VmName::new("router"), run: 1 };
    let warming = |leader: &mut SharedLimits| {
        leader.answer(at(0), &router, Default::default(), &LimitDemand::default()).warming
    };
    assert_eq!(warming(&mut leader), None);
    assert!(leader.set_warming(Vec::new()));
    let group = WarmingServers { rate: RATE, servers: vec![server(1)] };
    assert_eq!(warming(&mut leader), Some(vec![group.clone()]));
    assert!(!leader.set_warming(vec![group]));
    assert!(leader.set_warming(Vec::new()));
    assert_eq!(warming(&mut leader), Some(Vec::new()));
    assert!(leader.presume_cold(at(1_000), &witness(0, 0), &[cold]));
    assert!(!leader.expire(at(6_900), |_| true));
    assert!(leader.expire(at(7_100), |_| true));
    assert_eq!(warming(&mut leader), Some(Vec::new()));
}

/// Guards against turns without end at servers that have just been listed.
#[test]
fn a_new_server_is_free_once_a_leader_has_answered_since() {
    let mut limits = LocalLimits::new(0.99);
    limits.set_fleet(at(0), 100);
    let lasts = Duration::from_secs(3);
    assert!(limits.warm_ups_mut().presume(at(0), &server(0), RATE, lasts, true));
    assert!(!limits.warm_ups_mut().presume(at(1), &server(0), RATE, lasts, true));
    assert_eq!(limits.admission(at(2), &server(0)), Admission::Dry);
    let unread = LimitNews::default();
    limits.apply(at(10), at(5), &unread);
    assert_eq!(limits.admission(at(11), &server(0)), Admission::Dry, "it had not read the list");
    let position = LimitPosition { term: 1, version: 1 };
    let read = LimitNews { position, warming: Some(Vec::new()), ..LimitNews::default() };
    limits.apply(at(20), at(0), &read);
    assert_eq!(limits.admission(at(21), &server(0)), Admission::Dry, "it was asked before");
    // Nothing has changed since, so the list is not told again.
    limits.apply(at(40), at(30), &LimitNews { warming: None, ..read.clone() });
    assert_eq!(limits.admission(at(41), &server(0)), Admission::Free);
    limits.warm_ups_mut().presume(at(50), &server(1), RATE, lasts, true);
    limits.apply(at(70), at(60), &read);
    assert_eq!(limits.admission(at(71), &server(1)), Admission::Free);
}

/// Guards against a cold server that gets calls without bound after one reading of the list left it out.
#[test]
fn a_server_that_the_list_leaves_out_for_a_while_stays_cold() {
    let group = WarmingServers { rate: RATE, servers: vec![server(0)] };
    let position = LimitPosition { term: 1, version: 1 };
    let told = LimitNews { position, warming: Some(vec![group]), ..LimitNews::default() };
    let mut limits = LocalLimits::new(0.99);
    limits.set_fleet(at(0), 100_000);
    limits.apply(at(20), at(10), &told);
    limits.retain(at(1_000), |_| false);
    limits.retain(at(2_000), |_| true);
    assert_eq!(limits.admission(at(2_001), &server(0)), Admission::Dry);
    limits.retain(at(3_000), |_| false);
    limits.apply(at(62_000), at(61_990), &LimitNews { warming: None, ..told.clone() });
    limits.retain(at(62_900), |_| false);
    assert_eq!(limits.warm_ups().count(), 1);
    limits.retain(at(63_100), |_| false);
    assert_eq!(limits.warm_ups().count(), 0);
}

/// Guards against a router behind a cut link that holds sound servers back from the whole fleet.
#[rstest]
#[case::alone(&[(0, 0, 0), (1_000, 0, 0)], false)]
#[case::two(&[(0, 0, 0), (1_000, 1, 0)], true)]
#[case::two_long_apart(&[(0, 0, 0), (7_000, 1, 0)], false)]
#[case::two_of_a_data_centre(&[(0, 0, 0), (1_000, 1, 0), (1_100, 2, 0)], false)]
#[case::two_data_centres(&[(0, 0, 0), (100, 1, 0), (200, 2, 0), (1_000, 3, 2)], true)]
fn a_server_that_is_silent_to_one_place_is_not_told_of(
    #[case] reports: &[(u64, usize, usize)],
    #[case] is_told: bool,
) {
    let mut leader = SharedLimits::new(1);
    leader.set_warming(Vec::new());
    let sign = ColdSign::Silence;
    let cold = ColdServer { server: server(0), rate: RATE, lasts: PRESUMED, sign };
    let has_several = reports.len() > 2;
    let mut is_news = false;
    for (now, router, data_centre) in reports {
        if has_several {
            // A router of another data centre reports too, and finds nothing silent.
            leader.presume_cold(at(*now), &witness(9, 1), &[]);
        }
        let witness = witness(*router, *data_centre);
        is_news |= leader.presume_cold(at(*now), &witness, std::slice::from_ref(&cold));
    }
    let mut other = LocalLimits::new(0.99);
    other.set_fleet(at(0), 100_000);
    let id = RouterId { vm: VmName::new("other"), run: 1 };
    let news = leader.answer(at(7_000), &id, LimitPosition::default(), &LimitDemand::default());
    other.apply(at(7_000), at(6_990), &news);
    let expected = if is_told { Admission::Dry } else { Admission::Free };
    assert_eq!((is_news, other.admission(at(7_001), &server(0))), (is_told, expected));
}

/// Guards against a new leader, that has heard of nothing, whose first list ends what routers know.
#[test]
fn a_router_keeps_what_it_found_when_the_leader_changes() {
    let group = WarmingServers { rate: RATE, servers: vec![server(0)] };
    let told = |term, version, warming: &[WarmingServers]| LimitNews {
        position: LimitPosition { term, version },
        warming: Some(warming.to_vec()),
        ..LimitNews::default()
    };
    let mut limits = LocalLimits::new(0.99);
    limits.set_fleet(at(0), 100_000);
    limits.warm_ups_mut().presume(at(0), &server(0), RATE, PRESUMED, false);
    limits.apply(at(20), at(10), &told(1, 1, std::slice::from_ref(&group)));
    limits.apply(at(1_020), at(1_010), &told(2, 1, &[]));
    assert_eq!(limits.admission(at(1_030), &server(0)), Admission::Dry);
    limits.apply(at(1_120), at(1_110), &told(2, 2, &[group]));
    limits.apply(at(2_020), at(2_010), &told(2, 3, &[]));
    assert_eq!(limits.admission(at(2_030), &server(0)), Admission::Free);
}

/// Guards against a panic by a server that says it is cold for longer than time can be counted.
#[test]
fn a_server_that_says_it_is_cold_for_ever_is_held_so_for_a_minute() {
    let mut limits = LocalLimits::new(0.99);
    limits.set_fleet(at(0), 100_000);
    assert!(limits.warm_ups_mut().presume(at(0), &server(0), RATE, Duration::MAX, false));
    assert_eq!(limits.admission(at(59_000), &server(0)), Admission::Dry);
    assert_eq!(limits.admission(at(61_000), &server(0)), Admission::Free);
    let mut leader = SharedLimits::new(1);
    leader.set_warming(Vec::new());
    let cold =
        ColdServer { server: server(0), rate: RATE, lasts: Duration::MAX, sign: ColdSign::Answer };
    assert!(leader.presume_cold(at(0), &witness(0, 0), &[cold]));
    assert!(leader.expire(at(61_000), |_| true));
}

/// Guards against an answer that overtook the one in which the server said that it is cold.
#[test]
fn only_an_answer_to_a_later_call_ends_what_a_server_said() {
    let mut limits = LocalLimits::new(0.99);
    limits.set_fleet(at(0), 100);
    limits.warm_ups_mut().presume(at(10), &server(0), RATE, PRESUMED, false);
    limits.warm_ups_mut().hear_warm(at(5), &server(0));
    assert_eq!(limits.admission(at(20), &server(0)), Admission::Dry);
    limits.warm_ups_mut().hear_warm(at(15), &server(0));
    assert_eq!(limits.admission(at(21), &server(0)), Admission::Free);
}
