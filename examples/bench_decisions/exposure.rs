//! Number of answers that a bad version gives before it is stopped: the sequential tests of
//! `VersionMonitor` compared with fixed thresholds over windows.

use crate::window::Window;
use crate::workload::{answer_quality, rate_answer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::StatKey;
use samphireshift::name::{OrganisationName, TaskKind, VersionKey};
use samphireshift::policy::{Baseline, StatDelta, VersionMonitor};
use serde_json::{Value, json};

/// Answers before the version degrades (the onset).
const ANSWERS_BEFORE_ONSET: usize = 20_000;
/// Answers after the onset at most; a run that detects nothing counts as this many.
const MAX_ANSWERS_AFTER_ONSET: usize = 20_000;
/// Answers per report, and between two checks of the thresholds.
const BATCH_ANSWERS: usize = 10;
/// Runs without degradation: to calibrate the thresholds, and to count false stops of the monitor.
const GOOD_RUNS: u64 = 1_000;
/// Runs for each kind of degradation.
const BAD_RUNS: u64 = 40;
/// Runs without degradation of a roll-out's length, to count false stops of the monitor.
const ROLLOUT_RUNS: u64 = 10_000;
const ROLLOUT_ANSWERS: usize = 2_000;
/// Share of answers that are rated while no kind of task is suspect.
const RATED_SHARE: f64 = 0.2;
const WINDOW_SIZES: [usize; 3] = [100, 200, 500];

/// Kinds of task: name, share of requests, true quality.
const KINDS: [(&str, f64, f64); 3] =
    [("summary", 0.7, 0.82), ("query", 0.2, 0.78), ("dispute", 0.1, 0.8)];

/// How a version degrades at the onset.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Degradation {
    /// The version stays good.
    Never,
    /// 40% of the answers fail, instead of 1%.
    Fails,
    /// 10% of the answers fail, instead of 1%.
    FailsALittle,
    /// 30% of the answers are malformed, instead of 0.5%.
    Malformed,
    /// The quality drops by 0.3.
    RatedLow,
    /// The quality drops by 0.3 over 4,000 answers.
    RatedLowSlowly,
    /// The quality of the last kind of task drops by 0.4.
    OneKind,
}

const DEGRADATIONS: [Degradation; 6] = [
    Degradation::Fails,
    Degradation::FailsALittle,
    Degradation::Malformed,
    Degradation::RatedLow,
    Degradation::RatedLowSlowly,
    Degradation::OneKind,
];

/// Outcome of one simulated answer.
struct SimulatedAnswer {
    kind: usize,
    failed: bool,
    malformed: bool,
    rating: Option<u8>,
}

fn simulate_answer(
    rng: &mut Pcg64Mcg,
    degradation: Degradation,
    after_onset: Option<usize>,
    rated_share: f64,
) -> SimulatedAnswer {
    let mut position: f64 = rng.random();
    let mut kind = 0;
    while kind + 1 < KINDS.len() && position >= KINDS[kind].1 {
        position -= KINDS[kind].1;
        kind += 1;
    }
    let (mut failed, mut malformed, mut quality) = (0.01, 0.005, KINDS[kind].2);
    if let Some(after_onset) = after_onset {
        match degradation {
            Degradation::Never => {}
            Degradation::Fails => failed = 0.4,
            Degradation::FailsALittle => failed = 0.1,
            Degradation::Malformed => malformed = 0.3,
            Degradation::RatedLow => quality -= 0.3,
            Degradation::RatedLowSlowly => quality -= 0.3 * (after_onset as f64 / 4_000.0).min(1.0),
            Degradation::OneKind if kind == 2 => quality -= 0.4,
            Degradation::OneKind => {}
        }
    }
    let failed = rng.random::<f64>() < failed;
    let malformed = !failed && rng.random::<f64>() < malformed;
    let quality = answer_quality(rng, quality);
    let score = rate_answer(rng, quality);
    let rated = !failed && !malformed && rng.random::<f64>() < rated_share;
    SimulatedAnswer { kind, failed, malformed, rating: rated.then_some(score) }
}

