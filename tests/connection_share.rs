//! The shares of the routers of a fleet in the connections that a server accepts, without a network.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use samphireshift::name::PoolName;
use samphireshift::policy::{ConnectionShare, PART_TTL, RoomLimit, floor_part};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two numbers that the leader tells.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 128, 0, number], 8_080))
}

/// A fleet whose routers all know the number of them.
fn fleet(seed: u64, routers: u32) -> Vec<ConnectionShare> {
    let mut seeds = StdRng::seed_from_u64(seed);
    let mut router = || {
        let mut share = ConnectionShare::new(seeds.random());
        share.set_fleet(Duration::ZERO, routers);
        share
    };
    (0..routers).map(|_| router()).collect()
}

fn sum(fleet: &[ConnectionShare], server: SocketAddr, cap: u32) -> u32 {
    fleet.iter().map(|share| share.of(server, cap)).sum()
}

#[rstest]
fn shares_of_a_fleet_never_exceed_the_cap_and_use_most_of_it(
    #[values(3, 61, 83, 191, 350)] routers: u32,
    #[values(430, 490, 560, 690)] cap: u32,
) {
    for seed in 0..20 {
        let fleet = fleet(seed, routers);
        for number in 0..140 {
            let sum = sum(&fleet, server(number), cap);
            assert!(sum <= cap, "{sum} of {cap}, seed {seed}, server {number}");
            assert!(sum >= cap * 4 / 5, "{sum} of {cap}, seed {seed}, server {number}");
        }
    }
}

/// Guards against a router without any connection, which would refuse all of its calls.
#[rstest]
fn every_router_has_a_connection_to_every_server(#[values(1, 7, 349)] cap: u32) {
    for share in fleet(1, 350) {
        for number in 0..140 {
            assert!(share.of(server(number), cap) >= 1);
        }
    }
}

/// Routers of one fleet with uneven demand have open what they use, up to their shares.
#[rstest]
fn uneven_demand_stays_within_the_cap(#[values(3, 61, 83, 191, 350)] routers: u32) {
    let mut random = StdRng::seed_from_u64(52);
    for _ in 0..200 {
        let fleet = fleet(random.random(), routers);
        let server = server(random.random());
        let mut open = |share: &ConnectionShare| {
            let demand = 10_f64.powf(random.random_range(-1.0..3.0)) as u32;
            share.of(server, 430).min(demand)
        };
        let open: u32 = fleet.iter().map(&mut open).sum();
        assert!(open <= 430, "{open} connections of {routers} routers");
    }
}

/// A new leader counts the routers bit by bit: those that were told of all of them keep to that until it
/// has them.
#[rstest]
fn a_new_leader_that_counts_bit_by_bit_does_not_widen_the_shares(
    #[values(3, 61, 83, 191, 350)] routers: u32,
) {
    let mut fleet = fleet(3, routers);
    let before = sum(&fleet, server(1), 490);
    for second in 1..=8 {
        let told = routers * second / 8;
        fleet.iter_mut().for_each(|share| share.set_fleet(TELL_INTERVAL * second, told.max(1)));
        assert_eq!(sum(&fleet, server(1), 490), before, "after {second} s");
    }
}

/// Routers that start are counted once they have renewed: until the others are told, the sum exceeds the
/// cap by the shares of the new ones at most.
#[rstest]
fn routers_that_start_exceed_the_cap_only_until_the_others_are_told(
    #[values(3, 61, 83, 191)] routers: u32,
) {
    let (cap, joined) = (490, routers + routers.div_ceil(4));
    let mut fleet = fleet(4, routers);
    fleet.extend(self::fleet(5, joined).into_iter().take((joined - routers) as usize));
    let new: u32 = fleet[routers as usize..].iter().map(|share| share.of(server(1), cap)).sum();
    assert!(sum(&fleet, server(1), cap) <= cap + new);
    fleet.iter_mut().for_each(|share| share.set_fleet(TELL_INTERVAL, joined));
    assert!(sum(&fleet, server(1), cap) <= cap);
}

