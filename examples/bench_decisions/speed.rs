//! What a decision takes.

use crate::workload::all;
use samphireshift::control::StatKey;
use samphireshift::name::{OrganisationName, TaskKind, VersionKey};
use samphireshift::policy::{CountReport, Delta, Draw, Knowledge, Plan, Scene, Wish};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: u32 = 100_000;
const PLANS: u32 = 2_000;

/// A report of 32 keys, each with four answers and one rating.
fn report() -> CountReport {
    let delta = |number: usize| {
        let key = StatKey {
            organisation: OrganisationName::new(format!("organisation-{number}")),
            kind: TaskKind::new("summary"),
            version: VersionKey::parse("drafter/2026-12").expect("a version"),
        };
        let ratings = vec![80];
        Delta { answers: 4, prompt: 3_600, tokens: 720, millis: 4_000, ratings, ..Delta::new(key) }
    };
    CountReport { number: 1_000, deltas: (0..32).map(delta).collect() }
}

pub fn run() -> Value {
    let workload = &all()[0];
    let (config, knowledge, held) = (workload.config(), Knowledge::default(), BTreeSet::new());
    let kind = TaskKind::new("summary");
    let scene = Scene {
        organisation: &config.organisations[&OrganisationName::new("organisation-0")],
        config: &config,
        kind: &kind,
        knowledge: &knowledge,
        held: &held,
        weights: workload.weights,
        rating: Some(100.0),
    };
    let began = Instant::now();
    for _ in 0..PLANS {
        black_box(Plan::new(black_box(&scene), &Wish::Any).is_ok());
    }
    let plan = began.elapsed() / PLANS;
    let made = Plan::new(&scene, &Wish::Any).expect("all models are allowed");
    let began = Instant::now();
    for n in 0..ROUNDS {
        let draw = Draw { point: n % 1_000, explore: 999, whole: false };
        black_box(made.pick(black_box(&scene), draw).is_ok());
    }
    let pick = began.elapsed() / ROUNDS;
    let report = report();
    let bytes = postcard::to_stdvec(&report).expect("reports always serialise").len();
    println!("\na full report of {} keys has {bytes} bytes", report.deltas.len());
    println!("a plan takes {plan:?} (once per change), a request's choice {pick:?}");
    json!({ "report_bytes": bytes, "plan_ns": plan.as_nanos() as u64, "pick_ns": pick.as_nanos() as u64 })
}
