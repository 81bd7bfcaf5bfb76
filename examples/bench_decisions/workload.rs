//! The two workloads: what callers ask, what versions truly are.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use samphireshift::control::{
    Config, FallbackPolicy, KindRule, Model, ModelGrant, Organisation, Price, RoutingMode, Version,
    VersionState,
};
use samphireshift::name::{
    ModelName, OrganisationName, PoolName, TaskKind, VersionKey, VersionName,
};
use samphireshift::policy::Weights;

/// Organisations; the first few are large.
const ORGANISATIONS: usize = 10;
/// Standard deviation of single ratings about the true quality.
const NOISE: f64 = 0.15;
/// Ratings that are wrong altogether.
const WRONG: f64 = 0.02;

/// A kind of task.
pub struct Kind {
    pub name: &'static str,
    /// Its part of all requests, in hundredths.
    pub part: u32,
    pub target: f64,
    pub prompt: u64,
    pub answer: u64,
    /// True quality by model.
    pub quality: [f64; 3],
    /// The model that the organisation's rule names.
    pub direct: Option<&'static str>,
}

/// A workload.
pub struct Workload {
    pub name: &'static str,
    pub weights: Weights,
    pub kinds: Vec<Kind>,
}

/// Models from cheap to dear: name, price of prompt and answer tokens, the ticket's quality.
pub const MODELS: [(&str, u64, u64, f64); 3] =
    [("cheap", 100, 300, 0.8), ("middle", 400, 1_200, 0.86), ("better", 1_000, 3_000, 0.93)];

/// Both workloads, and the second one with a lower target for schedules, and cost before latency.
pub fn all() -> Vec<Workload> {
    let karri = Workload {
        name: "Karri Lane",
        weights: Weights { cost: 1, latency: 1, exposure: 3 },
        kinds: vec![
            kind("summary", 65, 0.75, (900, 180), [0.82, 0.88, 0.93], None),
            kind("query", 25, 0.8, (300, 120), [0.76, 0.86, 0.94], None),
            kind("dispute", 10, 0.9, (2_500, 500), [0.55, 0.8, 0.94], Some("better")),
        ],
    };
    let vanrajvadi = |cost, latency| Workload {
        name: if cost > latency { "Vanrajvadi, cost first" } else { "Vanrajvadi" },
        weights: Weights { cost, latency, exposure: 1 },
        kinds: vec![
            kind("stock", 60, 0.7, (150, 40), [0.86, 0.9, 0.94], None),
            kind(
                "schedule",
                25,
                if cost > latency { 0.72 } else { 0.78 },
                (1_500, 500),
                [0.7, 0.85, 0.93],
                None,
            ),
            kind("specification", 15, 0.85, (6_000, 800), [0.6, 0.8, 0.92], None),
        ],
    };
    vec![karri, vanrajvadi(2, 3), vanrajvadi(5, 1)]
}

fn kind(
    name: &'static str,
    part: u32,
    target: f64,
    (prompt, answer): (u64, u64),
    quality: [f64; 3],
    direct: Option<&'static str>,
) -> Kind {
    Kind { name, part, target, prompt, answer, quality, direct }
}

impl Workload {
    /// The configuration that a ticket would make.
    pub fn config(&self) -> Config {
        let mut config = Config { revision: 1, ..Config::default() };
        for (name, prompt, answer, quality) in MODELS {
            let model = ModelName::new(name);
            let description = String::new();
            config.models.insert(model.clone(), Model { name: model.clone(), description });
            let version = Version {
                model,
                version: VersionName::new("v1"),
                pool: PoolName::new(name),
                state: VersionState::Open,
                quality,
                price: Price { prompt, answer },
            };
            config.versions.insert(version.key(), version);
        }
        for number in 0..ORGANISATIONS {
            let organisation = self.organisation(number);
            config.organisations.insert(organisation.name.clone(), organisation);
        }
        config
    }

    fn organisation(&self, number: usize) -> Organisation {
        let grant = |m: &(&str, u64, u64, f64)| ModelGrant {
            model: ModelName::new(m.0),
            versions: Vec::new(),
        };
        let rule = |kind: &Kind| KindRule {
            kind: TaskKind::new(kind.name),
            quality_target: kind.target,
            route: match kind.direct {
                Some(model) => RoutingMode::Direct(ModelName::new(model)),
                None => RoutingMode::Choose,
            },
        };
        Organisation {
            name: OrganisationName::new(format!("organisation-{number}")),
            keys: Vec::new(),
            weight: 1,
            models: MODELS.iter().map(grant).collect(),
            services: Vec::new(),
            quality_target: 0.8,
            kinds: self.kinds.iter().map(rule).collect(),
            fallback: FallbackPolicy::BestAvailable,
        }
    }

    /// Draws a request: its organisation, three of which make 70 in 100, and its kind.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> (OrganisationName, &Kind) {
        let large = rng.random_range(0..100) < 70;
        let number =
            if large { rng.random_range(0..3) } else { rng.random_range(3..ORGANISATIONS) };
        let mut at = rng.random_range(0..100);
        let kind = self.kinds.iter().find(|kind| {
            let found = at < kind.part;
            at = at.saturating_sub(kind.part);
            found
        });
        (OrganisationName::new(format!("organisation-{number}")), kind.expect("parts sum to 100"))
    }
}

/// The place of a version's model among [`MODELS`].
pub fn model_of(version: &VersionKey) -> usize {
    let same = |m: &(&str, u64, u64, f64)| m.0 == version.model.as_str();
    MODELS.iter().position(same).expect("a model of the workload")
}

/// The quality of a single answer about a true mean.
pub fn answer_quality(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    // The sum of three uniform draws, scaled to variance 1, is nearly normal.
    let normal = 2.0 * ((0..3).map(|_| rng.random::<f64>()).sum::<f64>() - 1.5);
    (mean + NOISE * normal).clamp(0.0, 1.0)
}

/// What the rating service says of an answer.
pub fn rating(rng: &mut Pcg64Mcg, quality: f64) -> u8 {
    let wrong = rng.random::<f64>() < WRONG;
    let said = if wrong { rng.random() } else { quality };
    (said * 100.0).round() as u8
}
