//! Cost per answer, and by how much the quality target is missed.

use crate::workload::{Kind, MODELS, Workload, all, answer_quality, model_of, rating};
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

const REQUESTS: u64 = 200_000;
const SEEDS: u64 = 3;
/// Requests between two reports, about a second's worth.
const REPORT_EVERY: u64 = 200;
/// The share of answers to rate, in thousandths.
const SAMPLE: u64 = 100;
/// How far below its target a cell's mean counts as a miss.
const TOLERANCE: f64 = 0.01;
/// How long a rating takes beside an answer, in milliseconds.
const RATING_MILLIS: f64 = 100.0;

/// How versions are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Better,
    Cheapest,
    Prior,
    Learned,
    Oracle,
}

/// Sums of one run.
#[derive(Default)]
struct Sums {
    cost: f64,
    cells: BTreeMap<(OrganisationName, &'static str), (f64, u64, f64)>,
    rated: u64,
}

/// What our policy knows.
struct Learner {
    config: Config,
    board: StatsAggregator,
    knowledge: FleetStats,
    deltas: BTreeMap<StatKey, StatDelta>,
    plans: BTreeMap<(OrganisationName, &'static str), RoutingPlan>,
    reports: u64,
}

pub fn run() -> Vec<Value> {
    let mut out = Vec::new();
    println!("cost per answer at the quality target, {REQUESTS} requests, {SEEDS} seeds");
    for workload in all() {
        for whole in [false, true] {
            out.extend(compare(&workload, whole));
        }
    }
    out
}

fn compare(workload: &Workload, whole: bool) -> Vec<Value> {
    let mode = if whole { "whole" } else { "streamed" };
    println!("\n{} ({mode}): cost/answer  of oracle  answers in cells below target", workload.name);
    let cost = |way| {
        let runs = (0..SEEDS).map(|seed| one(workload, way, whole, seed));
        let (mut cost, mut missed, mut rated) = (0.0, 0.0, 0.0);
        for sums in runs {
            cost += sums.cost / REQUESTS as f64 / SEEDS as f64;
            missed += sums.missed() / SEEDS as f64;
            rated += sums.rated as f64 / REQUESTS as f64 / SEEDS as f64;
        }
        (cost, missed, rated)
    };
    let (oracle, ..) = cost(Way::Oracle);
    let ways = [Way::Better, Way::Cheapest, Way::Prior, Way::Learned, Way::Oracle];
    let row = |way: Way| {
        let (cost, missed, rated) = cost(way);
        let name = format!("{way:?}");
        println!("  {name:9} {cost:10.1} {:9.3} {missed:9.3}   rated {rated:.3}", cost / oracle);
        json!({
            "workload": workload.name, "mode": mode, "way": name, "cost": cost,
            "of_oracle": cost / oracle, "missed": missed, "rated": rated,
        })
    };
    ways.into_iter().map(row).collect()
}

fn one(workload: &Workload, way: Way, whole: bool, seed: u64) -> Sums {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let config = workload.config();
    let mut learner = Learner {
        board: StatsAggregator::from_summary(1, &StatsSummary::default()),
        knowledge: FleetStats::default(),
        deltas: BTreeMap::new(),
        plans: BTreeMap::new(),
        reports: 0,
        config,
    };
    let mut sums = Sums::default();
    let fixed: BTreeMap<_, _> =
        workload.kinds.iter().map(|kind| (kind.name, fixed(workload, way, kind, whole))).collect();
    for n in 0..REQUESTS {
        let (organisation, kind) = workload.draw(&mut rng);
        // For a tenth of the time the rating service is down.
        let down = (REQUESTS / 2..REQUESTS / 2 + REQUESTS / 10).contains(&n);
        let (first, next) = match way {
            Way::Learned => {
                let draw = ShareDraw::of(&format!("{seed}/{n}"), whole);
                learner.choose(workload, &organisation, kind, draw, down)
            }
            _ => fixed[kind.name].clone(),
        };
        let model = model_of(&first);
        let mut quality = answer_quality(&mut rng, kind.quality[model]);
        let mut cost = price(&first, kind);
        let said = rating(&mut rng, quality);
        let escalates = next.is_some() && (down || f64::from(said) < kind.target * 100.0);
        if way == Way::Learned {
            let rate =
                !down && (next.is_some() || learner.rates(&mut rng, &organisation, kind, &first));
            sums.rated += u64::from(rate);
            learner.note(&organisation, kind, &first, rate.then_some(said));
        }
        if let Some(next) = next.filter(|_| escalates) {
            quality = answer_quality(&mut rng, kind.quality[model_of(&next)]);
            cost += price(&next, kind);
            if way == Way::Learned {
                learner.note(&organisation, kind, &next, None);
            }
        }
        sums.add(organisation, kind, quality, cost);
        if way == Way::Learned && n % REPORT_EVERY == 0 {
            learner.report();
        }
    }
    sums
}

/// The ways that learn nothing. The oracle knows true qualities, and whether a cascade pays.
fn fixed(
    workload: &Workload,
    way: Way,
    kind: &Kind,
    whole: bool,
) -> (VersionKey, Option<VersionKey>) {
    let key = |model: usize| VersionKey::parse(&format!("{}/v1", MODELS[model].0)).unwrap();
    if let Some(direct) = kind.direct {
        return (VersionKey::parse(&format!("{direct}/v1")).unwrap(), None);
    }
    let cheapest_with = |quality: &dyn Fn(usize) -> f64| {
        let good = (0..MODELS.len()).find(|model| quality(*model) >= kind.target);
        good.unwrap_or(MODELS.len() - 1)
    };
    match way {
        Way::Better => (key(MODELS.len() - 1), None),
        Way::Cheapest => (key(0), None),
        Way::Prior => (key(cheapest_with(&|model| MODELS[model].3)), None),
        Way::Learned | Way::Oracle => {
            let best = cheapest_with(&|model| kind.quality[model]);
            let first =
                (0..best).filter(|_| whole).find(|model| pays(workload, kind, *model, best));
            match first {
                Some(first) => (key(first), Some(key(best))),
                None => (key(best), None),
            }
        }
    }
}

fn pays(workload: &Workload, kind: &Kind, first: usize, best: usize) -> bool {
    const MILLIS: f64 = 1_000.0;
    let mut rng = Pcg64Mcg::seed_from_u64(99);
    let below = (0..4_000).filter(|_| answer_quality(&mut rng, kind.quality[first]) < kind.target);
    let again = below.count() as f64 / 4_000.0;
    let key = |model: usize| VersionKey::parse(&format!("{}/v1", MODELS[model].0)).unwrap();
    let dear = price(&key(best), kind);
    let cost = (price(&key(first), kind) + again * dear) / dear;
    let millis = (MILLIS + RATING_MILLIS + again * MILLIS) / MILLIS;
    workload.weights.cascade_pays(cost, millis)
}

fn price(version: &VersionKey, kind: &Kind) -> f64 {
    let (_, prompt, answer, _) = MODELS[model_of(version)];
    Price { prompt, answer }.cost(kind.prompt, kind.answer) as f64
}

impl Learner {
    fn choose(
        &mut self,
        workload: &Workload,
        organisation: &OrganisationName,
        kind: &Kind,
        draw: ShareDraw,
        down: bool,
    ) -> (VersionKey, Option<VersionKey>) {
        let (name, held) = (TaskKind::new(kind.name), BTreeSet::new());
        let scene = ChoiceContext {
            config: &self.config,
            organisation: &self.config.organisations[organisation],
            kind: &name,
            stats: &self.knowledge,
            held: &held,
            weights: workload.weights,
            rating_ms: Some(RATING_MILLIS).filter(|_| !down),
        };
        let make = || RoutingPlan::new(&scene, &ModelRef::Any).expect("all models are allowed");
        let plan = self.plans.entry((organisation.clone(), kind.name)).or_insert_with(make);
        let choice = plan.pick(&scene, draw).expect("the least bad is served");
        (choice.version, choice.escalate_to.filter(|_| !down))
    }

