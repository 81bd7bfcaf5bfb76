//! Answers of a version between its turning bad and its stop.

use crate::window::Window;
use crate::workload::{answer_quality, rating};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::StatKey;
use samphireshift::name::{OrganisationName, TaskKind, VersionKey};
use samphireshift::policy::{Baseline, StatDelta, VersionMonitor};
use serde_json::{Value, json};

/// Answers before the onset.
const BEFORE: usize = 20_000;
/// Answers after it, at most.
const AFTER: usize = 20_000;
/// Answers that are counted together, as in one report.
const BATCH: usize = 10;
const GOOD_RUNS: u64 = 1_000;
const BAD_RUNS: u64 = 40;
const ROLLOUTS: u64 = 10_000;
const ROLLOUT_ANSWERS: usize = 2_000;
/// The share of answers rated, without suspicion.
const SAMPLE: f64 = 0.2;
const WINDOWS: [usize; 3] = [100, 200, 500];

/// Kinds of task: name, share, true quality.
const KINDS: [(&str, f64, f64); 3] =
    [("summary", 0.7, 0.82), ("query", 0.2, 0.78), ("dispute", 0.1, 0.8)];

/// How a version turns bad.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Turn {
    Never,
    Fails,
    FailsALittle,
    Malformed,
    RatedLow,
    RatedLowSlowly,
    OneKind,
}

const TURNS: [Turn; 6] = [
    Turn::Fails,
    Turn::FailsALittle,
    Turn::Malformed,
    Turn::RatedLow,
    Turn::RatedLowSlowly,
    Turn::OneKind,
];

/// One answer.
struct Seen {
    kind: usize,
    failed: bool,
    malformed: bool,
    rating: Option<u8>,
}

fn answer(rng: &mut Pcg64Mcg, turn: Turn, since: Option<usize>, share: f64) -> Seen {
    let mut at: f64 = rng.random();
    let mut kind = 0;
    while kind + 1 < KINDS.len() && at >= KINDS[kind].1 {
        at -= KINDS[kind].1;
        kind += 1;
    }
    let (mut failed, mut malformed, mut quality) = (0.01, 0.005, KINDS[kind].2);
    if let Some(since) = since {
        match turn {
            Turn::Never => {}
            Turn::Fails => failed = 0.4,
            Turn::FailsALittle => failed = 0.1,
            Turn::Malformed => malformed = 0.3,
            Turn::RatedLow => quality -= 0.3,
            Turn::RatedLowSlowly => quality -= 0.3 * (since as f64 / 4_000.0).min(1.0),
            Turn::OneKind if kind == 2 => quality -= 0.4,
            Turn::OneKind => {}
        }
    }
    let failed = rng.random::<f64>() < failed;
    let malformed = !failed && rng.random::<f64>() < malformed;
    let quality = answer_quality(rng, quality);
    let said = rating(rng, quality);
    let rated = !failed && !malformed && rng.random::<f64>() < share;
    Seen { kind, failed, malformed, rating: rated.then_some(said) }
}

fn batch(
    rng: &mut Pcg64Mcg,
    turn: Turn,
    since: Option<usize>,
    shares: &[f64; 3],
) -> Vec<StatDelta> {
    let key = |kind: usize| StatKey {
        organisation: OrganisationName::new("all"),
        kind: TaskKind::new(KINDS[kind].0),
        version: VersionKey::parse("cheap/v1").unwrap(),
    };
    let mut deltas: Vec<StatDelta> =
        (0..KINDS.len()).map(|kind| StatDelta::new(key(kind))).collect();
    for i in 0..BATCH {
        let mut seen = answer(rng, turn, since.map(|since| since + i), 1.0);
        if rng.random::<f64>() >= shares[seen.kind] {
            seen.rating = None;
        }
        let delta = &mut deltas[seen.kind];
        delta.failed += u32::from(seen.failed);
        delta.malformed += u32::from(seen.malformed);
        delta.answers += u32::from(!seen.failed && !seen.malformed);
        delta.ratings.extend(seen.rating);
    }
    deltas
}

/// Runs the judge; answers after the onset until the stop, or `Err` with those before it.
fn judged(turn: Turn, before: usize, after: usize, seed: u64) -> Result<usize, usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut judge = VersionMonitor::new(VersionKey::parse("cheap/v1").unwrap());
    let mut shares = [SAMPLE; 3];
    for at in (0..before + after).step_by(BATCH) {
        let since = at.checked_sub(before);
        for delta in batch(&mut rng, turn, since, &shares) {
            judge.observe(&delta, Baseline(None));
        }
        if judge.verdict().is_some() {
            return since.map(|since| since + BATCH).ok_or(at);
        }
        shares = [SAMPLE; 3];
        for kind in judge.suspect_kinds(Baseline(None)) {
            let place = KINDS.iter().position(|k| k.0 == kind.as_str()).expect("a kind");
            shares[place] = 1.0;
        }
    }
    Ok(after)
}

/// The windows of one signal each: failures, malformed answers, ratings, ratings by kind.
struct Windows {
    failed: Window,
    malformed: Window,
    rated: Window,
    kinds: Vec<Window>,
}

/// The largest means that windows came to.
#[derive(Debug, Clone, Copy, Default)]
struct Most([f64; 6]);

