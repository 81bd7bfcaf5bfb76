//! Which callers end where too much is held for those that read slowly.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::policy::{ReaderLoad, SlowCause, slowest_readers};
use std::time::Duration;

const KIB: usize = 1 << 10;

/// Callers as (KiB held, milliseconds since they took a byte, whether they read).
type Callers<'a> = &'a [(usize, u64, bool)];

fn loads(callers: Callers) -> Vec<ReaderLoad> {
    let load = |&(held, idle, reads): &(usize, u64, bool)| ReaderLoad {
        held: held * KIB,
        idle: Duration::from_millis(idle),
        reads,
    };
    callers.iter().map(load).collect()
}

#[rstest]
#[case::nothing_too_much(&[(100, 9_000, true)], 0, &[])]
#[case::nobody(&[], 100, &[])]
#[case::one_that_holds_nothing(&[(0, 9_000, false)], 100, &[])]
#[case::the_one_that_waits_longest(&[(100, 2_000, true), (100, 3_000, true), (100, 1_500, true)], 50, &[1])]
#[case::the_one_that_holds_most(&[(100, 2_000, true), (300, 2_000, true), (200, 2_000, true)], 50, &[1])]
#[case::as_many_as_it_takes(&[(100, 4_000, true), (100, 3_000, true), (100, 2_000, true)], 101, &[0, 1])]
#[case::exactly_enough(&[(100, 4_000, true), (100, 3_000, true)], 100, &[0])]
#[case::all_if_it_takes_more(&[(100, 2_000, true), (100, 4_000, false)], 900, &[1, 0])]
#[case::one_large_before_many_small(&[(1, 3_000, true), (1, 3_000, true), (500, 2_500, true)], 100, &[2])]
#[case::a_stalled_one_before_a_large_one_that_reads(&[(9_000, 999, true), (10, 1_000, true)], 10, &[1])]
#[case::a_stalled_one_before_one_that_never_read(&[(9_000, 999, false), (10, 1_000, true)], 10, &[1])]
#[case::one_that_never_read_before_a_large_one_that_reads(&[(9_000, 900, true), (10, 1, false)], 10, &[1])]
#[case::then_the_slowest_that_reads(&[(10, 100, true), (10, 900, true), (10, 1_000, true)], 20, &[2, 1])]
#[case::one_that_has_just_read(&[(100, 0, true), (200, 0, true)], 1, &[1])]
fn the_slowest_end_and_no_more_than_it_takes(
    #[case] callers: Callers,
    #[case] excess: usize,
    #[case] ended: &[usize],
) {
    assert_eq!(slowest_readers(&loads(callers), excess * KIB, SlowCause::Slow), ended);
}

#[rstest]
#[case(999, true, SlowCause::Slow, "slow")]
#[case(999, false, SlowCause::Unread, "unread")]
#[case(1_000, true, SlowCause::Stalled, "stalled")]
#[case(1_000, false, SlowCause::Stalled, "stalled")]
fn the_cause_tells_whether_the_caller_reads(
    #[case] idle: u64,
    #[case] reads: bool,
    #[case] cause: SlowCause,
    #[case] name: &str,
) {
    let load = loads(&[(1, idle, reads)])[0];
    assert_eq!((load.cause(), load.cause().as_str()), (cause, name));
}

#[rstest]
#[case(SlowCause::Slow, &[2, 1, 0])]
#[case(SlowCause::Unread, &[2, 1])]
#[case(SlowCause::Stalled, &[2])]
fn nobody_ends_for_a_lesser_cause(#[case] least: SlowCause, #[case] ended: &[usize]) {
    let loads = loads(&[(900, 500, true), (10, 500, false), (10, 1_500, true)]);
    assert_eq!(slowest_readers(&loads, usize::MAX, least), ended);
}

/// Whatever the load: enough becomes free, without the last one it would not, and nobody ends
/// beside one with a greater cause.
#[test]
fn any_load_is_relieved_by_few_callers() {
    for seed in 0..500 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let count = random.random_range(0..80);
        let caller = |random: &mut Pcg64Mcg| ReaderLoad {
            held: random.random_range(0..4) * random.random_range(0..300 * KIB),
            idle: Duration::from_millis(random.random_range(0..2_000)),
            reads: random.random(),
        };
        let loads: Vec<ReaderLoad> = (0..count).map(|_| caller(&mut random)).collect();
        let all: usize = loads.iter().map(|load| load.held).sum();
        let excess = random.random_range(0..=all + all / 4);
        let ended = slowest_readers(&loads, excess, SlowCause::Slow);
        let free = |ended: &[usize]| ended.iter().map(|&at| loads[at].held).sum::<usize>();
        assert!(free(&ended) >= excess.min(all), "seed {seed}: too little is free");
        if let Some((_, others)) = ended.split_last() {
            assert!(free(others) < excess, "seed {seed}: more ended than it takes");
        }
        let cause = |at: &usize| loads[*at].cause();
        let kept = (0..loads.len()).filter(|at| !ended.contains(at) && loads[*at].held > 0);
        let (kept, least) = (kept.map(|at| cause(&at)).max(), ended.iter().map(cause).min());
        assert!(kept <= least || least.is_none(), "seed {seed}: {least:?} ended, {kept:?} did not");
        let mut once = ended.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), ended.len(), "seed {seed}: one ended twice");
    }
}
