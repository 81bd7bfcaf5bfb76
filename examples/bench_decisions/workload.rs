//! Simulated workloads: the requests of callers, and the true qualities of the models.

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

/// Organisations that send requests; the first three send most of them.
const ORGANISATION_COUNT: usize = 10;
/// Standard deviation of the quality of single answers around the true mean.
const QUALITY_STD_DEV: f64 = 0.15;
/// Share of ratings that are random, whatever the quality of the answer.
const RANDOM_RATING_SHARE: f64 = 0.02;

/// Kind of task in a workload.
pub struct KindSpec {
    pub name: &'static str,
    /// Share of all requests, in percent.
    pub share_percent: u32,
    pub quality_target: f64,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    /// True mean quality by model, in the order of [`MODELS`].
    pub true_quality: [f64; 3],
    /// Model that the organisations' rules name for this kind, if any.
    pub direct_model: Option<&'static str>,
}

/// Mix of requests, and the weights by which the router chooses.
pub struct Workload {
    pub name: &'static str,
    pub weights: Weights,
    pub kinds: Vec<KindSpec>,
}

/// Models from the cheapest to the most expensive: name, price of prompt and of answer tokens, and
/// the quality that the ticket states.
pub const MODELS: [(&str, u64, u64, f64); 3] =
    [("cheap", 100, 300, 0.8), ("middle", 400, 1_200, 0.86), ("better", 1_000, 3_000, 0.93)];

/// The two workloads, and a variant of the second one that weighs cost above latency and has a
/// lower quality target for the kind "schedule".
pub fn workloads() -> Vec<Workload> {
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
    share_percent: u32,
    quality_target: f64,
    (prompt_tokens, answer_tokens): (u64, u64),
    true_quality: [f64; 3],
    direct_model: Option<&'static str>,
) -> KindSpec {
    KindSpec {
        name,
        share_percent,
        quality_target,
        prompt_tokens,
        answer_tokens,
        true_quality,
        direct_model,
    }
}

impl Workload {
    /// Configuration with the models, their versions and the organisations.
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
        for number in 0..ORGANISATION_COUNT {
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
        let rule = |kind: &KindSpec| KindRule {
            kind: TaskKind::new(kind.name),
            quality_target: kind.quality_target,
            route: match kind.direct_model {
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

    /// Draws the organisation and the kind of a random request. Three organisations send 70% of the
    /// requests.
    pub fn draw_request(&self, rng: &mut Pcg64Mcg) -> (OrganisationName, &KindSpec) {
        let large = rng.random_range(0..100) < 70;
        let number =
            if large { rng.random_range(0..3) } else { rng.random_range(3..ORGANISATION_COUNT) };
        let mut point = rng.random_range(0..100);
        let kind = self.kinds.iter().find(|kind| {
            let found = point < kind.share_percent;
            point = point.saturating_sub(kind.share_percent);
            found
        });
        (OrganisationName::new(format!("organisation-{number}")), kind.expect("shares sum to 100%"))
    }
}

/// Index of a version's model in [`MODELS`].
pub fn model_index(version: &VersionKey) -> usize {
    let same = |m: &(&str, u64, u64, f64)| m.0 == version.model.as_str();
    MODELS.iter().position(same).expect("version of an unknown model")
}

/// Random quality of a single answer around a true mean.
pub fn answer_quality(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    // The sum of three uniform variables, scaled to variance 1, is approximately normal.
    let normal = 2.0 * ((0..3).map(|_| rng.random::<f64>()).sum::<f64>() - 1.5);
    (mean + QUALITY_STD_DEV * normal).clamp(0.0, 1.0)
}

/// Simulated rating of an answer, from 0 to 100.
pub fn rate_answer(rng: &mut Pcg64Mcg, quality: f64) -> u8 {
    let is_random = rng.random::<f64>() < RANDOM_RATING_SHARE;
    let score = if is_random { rng.random() } else { quality };
    (score * 100.0).round() as u8
}