    fn rates(
        &self,
        rng: &mut Pcg64Mcg,
        organisation: &OrganisationName,
        kind: &Kind,
        version: &VersionKey,
    ) -> bool {
        let name = TaskKind::new(kind.name);
        let found = &self.config.versions[version];
        let estimate = self.knowledge.quality(organisation, &name, version, found);
        let goal = SamplingParams { target: kind.target, base_permille: SAMPLE, in_rollout: false };
        rng.random_range(0..1_000) < self.knowledge.sample_permille(&name, version, &estimate, goal)
    }

    fn note(
        &mut self,
        organisation: &OrganisationName,
        kind: &Kind,
        version: &VersionKey,
        rating: Option<u8>,
    ) {
        let (organisation, kind_name) = (organisation.clone(), TaskKind::new(kind.name));
        let key = StatKey { organisation, kind: kind_name, version: version.clone() };
        let delta = self.deltas.entry(key.clone()).or_insert_with(|| StatDelta::new(key));
        delta.answers += 1;
        delta.prompt_tokens += kind.prompt;
        delta.answer_tokens += kind.answer;
        delta.duration_ms += 1_000;
        delta.ratings.extend(rating);
    }

    fn report(&mut self) {
        self.reports += 1;
        let deltas = std::mem::take(&mut self.deltas).into_values().collect();
        let report = CountReport { number: self.reports, deltas };
        let router = RouterId { vm: VmName::new("entry-1"), run: 1 };
        self.board.merge(&self.config, &router, &report);
        while let Some(change) = self.board.change_since(self.knowledge.epoch()) {
            self.knowledge.apply(change);
        }
        self.plans.clear();
    }
}

impl Sums {
    fn add(&mut self, organisation: OrganisationName, kind: &Kind, quality: f64, cost: f64) {
        self.cost += cost;
        let cell = self.cells.entry((organisation, kind.name)).or_insert((0.0, 0, kind.target));
        cell.0 += quality;
        cell.1 += 1;
    }

    /// The share of answers in cells whose mean quality misses the target.
    fn missed(&self) -> f64 {
        let misses =
            |(sum, count, target): &&(f64, u64, f64)| sum / *count as f64 + TOLERANCE < *target;
        let missed: u64 = self.cells.values().filter(misses).map(|cell| cell.1).sum();
        missed as f64 / REQUESTS as f64
    }
}
