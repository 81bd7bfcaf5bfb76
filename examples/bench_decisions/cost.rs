//! Compares strategies for choosing versions: cost per answer, and the share of answers that miss
//! the quality target.

use crate::workload::{
    KindSpec, MODELS, Workload, answer_quality, model_index, rate_answer, workloads,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::{Config, Price, RouterId, StatKey, StatsSummary};
use samphireshift::name::{OrganisationName, TaskKind, VersionKey, VmName};
use samphireshift::policy::{
    ChoiceContext, CountReport, FleetStats, ModelRef, RoutingPlan, SamplingParams, ShareDraw,
    StatDelta, StatsAggregator,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const REQUEST_COUNT: u64 = 200_000;
const SEED_COUNT: u64 = 3;
/// Requests between two reports to the leader; about one second at the simulated load.
const REPORT_INTERVAL_REQUESTS: u64 = 200;
/// Base share of answers to rate, in permille.
const SAMPLE_PERMILLE: u64 = 100;
/// A cell misses its target if its mean quality is lower by more than this.
const QUALITY_TOLERANCE: f64 = 0.01;
/// Latency of a rating; an answer takes 1 second.
const RATING_MS: f64 = 100.0;

/// Strategy for choosing versions.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    /// Always the best model.
    Better,
    /// Always the cheapest model.
    Cheapest,
    /// The cheapest model that meets the target by its configured quality.
    Prior,
    /// The routing policy under test.
    Learned,
    /// The cheapest choice that meets the target by the true qualities.
    Oracle,
}

/// Totals of one run.
#[derive(Default)]
struct RunTotals {
    cost: f64,
    /// By organisation and kind of task: sum of qualities, number of answers, and quality target.
    cells: BTreeMap<(OrganisationName, &'static str), (f64, u64, f64)>,
    rated: u64,
}

/// State of the routing policy under test: the leader's statistics, the router's copy of them, and
/// the changes that it has not reported yet.
struct LearnedPolicy {
    config: Config,
    aggregator: StatsAggregator,
    stats: FleetStats,
    deltas: BTreeMap<StatKey, StatDelta>,
    plans: BTreeMap<(OrganisationName, &'static str), RoutingPlan>,
    reports: u64,
}

pub fn run() -> Vec<Value> {
    let mut out = Vec::new();
    println!("cost per answer at the quality target, {REQUEST_COUNT} requests, {SEED_COUNT} seeds");
    for workload in workloads() {
        for buffered in [false, true] {
            out.extend(compare(&workload, buffered));
        }
    }
    out
}

fn compare(workload: &Workload, buffered: bool) -> Vec<Value> {
    let mode = if buffered { "whole" } else { "streamed" };
    println!("\n{} ({mode}): cost/answer  of oracle  answers in cells below target", workload.name);
    let cost = |strategy| {
        let runs = (0..SEED_COUNT).map(|seed| simulate(workload, strategy, buffered, seed));
        let (mut cost, mut missed, mut rated) = (0.0, 0.0, 0.0);
        for totals in runs {
            cost += totals.cost / REQUEST_COUNT as f64 / SEED_COUNT as f64;
            missed += totals.missed() / SEED_COUNT as f64;
            rated += totals.rated as f64 / REQUEST_COUNT as f64 / SEED_COUNT as f64;
        }
        (cost, missed, rated)
    };
    let (oracle, ..) = cost(Strategy::Oracle);
    let strategies = [
        Strategy::Better,
        Strategy::Cheapest,
        Strategy::Prior,
        Strategy::Learned,
        Strategy::Oracle,
    ];
    let row = |strategy: Strategy| {
        let (cost, missed, rated) = cost(strategy);
        let name = format!("{strategy:?}");
        println!("  {name:9} {cost:10.1} {:9.3} {missed:9.3}   rated {rated:.3}", cost / oracle);
        json!({
            "workload": workload.name, "mode": mode, "way": name, "cost": cost,
            "of_oracle": cost / oracle, "missed": missed, "rated": rated,
        })
    };
    strategies.into_iter().map(row).collect()
}

fn simulate(workload: &Workload, strategy: Strategy, buffered: bool, seed: u64) -> RunTotals {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let config = workload.config();
    let mut learned = LearnedPolicy {
        aggregator: StatsAggregator::from_summary(1, &StatsSummary::default()),
        stats: FleetStats::default(),
        deltas: BTreeMap::new(),
        plans: BTreeMap::new(),
        reports: 0,
        config,
    };
    let mut totals = RunTotals::default();
    let fixed_choices: BTreeMap<_, _> = workload
        .kinds
        .iter()
        .map(|kind| (kind.name, fixed_choice(workload, strategy, kind, buffered)))
        .collect();
    for n in 0..REQUEST_COUNT {
        let (organisation, kind) = workload.draw_request(&mut rng);
        // The rating service is unavailable for a tenth of the run.
        let rating_down = (REQUEST_COUNT / 2..REQUEST_COUNT / 2 + REQUEST_COUNT / 10).contains(&n);
        let (first, next) = match strategy {
            Strategy::Learned => {
                let draw = ShareDraw::of(&format!("{seed}/{n}"), buffered);
                learned.choose(workload, &organisation, kind, draw, rating_down)
            }
            _ => fixed_choices[kind.name].clone(),
        };
        let model = model_index(&first);
        let mut quality = answer_quality(&mut rng, kind.true_quality[model]);
        let mut cost = answer_cost(&first, kind);
        let score = rate_answer(&mut rng, quality);
        let escalates =
            next.is_some() && (rating_down || f64::from(score) < kind.quality_target * 100.0);
        if strategy == Strategy::Learned {
            let rated = !rating_down
                && (next.is_some() || learned.should_rate(&mut rng, &organisation, kind, &first));
            totals.rated += u64::from(rated);
            learned.record(&organisation, kind, &first, rated.then_some(score));
        }
        if let Some(next) = next.filter(|_| escalates) {
            quality = answer_quality(&mut rng, kind.true_quality[model_index(&next)]);
            cost += answer_cost(&next, kind);
            if strategy == Strategy::Learned {
                learned.record(&organisation, kind, &next, None);
            }
        }
        totals.add(organisation, kind, quality, cost);
        if strategy == Strategy::Learned && n % REPORT_INTERVAL_REQUESTS == 0 {
            learned.report();
        }
    }
    totals
}

/// Choice of a strategy without learning: the first version, and the one to escalate to. The oracle
/// knows the true qualities, and hence whether a cascade pays off. A kind with a direct model
/// always gets that one.
fn fixed_choice(
    workload: &Workload,
    strategy: Strategy,
    kind: &KindSpec,
    buffered: bool,
) -> (VersionKey, Option<VersionKey>) {
    let key = |model: usize| VersionKey::parse(&format!("{}/v1", MODELS[model].0)).unwrap();
    if let Some(direct) = kind.direct_model {
        return (VersionKey::parse(&format!("{direct}/v1")).unwrap(), None);
    }
    let cheapest_with = |quality: &dyn Fn(usize) -> f64| {
        let good = (0..MODELS.len()).find(|model| quality(*model) >= kind.quality_target);
        good.unwrap_or(MODELS.len() - 1)
    };
    match strategy {
        Strategy::Better => (key(MODELS.len() - 1), None),
        Strategy::Cheapest => (key(0), None),
        Strategy::Prior => (key(cheapest_with(&|model| MODELS[model].3)), None),
        Strategy::Learned | Strategy::Oracle => {
            let best = cheapest_with(&|model| kind.true_quality[model]);
            let first = (0..best)
                .filter(|_| buffered)
                .find(|model| cascade_pays(workload, kind, *model, best));
            match first {
                Some(first) => (key(first), Some(key(best))),
                None => (key(best), None),
            }
        }
    }
}

/// Whether a cascade from `first` to `best` is better than `best` alone; the share of escalated
/// answers is estimated from 4,000 simulated answers.
fn cascade_pays(workload: &Workload, kind: &KindSpec, first: usize, best: usize) -> bool {
    const ANSWER_MS: f64 = 1_000.0;
    let mut rng = Pcg64Mcg::seed_from_u64(99);
    let below = (0..4_000)
        .filter(|_| answer_quality(&mut rng, kind.true_quality[first]) < kind.quality_target);
    let escalation_share = below.count() as f64 / 4_000.0;
    let key = |model: usize| VersionKey::parse(&format!("{}/v1", MODELS[model].0)).unwrap();
    let best_cost = answer_cost(&key(best), kind);
    let cost = (answer_cost(&key(first), kind) + escalation_share * best_cost) / best_cost;
    let relative_time = (ANSWER_MS + RATING_MS + escalation_share * ANSWER_MS) / ANSWER_MS;
    workload.weights.cascade_pays(cost, relative_time)
}

fn answer_cost(version: &VersionKey, kind: &KindSpec) -> f64 {
    let (_, prompt, answer, _) = MODELS[model_index(version)];
    Price { prompt, answer }.cost(kind.prompt_tokens, kind.answer_tokens) as f64
}

impl LearnedPolicy {
    fn choose(
        &mut self,
        workload: &Workload,
        organisation: &OrganisationName,
        kind: &KindSpec,
        draw: ShareDraw,
        rating_down: bool,
    ) -> (VersionKey, Option<VersionKey>) {
        let (name, held) = (TaskKind::new(kind.name), BTreeSet::new());
        let context = ChoiceContext {
            config: &self.config,
            organisation: &self.config.organisations[organisation],
            kind: &name,
            stats: &self.stats,
            held: &held,
            weights: workload.weights,
            rating_ms: Some(RATING_MS).filter(|_| !rating_down),
        };
        let build = || RoutingPlan::new(&context, &ModelRef::Any).expect("all models are allowed");
        let plan = self.plans.entry((organisation.clone(), kind.name)).or_insert_with(build);
        let choice = plan.pick(&context, draw).expect("the best available version is served");
        (choice.version, choice.escalate_to.filter(|_| !rating_down))
    }

    fn should_rate(
        &self,
        rng: &mut Pcg64Mcg,
        organisation: &OrganisationName,
        kind: &KindSpec,
        version: &VersionKey,
    ) -> bool {
        let name = TaskKind::new(kind.name);
        let version_config = &self.config.versions[version];
        let estimate = self.stats.quality(organisation, &name, version, version_config);
        let params = SamplingParams {
            target: kind.quality_target,
            base_permille: SAMPLE_PERMILLE,
            in_rollout: false,
        };
        rng.random_range(0..1_000) < self.stats.sample_permille(&name, version, &estimate, params)
    }

    fn record(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindSpec,
        version: &VersionKey,
        rating: Option<u8>,
    ) {
        let (organisation, kind_name) = (organisation.clone(), TaskKind::new(kind.name));
        let key = StatKey { organisation, kind: kind_name, version: version.clone() };
        let delta = self.deltas.entry(key.clone()).or_insert_with(|| StatDelta::new(key));
        delta.answers += 1;
        delta.prompt_tokens += kind.prompt_tokens;
        delta.answer_tokens += kind.answer_tokens;
        delta.duration_ms += 1_000;
        delta.ratings.extend(rating);
    }

    fn report(&mut self) {
        self.reports += 1;
        let deltas = std::mem::take(&mut self.deltas).into_values().collect();
        let report = CountReport { number: self.reports, deltas };
        let router = RouterId { vm: VmName::new("entry-1"), run: 1 };
        self.aggregator.merge(&self.config, &router, &report);
        while let Some(change) = self.aggregator.change_since(self.stats.epoch()) {
            self.stats.apply(change);
        }
        self.plans.clear();
    }
}

impl RunTotals {
    fn add(&mut self, organisation: OrganisationName, kind: &KindSpec, quality: f64, cost: f64) {
        self.cost += cost;
        let cell =
            self.cells.entry((organisation, kind.name)).or_insert((0.0, 0, kind.quality_target));
        cell.0 += quality;
        cell.1 += 1;
    }

    /// Share of answers in cells whose mean quality misses the target.
    fn missed(&self) -> f64 {
        let misses = |(sum, count, target): &&(f64, u64, f64)| {
            sum / *count as f64 + QUALITY_TOLERANCE < *target
        };
        let missed: u64 = self.cells.values().filter(misses).map(|cell| cell.1).sum();
        missed as f64 / REQUEST_COUNT as f64
    }
}
