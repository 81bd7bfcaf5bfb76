//! Whether a larger model is asked at all, by the time that its answer is expected to take.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::policy::AnswerTimes;

/// A larger model's answer and the time for it, in ms.
struct Case {
    expected: AnswerTimes,
    left: AnswerTimes,
    fits: bool,
}

const fn times(ready: f64, end: f64) -> AnswerTimes {
    AnswerTimes { ready, end }
}

#[rstest]
#[case::in_time(Case { expected: times(200.0, 900.0), left: times(800.0, 3_000.0), fits: true })]
#[case::ends_at_the_deadline(Case { expected: times(200.0, 3_000.0), left: times(800.0, 3_000.0), fits: true })]
#[case::begins_late(Case { expected: times(900.0, 1_000.0), left: times(800.0, 3_000.0), fits: false })]
#[case::cannot_end(Case { expected: times(200.0, 3_100.0), left: times(3_000.0, 3_000.0), fits: false })]
#[case::no_time_left(Case { expected: times(0.0, 0.0), left: times(0.0, 0.0), fits: false })]
fn only_an_answer_in_time_is_asked_for(#[case] case: Case) {
    assert_eq!(case.expected.fits(&case.left), case.fits);
}

/// Runs that take as long as expected, give or take `error`, under deadlines of 0.2 to 10 s: none is begun that
/// is expected to be cut, and none is left out that would end in time by the error and more.
#[rstest]
#[case::exact(0.0)]
#[case::uncertain(0.3)]
fn no_run_is_begun_that_cannot_end(#[case] error: f64) {
    let mut random = Pcg64Mcg::seed_from_u64(53);
    let (mut begun, mut left_out) = (0, 0);
    for _ in 0..10_000 {
        let deadline = random.random_range(200.0..10_000.0);
        let first = random.random_range(50.0..4_000.0);
        let whole = first + random.random_range(0.0..8_000.0);
        let took = whole * (1.0 + random.random_range(-1.0..=1.0) * error);
        if times(first, whole).fits(&times(deadline, deadline)) {
            begun += 1;
            assert!(took <= deadline * (1.0 + error) + 1e-9, "{took} ms of {deadline}");
        } else {
            left_out += 1;
            assert!(took > deadline * (1.0 - error) - 1e-9, "{took} ms of {deadline}");
        }
    }
    assert!(begun > 1_000 && left_out > 1_000, "{begun} begun, {left_out} left out");
}
