//! A change of the configuration is accepted, reaches the routers, and no router works without it for
//! longer than the bound, whatever is lost, late or stands still. Leader and routers are played on
//! virtual time, without network.

mod day;
mod fleet;
mod router;

use day::{Day, Trouble};
use fleet::{Fleet, LeftOut};
use proptest::prelude::*;
use rstest::rstest;

/// Seeds that are tried until one shows that a part of the sum is left out.
const MUTATION_SEEDS: u64 = 300;

fn troubles() -> impl Strategy<Value = Vec<(u64, Trouble)>> {
    let trouble = prop_oneof![
        (500..2_500_u64).prop_map(|for_ms| Trouble::NoLeader { for_ms }),
        (0..4_usize, 200..6_000_u64)
            .prop_map(|(router, for_ms)| Trouble::Frozen { router, for_ms }),
        (0..4_usize, 200..6_000_u64).prop_map(|(router, for_ms)| Trouble::Cut { router, for_ms }),
    ];
    prop::collection::vec((2_000..12_000_u64, trouble), 0..4)
}

fn changes() -> impl Strategy<Value = Vec<(u64, u32)>> {
    let routes = prop_oneof![8 => Just(1_u32), 2 => Just(1_400), 1 => Just(5_000)];
    prop::collection::vec((2_000..12_000_u64, routes), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against calls under a configuration that was replaced longer ago than the bound.
    #[test]
    fn no_call_is_handled_under_a_revision_later_than_the_bound(
        seed in any::<u64>(),
        troubles in troubles(),
        changes in changes(),
        link_kbit in prop_oneof![Just(1_000_u64), Just(10_000), Just(100_000)],
        backlog_ms in 0..400_u64,
    ) {
        let day = Day { seed, troubles, changes, link_kbit, backlog_ms, ..Day::default() };
        let outcome = Fleet::new(&day, LeftOut::Nothing).play();
        prop_assert_eq!(outcome.violation, None);
    }
}

/// Each part of the sum in docs/design/leases.md is needed: without it, the check above fails.
#[rstest]
#[case::leases_under_older_revisions(LeftOut::OlderLeases)]
#[case::leases_of_an_earlier_leader(LeftOut::EarlierLeader)]
#[case::time_of_the_request(LeftOut::RequestTime)]
#[case::lease_with_the_last_chunk(LeftOut::LastChunk)]
#[case::lease_with_the_newest_revision_only(LeftOut::NewestOnly)]
#[case::time_in_which_a_router_stands_still(LeftOut::FrozenTime)]
#[case::leadership_is_checked_last(LeftOut::Leadership)]
fn each_part_of_the_sum_is_needed(#[case] left_out: LeftOut) {
    let broken = (0..MUTATION_SEEDS).find(|seed| {
        let day = match left_out {
            LeftOut::NewestOnly => Day::slow_transfers(*seed),
            _ => Day::random(*seed),
        };
        assert_eq!(Fleet::new(&day, LeftOut::Nothing).play().violation, None, "seed {seed}");
        Fleet::new(&day, left_out).play().violation.is_some()
    });
    assert!(broken.is_some(), "no seed shows that {left_out:?} is needed");
}

/// Sound routers get a large change long before the bound, and none of them stops.
#[rstest]
#[case::three(3)]
#[case::thirty(30)]
#[case::sixty_one(61)]
#[case::all_of_the_largest_site(191)]
fn sound_routers_get_1400_routes_within_a_quarter_of_the_bound(#[case] routers: usize) {
    const LATE_SHARE: f64 = 0.01;
    let day = Day {
        routers,
        changes: vec![(3_000, 1_400)],
        link_kbit: 10_000,
        backlog_ms: 100,
        loss: 0.0,
        length_ms: 6_000,
        ..Day::default()
    };
    let outcome = Fleet::new(&day, LeftOut::Nothing).play();
    assert_eq!(outcome.violation, None);
    assert_eq!(outcome.stops, 0, "sound routers stopped");
    let limit_ms = day::APPLY_MS / 4;
    let late = outcome.delivery_ms.iter().filter(|took| **took > limit_ms).count();
    assert_eq!(outcome.delivery_ms.len(), routers);
    assert!(late as f64 <= LATE_SHARE * routers as f64, "late: {:?}", outcome.delivery_ms);
}

/// A router that stands still holds a change up, but not for longer than its lease and the bound allow.
#[test]
fn a_router_that_stands_still_holds_a_change_up_for_a_bounded_time() {
    const MAX_HOLD_UP_MS: u64 = 2_500;
    let day = Day {
        troubles: vec![(2_990, Trouble::Frozen { router: 0, for_ms: 8_000 })],
        changes: vec![(3_000, 1), (3_500, 1)],
        loss: 0.0,
        ..Day::default()
    };
    let outcome = Fleet::new(&day, LeftOut::Nothing).play();
    assert_eq!(outcome.violation, None);
    let longest = outcome.accepted_after_ms.iter().max();
    assert!(outcome.accepted_after_ms.len() == 2 && longest < Some(&MAX_HOLD_UP_MS), "{outcome:?}");
}