fn simulate_batch(
    rng: &mut Pcg64Mcg,
    degradation: Degradation,
    after_onset: Option<usize>,
    rated_shares: &[f64; 3],
) -> Vec<StatDelta> {
    let key = |kind: usize| StatKey {
        organisation: OrganisationName::new("all"),
        kind: TaskKind::new(KINDS[kind].0),
        version: VersionKey::parse("cheap/v1").unwrap(),
    };
    let mut deltas: Vec<StatDelta> =
        (0..KINDS.len()).map(|kind| StatDelta::new(key(kind))).collect();
    for i in 0..BATCH_ANSWERS {
        let mut simulated =
            simulate_answer(rng, degradation, after_onset.map(|after_onset| after_onset + i), 1.0);
        if rng.random::<f64>() >= rated_shares[simulated.kind] {
            simulated.rating = None;
        }
        let delta = &mut deltas[simulated.kind];
        delta.failed += u32::from(simulated.failed);
        delta.malformed += u32::from(simulated.malformed);
        delta.answers += u32::from(!simulated.failed && !simulated.malformed);
        delta.ratings.extend(simulated.rating);
    }
    deltas
}

/// Runs the version monitor. Returns the number of answers from the onset to the stop, or `Err`
/// with the number of answers before a false stop.
fn run_monitor(
    degradation: Degradation,
    before: usize,
    after: usize,
    seed: u64,
) -> Result<usize, usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut monitor = VersionMonitor::new(VersionKey::parse("cheap/v1").unwrap());
    let mut rated_shares = [RATED_SHARE; 3];
    for position in (0..before + after).step_by(BATCH_ANSWERS) {
        let after_onset = position.checked_sub(before);
        for delta in simulate_batch(&mut rng, degradation, after_onset, &rated_shares) {
            monitor.observe(&delta, Baseline(None));
        }
        if monitor.verdict().is_some() {
            return after_onset.map(|after_onset| after_onset + BATCH_ANSWERS).ok_or(position);
        }
        rated_shares = [RATED_SHARE; 3];
        for kind in monitor.suspect_kinds(Baseline(None)) {
            let index =
                KINDS.iter().position(|k| k.0 == kind.as_str()).expect("unknown kind of task");
            rated_shares[index] = 1.0;
        }
    }
    Ok(after)
}

/// One window for each signal: failures, malformed answers, ratings, and ratings by kind of task.
struct SignalWindows {
    failed: Window,
    malformed: Window,
    rated: Window,
    kinds: Vec<Window>,
}

/// Largest mean of each window so far, in the order of [`SignalWindows`].
#[derive(Debug, Clone, Copy, Default)]
struct MaxMeans([f64; 6]);

impl SignalWindows {
    fn new(size: usize, tumbling: bool) -> Self {
        let window = || Window::new(size, tumbling);
        let kinds = KINDS.iter().map(|_| window()).collect();
        Self { failed: window(), malformed: window(), rated: window(), kinds }
    }

    fn push(&mut self, simulated: &SimulatedAnswer, max_means: &mut MaxMeans) {
        let indicator = |set: bool| f64::from(u8::from(set));
        let mut record = |index: usize, mean: Option<f64>| {
            max_means.0[index] = max_means.0[index].max(mean.unwrap_or(0.0));
        };
        record(0, self.failed.push(indicator(simulated.failed)));
        record(1, self.malformed.push(indicator(simulated.malformed)));
        if let Some(rating) = simulated.rating {
            let bad = 1.0 - f64::from(rating) / 100.0;
            record(2, self.rated.push(bad));
            record(3 + simulated.kind, self.kinds[simulated.kind].push(bad));
        }
    }
}

/// Detector that stops a version when the mean of a window exceeds its limit.
#[derive(Debug, Clone, Copy)]
struct FixedThreshold {
    size: usize,
    rated_share: f64,
    tumbling: bool,
    limits: MaxMeans,
}

/// Lowest limits that no good run exceeds, for each window size: the tightest limits with the
/// version monitor's rate of false stops.
fn calibrate(rated_share: f64, tumbling: bool) -> [MaxMeans; 3] {
    let mut max_means = [MaxMeans::default(); 3];
    for seed in 0..GOOD_RUNS {
        let mut rng = Pcg64Mcg::seed_from_u64(1_000_000 + seed);
        let mut windows = WINDOW_SIZES.map(|size| SignalWindows::new(size, tumbling));
        for _ in 0..ANSWERS_BEFORE_ONSET {
            let simulated = simulate_answer(&mut rng, Degradation::Never, None, rated_share);
            windows
                .iter_mut()
                .zip(&mut max_means)
                .for_each(|(w, max_means)| w.push(&simulated, max_means));
        }
    }
    max_means
}

