//! Servers name the rate of requests that they take from all routers together. The leader and the
//! routers are played on virtual time, without network, against two simple ways: equal parts of each
//! limit, and each router by itself.

mod limit_play;

use limit_play::{ANSWER_MS, Day, LENGTH_MS, Play, Policy, Trouble, server};
use rstest::rstest;
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{HeardLimit, LimitDemand, LimitNews, LocalLimits, SharedLimits};
use std::time::Duration;

const SEEDS: u64 = 3;
/// The least part of a limit that is to be used where there is demand.
const USED: f64 = 0.9;
/// The same on days with times without a leader or without some of the routers.
const USED_IN_TROUBLE: f64 = 0.5;

const FEW: Day = Day {
    routers: 6,
    servers: 2,
    limit: 1.6,
    calls: 20.0,
    busy: 6,
    trouble: Trouble::Nothing,
    answer_ms: ANSWER_MS,
};
const MANY: Day = Day { routers: 30, servers: 2, limit: 2.0, calls: 60.0, busy: 30, ..FEW };
const HUGE: Day = Day { routers: 191, servers: 1, limit: 20.0, calls: 200.0, busy: 191, ..FEW };

#[rstest]
#[case::few(FEW)]
#[case::one_busy(Day { busy: 1, ..FEW })]
#[case::slow(Day { routers: 3, limit: 0.2, calls: 5.0, busy: 3, ..FEW })]
#[case::fast(Day { limit: 40.0, calls: 400.0, ..FEW })]
#[case::many(MANY)]
#[case::many_slow(Day { limit: 0.5, calls: 20.0, ..MANY })]
#[case::many_one_busy(Day { busy: 1, ..MANY })]
#[case::huge(HUGE)]
#[case::huge_slow(Day { limit: 0.8, calls: 100.0, ..HUGE })]
#[case::huge_few_busy(Day { busy: 3, ..HUGE })]
fn the_limit_holds_and_is_used_where_there_is_demand(#[case] day: Day) {
    for seed in 1..=SEEDS {
        let play = Play::new(day, Policy::Shared, seed).run();
        assert!(play.excess() <= 0.0, "seed {seed}: {} too many", play.excess());
        let used = play.used();
        assert!(used >= USED, "seed {seed}: {used:.3} of the limit is used");
    }
}

#[rstest]
#[case::new_leader(Trouble::NewLeader)]
#[case::one_cut_off(Trouble::CutOff(1))]
#[case::most_cut_off(Trouble::CutOff(5))]
#[case::frozen(Trouble::Frozen(2))]
#[case::restarted(Trouble::Restarted(3))]
#[case::changes(Trouble::Changes)]
#[case::falls_by_ten(Trouble::FallsByTen)]
// Guards against a limit that is forgotten since one reading of the VM list, by routers or by the leader,
// leaves its server out: all calls that waited went out at once (LIMIT).
#[case::unlisted(Trouble::Unlisted)]
#[case::unlisted_at_leader(Trouble::UnlistedAtLeader)]
fn the_limit_holds_in_trouble(#[case] trouble: Trouble) {
    let fast = Day { limit: 12.0, calls: 200.0, ..FEW };
    // Answers overtake each other.
    let late = Day { answer_ms: 1_500, ..fast };
    for (day, seed) in
        [FEW, MANY, fast, late].into_iter().flat_map(|day| (1..=SEEDS).map(move |s| (day, s)))
    {
        let play = Play::new(Day { trouble, ..day }, Policy::Shared, seed).run();
        // Where answers are late, the server is sent more before any router can know.
        let excess = match day.answer_ms {
            ANSWER_MS => play.excess(),
            _ => play.excess_when_told(),
        };
        assert!(excess <= 0.0, "{day:?}, seed {seed}: {excess} too many");
        let used = play.used();
        assert!(used >= USED_IN_TROUBLE, "{day:?}, seed {seed}: {used:.3} of the limit is used");
    }
}

/// Shows that the days are hard: the simple ways break the rule, or leave most of a limit unused.
#[test]
fn simple_ways_break_the_limit_or_leave_it_unused() {
    let alone = Play::new(FEW, Policy::EachByItself, 1).run();
    assert!(alone.excess() > 0.0, "{}", alone.excess());
    let equal = Play::new(Day { busy: 1, ..FEW }, Policy::EqualParts, 1).run();
    assert!(equal.used() < 0.5, "{:.3}", equal.used());
}

/// Guards against a new leader whose process has just started, and for which all that routers heard
/// before is equally old: the end of a limit would be lost behind its naming.
#[test]
fn a_leader_that_has_just_started_puts_older_news_in_order() {
    let router = |index| RouterId { vm: VmName::new(format!("router-{index}")), run: 1 };
    let heard = |limit, seconds| LimitDemand {
        heard: vec![HeardLimit { server: server(0), limit, age: Duration::from_secs(seconds) }],
        asks: Vec::new(),
        fleet: 2,
    };
    let mut leader = SharedLimits::new(2);
    let just_started = Duration::from_secs(1);
    leader.record(just_started, &router(0), &heard(Some(2.0), 30));
    leader.record(just_started, &router(1), &heard(None, 20));
    leader.expire(just_started + Duration::from_secs(60), |_| true);
    assert_eq!(leader.count(), 0, "the limit has ended");
}

