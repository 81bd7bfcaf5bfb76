//! What a decision takes.

use crate::workload::all;
use samphireshift::control::StatKey;
use samphireshift::name::{OrganisationName, TaskKind, VersionKey};
use samphireshift::policy::{
    ChoiceContext, CountReport, FleetStats, ModelRef, RoutingPlan, ShareDraw, StatDelta,
};
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
        StatDelta {
            answers: 4,
            prompt_tokens: 3_600,
            answer_tokens: 720,
            duration_ms: 4_000,
            ratings,
            ..StatDelta::new(key)
        }
    };
    CountReport { number: 1_000, deltas: (0..32).map(delta).collect() }
}

pub fn run() -> Value {
    let workload = &all()[0];
    let (config, knowledge, held) = (workload.config(), FleetStats::default(), BTreeSet::new());
    let kind = TaskKind::new("summary");
    let scene = ChoiceContext {
        organisation: &config.organisations[&OrganisationName::new("organisation-0")],
        config: &config,
        kind: &kind,
        stats: &knowledge,
        held: &held,
        weights: workload.weights,
        rating_ms: Some(100.0),
    };
    let began = Instant::now();
    for _ in 0..PLANS {
        black_box(RoutingPlan::new(black_box(&scene), &ModelRef::Any).is_ok());
    }
    let plan = began.elapsed() / PLANS;
    let made = RoutingPlan::new(&scene, &ModelRef::Any).expect("all models are allowed");
    let began = Instant::now();
    for n in 0..ROUNDS {
        let draw = ShareDraw { rollout_point: n % 1_000, explore_point: 999, may_cascade: false };
        black_box(made.pick(black_box(&scene), draw).is_ok());
    }
    let pick = began.elapsed() / ROUNDS;
    let report = report();
    let bytes = postcard::to_stdvec(&report).expect("reports always serialise").len();
    println!("\na full report of {} keys has {bytes} bytes", report.deltas.len());
    println!("a plan takes {plan:?} (once per change), a request's choice {pick:?}");
    json!({ "report_bytes": bytes, "plan_ns": plan.as_nanos() as u64, "pick_ns": pick.as_nanos() as u64 })
}