impl Windows {
    fn open(size: usize, tumbling: bool) -> Self {
        let window = || Window::open(size, tumbling);
        let kinds = KINDS.iter().map(|_| window()).collect();
        Self { failed: window(), malformed: window(), rated: window(), kinds }
    }

    fn push(&mut self, seen: &Seen, most: &mut Most) {
        let bit = |set: bool| f64::from(u8::from(set));
        let mut note = |place: usize, mean: Option<f64>| {
            most.0[place] = most.0[place].max(mean.unwrap_or(0.0));
        };
        note(0, self.failed.push(bit(seen.failed)));
        note(1, self.malformed.push(bit(seen.malformed)));
        if let Some(rating) = seen.rating {
            let bad = 1.0 - f64::from(rating) / 100.0;
            note(2, self.rated.push(bad));
            note(3 + seen.kind, self.kinds[seen.kind].push(bad));
        }
    }
}

/// One fixed threshold over a window.
#[derive(Debug, Clone, Copy)]
struct Twin {
    size: usize,
    share: f64,
    tumbling: bool,
    limits: Most,
}

/// Thresholds that no good run crosses, the tightest that keep to the judge's rate of false stops.
fn calibrate(share: f64, tumbling: bool) -> [Most; 3] {
    let mut most = [Most::default(); 3];
    for seed in 0..GOOD_RUNS {
        let mut rng = Pcg64Mcg::seed_from_u64(1_000_000 + seed);
        let mut windows = WINDOWS.map(|size| Windows::open(size, tumbling));
        for _ in 0..BEFORE {
            let seen = answer(&mut rng, Turn::Never, None, share);
            windows.iter_mut().zip(&mut most).for_each(|(w, most)| w.push(&seen, most));
        }
    }
    most
}

fn windowed(turn: Turn, twin: &Twin, seed: u64) -> usize {
    let Twin { size, share, tumbling, limits } = *twin;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut windows = Windows::open(size, tumbling);
    let mut most = Most::default();
    // The windows are full long before the onset.
    for _ in 0..size * 40 + rng.random_range(0..size) {
        windows.push(&answer(&mut rng, turn, None, share), &mut most);
    }
    let mut most = Most::default();
    for since in 0..AFTER {
        windows.push(&answer(&mut rng, turn, Some(since), share), &mut most);
        // Looked at as often as the judge.
        if (since + 1) % BATCH == 0
            && most.0.iter().zip(limits.0).any(|(mean, limit)| *mean > limit)
        {
            return since + 1;
        }
    }
    AFTER
}

fn mean(counts: impl Iterator<Item = usize>) -> f64 {
    let counts: Vec<usize> = counts.collect();
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

pub fn run() -> Value {
    let false_stops =
        (0..GOOD_RUNS).filter(|s| judged(Turn::Never, BEFORE, 0, 5_000_000 + s).is_err());
    let false_stops = false_stops.count();
    let rollouts =
        (0..ROLLOUTS).filter(|s| judged(Turn::Never, ROLLOUT_ANSWERS, 0, 9_000_000 + s).is_err());
    let rollouts = rollouts.count();
    println!("\nfalse stops of the judge: {false_stops} of {GOOD_RUNS} runs of {BEFORE} answers");
    println!(
        "false stops of the judge: {rollouts} of {ROLLOUTS} roll-outs of {ROLLOUT_ANSWERS} answers"
    );
    println!(
        "windows: thresholds at the maximum of {GOOD_RUNS} good runs of {BEFORE} answers (0 false stops)"
    );
    println!(
        "\nmean answers from onset to stop, {BAD_RUNS} seeds; s: sliding, t: tumbling window, size/share rated"
    );
    let mut twins = Vec::new();
    for (share, tumbling) in [(SAMPLE, true), (SAMPLE, false), (1.0, false)] {
        for (size, limits) in WINDOWS.into_iter().zip(calibrate(share, tumbling)) {
            twins.push(Twin { size, share, tumbling, limits });
        }
    }
    let mut rows = Vec::new();
    for turn in TURNS {
        let ours: Vec<_> = (0..BAD_RUNS).map(|s| judged(turn, BEFORE, AFTER, s)).collect();
        let early = ours.iter().filter(|run| run.is_err()).count();
        let judge = mean(ours.iter().filter_map(|run| run.ok()));
        print!("{:15} judge {judge:7.0}", format!("{turn:?}"));
        let mut windows = Vec::new();
        for twin in &twins {
            let answers = mean((0..BAD_RUNS).map(|s| windowed(turn, twin, 77_000 + s)));
            let Twin { size, share, tumbling, .. } = twin;
            let name = if *tumbling { "t" } else { "s" };
            print!("  {name}{size}/{share} {answers:6.0}");
            windows.push(json!({
                "size": size, "tumbling": tumbling, "rated": share, "answers": answers,
            }));
        }
        println!();
        rows.push(json!({
            "turn": format!("{turn:?}"), "judge": judge, "early": early, "windows": windows,
        }));
    }
    json!({ "false_stops": false_stops, "good_runs": GOOD_RUNS, "rollout_stops": rollouts,
        "rollouts": ROLLOUTS, "rows": rows })
}