/// Answers from the onset until the detector stops the version, or [`MAX_ANSWERS_AFTER_ONSET`].
fn run_threshold(degradation: Degradation, threshold: &FixedThreshold, seed: u64) -> usize {
    let FixedThreshold { size, rated_share, tumbling, limits } = *threshold;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut windows = SignalWindows::new(size, tumbling);
    let mut max_means = MaxMeans::default();
    // Warm-up before the onset. It fills the windows, except that of the kind "dispute" at a rated
    // share of 0.2, which gets about 80% of its size.
    for _ in 0..size * 40 + rng.random_range(0..size) {
        windows.push(&simulate_answer(&mut rng, degradation, None, rated_share), &mut max_means);
    }
    let mut max_means = MaxMeans::default();
    for after_onset in 0..MAX_ANSWERS_AFTER_ONSET {
        windows.push(
            &simulate_answer(&mut rng, degradation, Some(after_onset), rated_share),
            &mut max_means,
        );
        // Checked as often as the version monitor.
        if (after_onset + 1) % BATCH_ANSWERS == 0
            && max_means.0.iter().zip(limits.0).any(|(mean, limit)| *mean > limit)
        {
            return after_onset + 1;
        }
    }
    MAX_ANSWERS_AFTER_ONSET
}

fn mean(counts: impl Iterator<Item = usize>) -> f64 {
    let counts: Vec<usize> = counts.collect();
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

pub fn run() -> Value {
    let false_stops = (0..GOOD_RUNS).filter(|s| {
        run_monitor(Degradation::Never, ANSWERS_BEFORE_ONSET, 0, 5_000_000 + s).is_err()
    });
    let false_stops = false_stops.count();
    let rollouts = (0..ROLLOUT_RUNS)
        .filter(|s| run_monitor(Degradation::Never, ROLLOUT_ANSWERS, 0, 9_000_000 + s).is_err());
    let rollouts = rollouts.count();
    println!(
        "\nfalse stops of the judge: {false_stops} of {GOOD_RUNS} runs of {ANSWERS_BEFORE_ONSET} answers"
    );
    println!(
        "false stops of the judge: {rollouts} of {ROLLOUT_RUNS} roll-outs of {ROLLOUT_ANSWERS} answers"
    );
    println!(
        "windows: thresholds at the maximum of {GOOD_RUNS} good runs of {ANSWERS_BEFORE_ONSET} answers (0 false stops)"
    );
    println!(
        "\nmean answers from onset to stop, {BAD_RUNS} seeds; s: sliding, t: tumbling window, size/share rated"
    );
    let mut thresholds = Vec::new();
    for (rated_share, tumbling) in [(RATED_SHARE, true), (RATED_SHARE, false), (1.0, false)] {
        for (size, limits) in WINDOW_SIZES.into_iter().zip(calibrate(rated_share, tumbling)) {
            thresholds.push(FixedThreshold { size, rated_share, tumbling, limits });
        }
    }
    let mut rows = Vec::new();
    for degradation in DEGRADATIONS {
        let monitor_runs: Vec<_> = (0..BAD_RUNS)
            .map(|s| run_monitor(degradation, ANSWERS_BEFORE_ONSET, MAX_ANSWERS_AFTER_ONSET, s))
            .collect();
        let early = monitor_runs.iter().filter(|run| run.is_err()).count();
        let monitor = mean(monitor_runs.iter().filter_map(|run| run.ok()));
        print!("{:15} judge {monitor:7.0}", format!("{degradation:?}"));
        let mut windows = Vec::new();
        for threshold in &thresholds {
            let answers =
                mean((0..BAD_RUNS).map(|s| run_threshold(degradation, threshold, 77_000 + s)));
            let FixedThreshold { size, rated_share, tumbling, .. } = threshold;
            let name = if *tumbling { "t" } else { "s" };
            print!("  {name}{size}/{rated_share} {answers:6.0}");
            windows.push(json!({
                "size": size, "tumbling": tumbling, "rated": rated_share, "answers": answers,
            }));
        }
        println!();
        rows.push(json!({
            "turn": format!("{degradation:?}"), "judge": monitor, "early": early, "windows": windows,
        }));
    }
    json!({ "false_stops": false_stops, "good_runs": GOOD_RUNS, "rollout_stops": rollouts,
        "rollouts": ROLLOUT_RUNS, "rows": rows })
}
