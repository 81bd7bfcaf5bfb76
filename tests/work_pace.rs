//! How long work takes at a server: what was learned of one that gets no calls any more.

use samphireshift::policy::WorkPace;
use std::time::Duration;

const USUAL: f64 = 1.0;

/// Guards against a server that was slow for a while and is never tried again: nothing corrects what is known of
/// a server without calls.
#[test]
fn a_server_that_was_slow_and_is_not_asked_counts_as_usual_again() {
    let mut pace = WorkPace::default();
    for second in 0..10 {
        for part in 0..4 {
            let now = Duration::from_millis(second * 1_000 + part * 250);
            pace.read(5.0, now);
            pace.observe(4.0, now);
        }
    }
    let at = |seconds| Duration::from_secs(seconds);
    let expected = |seconds| pace.named(at(seconds), USUAL) * pace.ratio(at(seconds));
    assert!(expected(10) > 10.0, "slow at first: {}", expected(10));
    assert!(expected(20) > 5.0, "not forgotten at once: {}", expected(20));
    assert!(expected(130) < 1.2, "usual again: {}", expected(130));
}
