//! Duration of routing decisions, and size of a report.

use crate::workload::workloads;
use samphireshift::control::StatKey;
use samphireshift::name::{OrganisationName, TaskKind, VersionKey};
use samphireshift::policy::{
    ChoiceContext, CountReport, FleetStats, ModelRef, RoutingPlan, ShareDraw, StatDelta,
};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

const PICK_ROUNDS: u32 = 100_000;
const PLAN_ROUNDS: u32 = 2_000;

/// Report with 32 keys, each with four answers and one rating.
fn full_report() -> CountReport {
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
    let workload = &workloads()[0];
    let (config, stats, held) = (workload.config(), FleetStats::default(), BTreeSet::new());
    let kind = TaskKind::new("summary");
    let context = ChoiceContext {
        organisation: &config.organisations[&OrganisationName::new("organisation-0")],
        config: &config,
        kind: &kind,
        stats: &stats,
        held: &held,
        weights: workload.weights,
        rating_ms: Some(100.0),
    };
    let started_at = Instant::now();
    for _ in 0..PLAN_ROUNDS {
        black_box(RoutingPlan::new(black_box(&context), &ModelRef::Any).is_ok());
    }
    let plan_time = started_at.elapsed() / PLAN_ROUNDS;
    let built_plan = RoutingPlan::new(&context, &ModelRef::Any).expect("all models are allowed");
    let started_at = Instant::now();
    for n in 0..PICK_ROUNDS {
        let draw = ShareDraw { rollout_point: n % 1_000, explore_point: 999, may_cascade: false };
        black_box(built_plan.pick(black_box(&context), draw).is_ok());
    }
    let pick_time = started_at.elapsed() / PICK_ROUNDS;
    let report = full_report();
    let bytes = postcard::to_stdvec(&report).expect("reports always serialise").len();
    println!("\na full report of {} keys has {bytes} bytes", report.deltas.len());
    println!("a plan takes {plan_time:?} (once per change), a request's choice {pick_time:?}");
    json!({ "report_bytes": bytes, "plan_ns": plan_time.as_nanos() as u64, "pick_ns": pick_time.as_nanos() as u64 })
}
