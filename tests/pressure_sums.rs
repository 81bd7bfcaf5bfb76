//! The leader's sums of what routers see of a pool.

use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::{OrganisationName, VmName};
use samphireshift::policy::{OrganisationRate, PoolPressure, PressureReport, PressureSums};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(250);

fn router(number: u32) -> RouterId {
    RouterId { vm: VmName::new(format!("vm-{number}")), run: 1 }
}

fn report(answers: f64) -> PressureReport {
    let pressure = PoolPressure { answers, in_flight: 2.0, ..PoolPressure::default() };
    PressureReport { pressure, organisations: Vec::new() }
}

/// A report that comes twice counts once, and one of a router that is gone for 3 s at most.
#[test]
fn the_newest_report_of_each_router_counts() {
    let mut sums = PressureSums::default();
    sums.report(INTERVAL, &router(1), report(5.0));
    sums.report(INTERVAL, &router(1), report(5.0));
    let news = sums.report(2 * INTERVAL, &router(2), report(3.0));
    assert_eq!((news.routers, news.pressure.answers, news.pressure.in_flight), (2, 8.0, 4.0));
    assert_eq!(news.age_ms, 125);
    let news = sums.report(14 * INTERVAL, &router(2), report(4.0));
    assert_eq!((news.routers, news.pressure.answers), (1, 4.0));
}

#[rstest]
fn a_report_that_is_no_number_is_not_counted(
    #[values(f64::NAN, f64::INFINITY, -1.0)] answers: f64,
) {
    let mut sums = PressureSums::default();
    sums.report(INTERVAL, &router(1), report(5.0));
    let news = sums.report(2 * INTERVAL, &router(2), report(answers));
    assert_eq!((news.routers, news.pressure.answers), (1, 5.0));
}

/// Each router sees too few calls of the large organisation to tell.
#[test]
fn excess_is_found_in_the_sum() {
    let mut sums = PressureSums::default();
    let rate =
        |name, now, usual| OrganisationRate { name: OrganisationName::new(name), now, usual };
    let mut news = Default::default();
    for number in 0..100 {
        let organisations = vec![rate("hot", 0.7, 0.1), rate("steady", 0.3, 0.3)];
        let told = PressureReport { organisations, ..report(1.0) };
        news = sums.report(INTERVAL * (number / 25 + 1), &router(number), told);
    }
    let [(name, excess)] = &news.excess[..] else { panic!("{:?}", news.excess) };
    assert_eq!(name.as_str(), "hot");
    assert!((0.5..0.9).contains(excess), "{excess}");
}