/// Routers that end, or freeze, leave their shares to the others only after a while: a frozen one may hold
/// connections until its servers close them.
#[rstest]
fn shares_of_routers_that_end_are_taken_over_late(#[values(61, 83, 191, 350)] routers: u32) {
    let mut fleet = fleet(6, routers);
    let left = routers / 2;
    let before = sum(&fleet[..left as usize], server(1), 490);
    let rest = &mut fleet[..left as usize];
    for second in 1..=9 {
        rest.iter_mut().for_each(|share| share.set_fleet(TELL_INTERVAL * second, left));
        assert_eq!(sum(rest, server(1), 490), before, "after {second} s");
    }
    for second in 10..=11 {
        rest.iter_mut().for_each(|share| share.set_fleet(TELL_INTERVAL * second, left));
    }
    let after = sum(rest, server(1), 490);
    assert!(after > before * 3 / 2 && after <= 490, "{after} after {before}");
}

/// A part lasts for its time; then the floor holds, and equal parts under a leader of an earlier
/// build.
#[test]
fn a_part_ends_by_itself() {
    let (pool, other) = (PoolName::new("pool"), PoolName::new("other"));
    let (asked_at, later) = (Duration::from_secs(5), Duration::from_secs(5) + PART_TTL);
    let mut share = ConnectionShare::new(1);
    share.set_fleet(Duration::ZERO, 3);
    let of = |share: &ConnectionShare, now, pool| share.of_pool(now, pool, server(1), 430);
    assert_eq!(of(&share, asked_at, &pool), 129, "equal parts before any leader gave one");
    share.set_parts(asked_at, vec![(pool.clone(), 300)]);
    let floor = floor_part(430, 3);
    assert_eq!((of(&share, asked_at, &pool), share.held(asked_at, &pool, 430)), (300, 300));
    assert_eq!(of(&share, asked_at, &other), floor);
    assert_eq!((of(&share, later, &pool), share.held(later, &pool, 430)), (floor, floor));
    share.set_led(false);
    assert_eq!(of(&share, asked_at, &pool), 300, "what was given lasts");
    assert_eq!((of(&share, later, &pool), share.held(later, &pool, 430)), (129, 129));
}

/// A server that accepts fewer connections than its cap is not opened all of them again and again; calls
/// that may not be repeated take none that it may reset.
#[rstest]
fn a_server_that_resets_is_tried_with_one_more_at_a_time() {
    let second = Duration::from_secs(1);
    let mut limit = RoomLimit::default();
    assert_eq!(limit.most_open(second, 54, false), 54);
    (4..54).rev().for_each(|others| limit.record_reset(second, others));
    assert_eq!(limit.most_open(second, 54, true), 4, "right after a reset");
    assert_eq!(limit.most_open(second * 2, 54, false), 4);
    assert_eq!(limit.most_open(second * 2, 54, true), 6);
    limit.record_accepted(5);
    assert_eq!(limit.most_open(second * 2, 54, false), 5);
    assert_eq!(limit.most_open(second * 2, 3, true), 3, "never beyond the share");
    assert_eq!(limit.most_open(second * 12, 54, false), 54, "long after the last reset");
}

/// A server that resets even the only connection is still tried, as it may take one later.
#[rstest]
fn a_server_that_resets_all_connections_is_tried_again() {
    let mut limit = RoomLimit::default();
    limit.record_reset(Duration::ZERO, 0);
    assert_eq!(limit.most_open(Duration::from_millis(400), 5, false), 0);
    assert_eq!(limit.most_open(Duration::from_millis(600), 5, false), 1);
}

/// Guards against connections that are about to be reset and count as taken: many are opened at once, the server
/// resets all but four, and only then answers on these.
#[test]
fn a_server_that_resets_most_of_a_crowd_is_known_by_those_that_it_answers() {
    let mut limit = RoomLimit::default();
    (0..50).for_each(|_| limit.record_reset(Duration::from_millis(1), 0));
    assert_eq!(limit.most_open(Duration::from_millis(2), 54, true), 0);
    (1..=4).for_each(|proven| limit.record_accepted(proven));
    let later = Duration::from_millis(600);
    assert_eq!(limit.most_open(later, 54, false), 4);
    assert_eq!(limit.most_open(later, 54, true), 5);
}
