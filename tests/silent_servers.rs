//! The load that `policy/silent_server.rs` answers: some servers take a call and never respond. The
//! policy is compared with waiting for a fixed multiple of the target latency, on virtual time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::policy::{ResponseTimes, SilenceBudget};
use std::time::Duration;

const SEED: u64 = 11;
const CALLS: usize = 20_000;
const TARGET: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(8);
const MAX_ATTEMPTS: u32 = 3;
/// The fixed timeout of the naive twin, as a factor of the target.
const FIXED_FACTOR: u32 = 3;

/// How servers behave at a moment, from 0 to 1 of the run.
struct Load {
    /// The share of attempts that get no response.
    silent: fn(f64) -> f64,
    /// By how much servers are slower than usual, as a factor.
    slowdown: fn(f64) -> f64,
}

#[derive(Debug, Default)]
struct Outcome {
    in_target: usize,
    failed: usize,
    repeats: usize,
}

enum Policy {
    Learned(Box<ResponseTimes>, SilenceBudget),
    Fixed,
}

impl Policy {
    fn learned() -> Self {
        Policy::Learned(Box::default(), SilenceBudget::default())
    }

    /// When the attempt is given up, after its start; `response` is when it would get a response.
    fn give_up(&mut self, response: Duration, latest: Duration) -> Option<Duration> {
        match self {
            Policy::Fixed => (response > latest).then_some(latest),
            Policy::Learned(times, budget) => {
                let early = times.silence_timeout(TARGET).min(latest);
                if response <= early {
                    times.record(response);
                    return None;
                }
                times.record(early);
                if budget.take() {
                    return Some(early);
                }
                if response <= latest {
                    times.record(response);
                    return None;
                }
                Some(latest)
            }
        }
    }
}

/// A response time: 300 ms in the middle, with a tail, and `slowdown` times as long under load.
fn response_time(rng: &mut Pcg64Mcg, slowdown: f64) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    Duration::from_millis(300).mul_f64((0.6 * normal).exp() * slowdown)
}

fn run(load: &Load, mut policy: Policy) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut outcome = Outcome::default();
    for call in 0..CALLS {
        let at = call as f64 / CALLS as f64;
        if let Policy::Learned(_, budget) = &mut policy {
            budget.record_call();
        }
        let mut elapsed = Duration::ZERO;
        for attempt in 1..=MAX_ATTEMPTS {
            let silent = rng.random_bool((load.silent)(at));
            let response = response_time(&mut rng, (load.slowdown)(at));
            let response = if silent { Duration::MAX } else { response };
            let left = DEADLINE.saturating_sub(elapsed);
            let latest =
                if attempt == MAX_ATTEMPTS { left } else { left.min(TARGET * FIXED_FACTOR) };
            let given_up = match attempt {
                MAX_ATTEMPTS => (response > left).then_some(left),
                _ => policy.give_up(response, latest),
            };
            let Some(waited) = given_up else {
                elapsed += response;
                outcome.in_target += usize::from(elapsed <= TARGET);
                break;
            };
            elapsed += waited;
            if elapsed >= DEADLINE || attempt == MAX_ATTEMPTS {
                outcome.failed += 1;
                break;
            }
            outcome.repeats += 1;
        }
    }
    outcome
}

#[rstest]
#[case::silent_servers(Load { silent: |_| 0.03, slowdown: |_| 1.0 })]
#[case::silent_for_a_while(Load { silent: |at| if (0.3..0.5).contains(&at) { 0.1 } else { 0.0 }, slowdown: |_| 1.0 })]
#[case::silent_in_a_burst(Load { silent: |_| 0.02, slowdown: |at| if at > 0.5 { 3.0 } else { 1.0 } })]
fn calls_to_silent_servers_are_answered_in_time_by_others(#[case] load: Load) {
    let (learned, fixed) = (run(&load, Policy::learned()), run(&load, Policy::Fixed));
    assert!(learned.in_target > fixed.in_target, "{learned:?} {fixed:?}");
    assert!(learned.failed <= fixed.failed, "{learned:?} {fixed:?}");
}

/// Where all servers are slow, repeating calls elsewhere only adds load.
#[rstest]
#[case::calm(Load { silent: |_| 0.0, slowdown: |_| 1.0 }, 0.02)]
#[case::sudden_overload(Load { silent: |_| 0.0, slowdown: |at| if at > 0.5 { 10.0 } else { 1.0 } }, 0.05)]
#[case::waves(Load { silent: |_| 0.0, slowdown: |at| if ((at * 10.0) as u64).is_multiple_of(2) { 1.0 } else { 6.0 } }, 0.05)]
fn a_pool_that_is_slow_as_a_whole_gets_few_more_calls(#[case] load: Load, #[case] most: f64) {
    let learned = run(&load, Policy::learned());
    let fixed = run(&load, Policy::Fixed);
    let more = learned.repeats.saturating_sub(fixed.repeats) as f64 / CALLS as f64;
    assert!(more <= most, "{more} of the calls: {learned:?} {fixed:?}");
    assert!(learned.failed <= fixed.failed + CALLS / 200, "{learned:?} {fixed:?}");
}