/// What routers hear of one server, and what they hold to then.
struct Heard {
    /// When the call was sent, when its answer came, in ms, and the limit that it names.
    answers: &'static [(u64, u64, Option<f64>)],
    /// The limit that is kept.
    limit: f64,
    /// What is reported: the limit, and its age at 100 ms after the last answer.
    reported: Option<(Option<f64>, u64)>,
}

const HEARD: [Heard; 6] = [
    // An answer that was overtaken by one that names less raises nothing.
    Heard {
        answers: &[(0, 100, Some(1.0)), (50, 200, Some(10.0))],
        limit: 1.0,
        reported: Some((Some(1.0), 200)),
    },
    Heard {
        answers: &[(0, 100, Some(1.0)), (150, 200, Some(10.0))],
        limit: 10.0,
        reported: Some((Some(10.0), 150)),
    },
    // One that names less holds at once, however old.
    Heard {
        answers: &[(0, 100, Some(10.0)), (0, 200, Some(1.0))],
        limit: 1.0,
        reported: Some((Some(1.0), 100)),
    },
    Heard {
        answers: &[(0, 100, Some(1.0)), (50, 200, None)],
        limit: 1.0,
        reported: Some((Some(1.0), 200)),
    },
    Heard {
        answers: &[(0, 100, Some(1.0)), (150, 200, None)],
        limit: 1.0,
        reported: Some((None, 150)),
    },
    // After an end, an older answer that names a limit is believed.
    Heard {
        answers: &[(0, 100, Some(1.0)), (150, 200, None), (120, 300, Some(4.0))],
        limit: 4.0,
        reported: Some((Some(4.0), 100)),
    },
];

/// Guards against limits that rise or end by answers that were overtaken (LIMIT).
#[test]
fn an_answer_raises_or_ends_a_limit_only_if_its_call_was_sent_after_the_limit_was_heard() {
    let at = |millis: u64| Duration::from_millis(1_000 + millis);
    for (index, Heard { answers, limit, reported }) in HEARD.iter().enumerate() {
        let mut local = LocalLimits::new(0.5);
        let mut last = 0;
        for (sent_at, heard_at, named) in *answers {
            local.hear(at(*heard_at), at(*sent_at), &server(0), *named);
            last = *heard_at;
        }
        assert_eq!(local.limit(&server(0)), Some(*limit), "case {index}");
        let report = local.report(at(last + 100), Vec::new());
        let heard = report.heard.first().map(|heard| (heard.limit, heard.age.as_millis() as u64));
        assert_eq!(heard, *reported, "case {index}");
    }
}

/// Guards against a limit that stays low for good: the leader holds its rise for older than what another
/// router heard meanwhile.
#[test]
fn a_rise_that_the_leader_drops_is_reported_again() {
    let at = |millis: u64| Duration::from_millis(1_000 + millis);
    let mut local = LocalLimits::new(0.5);
    let heard = |local: &LocalLimits, now| local.report(at(now), Vec::new()).heard;
    let none = LimitNews::default();
    local.hear(at(100), at(0), &server(0), Some(1.0));
    local.hear(at(300), at(200), &server(0), Some(10.0));
    assert_eq!(heard(&local, 310)[0].limit, Some(10.0));
    local.apply(at(330), at(310), &none);
    assert!(heard(&local, 340).is_empty());
    local.hear(at(500), at(400), &server(0), Some(10.0));
    let again = &heard(&local, 510)[0];
    assert_eq!((again.limit, again.age), (Some(10.0), Duration::from_millis(110)));
    local.apply(at(530), at(510), &none);
    local.hear(at(700), at(600), &server(0), Some(10.0));
    assert!(heard(&local, 710).is_empty(), "once is enough");
}

/// Guards against limits that take more of a router's link than control may: 3 KB a second.
#[rstest]
#[case(3)]
#[case(30)]
#[case(100)]
#[case(191)]
fn what_routers_and_the_leader_say_of_limits_is_little(#[case] routers: usize) {
    let calls = 4.0 * routers as f64;
    let day = Day { routers, busy: routers, servers: 4, limit: calls / 8.0, calls, ..FEW };
    let play = Play::new(day, Policy::Shared, 1).run();
    let bytes: usize = play.routers.iter().map(|router| router.bytes).sum();
    let rate = bytes as f64 / routers as f64 / (LENGTH_MS as f64 / 1e3);
    println!("{routers} routers: {rate:.0} bytes a second each, {:.3} used", play.used());
    assert!(rate < 3_000.0, "{rate:.0} bytes a second for each router");
    assert!(play.excess() <= 0.0, "{} too many", play.excess());
}
