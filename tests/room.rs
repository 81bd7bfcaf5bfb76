//! Admission before the server, played on a seeded load without network: who is served when there is
//! too little room, beside sending everything on and beside a scheduler that knows everything.

mod room_play;

use room_play::one_scheduler::{all_knowing, knows_means};
use room_play::routers::{Routers, Way};
use room_play::{Day, ORGANISATIONS, Outcome, RANKS, Sums, Trouble, play};
use rstest::rstest;

const SEED: u64 = 52;

const CALM: Day = Day {
    routers: 83,
    servers: 24,
    slots: 4,
    usual: 0.6,
    burst: 1.0,
    hot: 1.0,
    lost: 0.0,
    storm: 0.0,
    lag_ms: (100, 300),
    trouble: Trouble::None,
    length_ms: 32_000,
};
const STALE_MS: (u64, u64) = (100, 3_000);

/// Offered work at a factor of what the servers can do.
fn overload(factor: f64) -> Day {
    Day { burst: factor / CALM.usual, ..CALM }
}

fn part_in_time(outcome: Outcome) -> f64 {
    f64::from(outcome.in_time) / f64::from(outcome.offered.max(1))
}

fn part_served(outcome: Outcome) -> f64 {
    f64::from(outcome.served) / f64::from(outcome.offered.max(1))
}

/// Plays a day with and without a gate; returns the sums and the goodput of both, as parts of that of
/// the all-knowing scheduler.
fn compare(day: &Day, way: Way) -> (Sums, f64, f64) {
    let best = all_knowing(day, SEED).goodput();
    let fifo = play(day, SEED, &mut Routers::new(day, Way::Fifo)).goodput() / best;
    let means = knows_means(day, SEED).goodput() / best;
    let gate = play(day, SEED, &mut Routers::new(day, way));
    let goodput = gate.goodput() / best;
    let by_rank = |rank| part_in_time(gate.total(|of, _| of == rank));
    let hot = part_in_time(gate.total(|_, organisation| organisation == 0));
    let others = part_in_time(gate.total(|_, organisation| organisation != 0));
    println!(
        "{} routers: sent on {fifo:.3}, by means {means:.3}, {way:?} {goodput:.3}; in time by rank {:.2} {:.2} {:.2}, largest \
         organisation {hot:.2}, others {others:.2}",
        day.routers,
        by_rank(0),
        by_rank(1),
        by_rank(2),
    );
    (gate, goodput, fifo)
}

#[rstest]
fn in_calm_nothing_is_lost(
    #[values(3, 83, 191)] routers: usize,
    #[values(Way::Gate, Way::Fleet)] way: Way,
) {
    let (_, goodput, _) = compare(&Day { routers, ..CALM }, way);
    assert!(goodput >= 0.99, "{goodput}");
}

/// The gate brings more than sending everything on, in all kinds of trouble.
#[rstest]
#[case::twice(overload(2.0), 2.0)]
#[case::four_times(overload(4.0), 2.0)]
#[case::eight_times(overload(8.0), 2.0)]
#[case::hot(Day { hot: 7.0, ..CALM }, 1.5)]
#[case::twice_and_hot(Day { hot: 7.0, ..overload(2.0) }, 2.0)]
#[case::storm(Day { storm: 0.5, ..overload(4.0) }, 2.0)]
#[case::half_lost(Day { lost: 0.5, burst: 1.6, ..CALM }, 2.0)]
#[case::stale(Day { lag_ms: STALE_MS, ..overload(2.0) }, 1.5)]
fn the_gate_serves_more_than_sending_on(
    #[values(3, 83, 191)] routers: usize,
    #[values(Way::Gate, Way::Fleet)] way: Way,
    #[case] day: Day,
    #[case] factor: f64,
) {
    let (_, gate, fifo) = compare(&Day { routers, ..day }, way);
    assert!(gate >= factor * fifo, "{gate} with the gate, {fifo} without");
}

/// The aim of issue 52: what the all-knowing scheduler gets, but for 5 and 10 in 100.
#[rstest]
#[case::twice(2.0, 0.95)]
#[case::four_times(4.0, 0.9)]
fn goodput_is_near_what_can_be(
    #[values(3, 83, 191)] routers: usize,
    #[values(Way::Gate, Way::Fleet)] way: Way,
    #[case] factor: f64,
    #[case] aim: f64,
) {
    let (_, goodput, _) = compare(&Day { routers, ..overload(factor) }, way);
    assert!(goodput >= aim, "{goodput}, the aim is {aim}");
}

/// Another's burst costs an organisation within its share at most 2 in 100 of its answers in time.
#[rstest]
fn a_burst_of_one_is_paid_by_it(
    #[values(3, 83, 191)] routers: usize,
    #[values(Way::Gate, Way::Fleet)] way: Way,
) {
    let (sums, _, _) = compare(&Day { routers, hot: 7.0, ..CALM }, way);
    let others = part_in_time(sums.total(|_, organisation| organisation != 0));
    assert!(others >= 0.98, "{others} of the others' calls are answered in time");
}

/// Every organisation and every rank is served at least a quarter as often as all.
#[rstest]
#[case::twice(overload(2.0))]
#[case::four_times(overload(4.0))]
#[case::hot(Day { hot: 7.0, ..overload(2.0) })]
fn nobody_is_starved(
    #[values(3, 83, 191)] routers: usize,
    #[values(Way::Gate, Way::Fleet)] way: Way,
    #[case] day: Day,
) {
    let (sums, _, _) = compare(&Day { routers, ..day }, way);
    let all = part_served(sums.total(|_, _| true));
    for number in 0..ORGANISATIONS {
        let served = part_served(sums.total(|_, organisation| organisation == number));
        assert!(served >= 0.25 * all, "organisation {number}: {served} of {all}");
    }
    for number in 0..RANKS.len() {
        let served = part_served(sums.total(|rank, _| rank == number));
        assert!(served >= 0.25 * all, "rank {number}: {served} of {all}");
    }
}

/// Routers that come and go, a lost leader and two leaders cost no more than the sums gain: the gate alone
/// is the least that holds, but for 1 in 100.
#[rstest]
fn trouble_costs_no_more_than_the_sums_gain(
    #[values(3, 83, 191)] routers: usize,
    #[values(Trouble::NoLeader, Trouble::NewLeader, Trouble::TwoLeaders, Trouble::Restarts)]
    trouble: Trouble,
    #[values((100, 300), STALE_MS)] lag_ms: (u64, u64),
) {
    let day = Day { routers, trouble, lag_ms, ..overload(2.0) };
    let (_, alone, _) = compare(&day, Way::Gate);
    let (_, fleet, _) = compare(&day, Way::Fleet);
    assert!(fleet >= alone - 0.01, "{fleet} with the sums, {alone} without");
}
