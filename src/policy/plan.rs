use super::{Choice, ChooseError, Draw, Estimate, Knowledge, Weights, Wish};
use crate::control::{
    Config, Exhausted, KindRoute, Organisation, Rollout, RolloutStatus, Version, VersionState,
};
use crate::name::{TaskKind, VersionKey};
use std::collections::BTreeSet;

/// Prompt tokens assumed of a request before any is known.
const TYPICAL_PROMPT: f64 = 500.0;
/// Answer tokens assumed of a request before any is known.
const TYPICAL_ANSWER: f64 = 250.0;
/// Milliseconds assumed of an answer before any is known.
const TYPICAL_MILLIS: f64 = 1_000.0;
/// Answers that the assumptions count as.
const TYPICAL_WEIGHT: f64 = 5.0;

/// What a choice is made from.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The configuration.
    pub config: &'a Config,
    /// The caller's organisation.
    pub organisation: &'a Organisation,
    /// The kind of task.
    pub kind: &'a TaskKind,
    /// What was learned from answers.
    pub knowledge: &'a Knowledge,
    /// Versions that this router holds back on its own evidence.
    pub held: &'a BTreeSet<VersionKey>,
    /// What the measures weigh.
    pub weights: Weights,
    /// How long a rating takes, in milliseconds; `None` while the rating service is not to be used.
    pub rating: Option<f64>,
}

/// One open version as the choice sees it.
#[derive(Debug, Clone)]
struct OpenVersion {
    key: VersionKey,
    quality: Estimate,
    cost: f64,
    millis: f64,
    bad: bool,
}

/// What an organisation's requests of one kind do under one configuration and state of knowledge.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    straight: Result<Choice, ChooseError>,
    cascade: Option<Choice>,
    explore: Vec<VersionKey>,
    share: u32,
}

impl Plan {
    /// Makes the plan for a wish.
    ///
    /// # Errors
    /// Where the wish names what is unknown or not allowed.
    pub fn new(scene: &Scene<'_>, wish: &Wish) -> Result<Self, ChooseError> {
        let wish = directed(scene, wish);
        check_wish(scene, &wish)?;
        let direct = is_direct(scene);
        let options = options(scene, &wish);
        let z = scene.weights.caution();
        let target = scene.organisation.target(scene.kind);
        let good = |o: &&OpenVersion| !o.bad && o.quality.lower(z) >= target;
        let best = options.iter().filter(good).min_by(|a, b| a.cost.total_cmp(&b.cost));
        let straight = match best {
            Some(o) => Ok(Choice::new(&o.key, format!("cheapest that meets {target}"))),
            None => least_bad(&options, scene.organisation),
        };
        let cascade = best.filter(|_| !direct).and_then(|o| cascade(scene, &options, o, target));
        let named = matches!(wish, Wish::Version(_));
        let tries = |o: &&OpenVersion| {
            let cheaper = best.is_some_and(|best| o.cost < best.cost);
            cheaper && !o.bad && o.quality.upper(z) >= target
        };
        let explore = match named || direct {
            true => Vec::new(),
            false => options.iter().filter(tries).map(|o| o.key.clone()).collect(),
        };
        Ok(Self { straight, cascade, explore, share: scene.weights.explore() })
    }

    /// Chooses for one request.
    ///
    /// # Errors
    /// Where nothing may be chosen.
    pub fn pick(&self, scene: &Scene<'_>, draw: Draw) -> Result<Choice, ChooseError> {
        if draw.explore < self.share && !self.explore.is_empty() {
            let key = &self.explore[draw.explore as usize % self.explore.len()];
            return Ok(Choice::new(key, "explores a cheaper version".to_owned()));
        }
        let planned = match &self.cascade {
            Some(cascade) if draw.whole => cascade.clone(),
            _ => self.straight.clone()?,
        };
        Ok(follow_rollouts(scene, planned, draw.point))
    }
}

impl Choice {
    fn new(version: &VersionKey, reason: String) -> Self {
        Self { version: version.clone(), escalate: None, reason }
    }
}

fn directed(scene: &Scene<'_>, wish: &Wish) -> Wish {
    match (wish, scene.organisation.rule(scene.kind).map(|rule| &rule.route)) {
        (Wish::Any, Some(KindRoute::Direct(model))) => Wish::Model(model.clone()),
        _ => wish.clone(),
    }
}

fn is_direct(scene: &Scene<'_>) -> bool {
    let rule = scene.organisation.rule(scene.kind);
    rule.is_some_and(|rule| matches!(rule.route, KindRoute::Direct(_)))
}

fn check_wish(scene: &Scene<'_>, wish: &Wish) -> Result<(), ChooseError> {
    let Scene { config, organisation, .. } = scene;
    let (text, known, allowed) = match wish {
        Wish::Any => return Ok(()),
        Wish::Model(model) => {
            let allowed = organisation.models.iter().any(|grant| grant.model == *model);
            (model.to_string(), config.models.contains_key(model), allowed)
        }
        Wish::Version(key) => {
            (key.to_string(), config.versions.contains_key(key), organisation.allows(key))
        }
    };
    match (known, allowed) {
        (true, true) => Ok(()),
        (true, false) => Err(ChooseError::NotAllowed(text)),
        (false, _) => Err(ChooseError::Unknown(text)),
    }
}

fn options(scene: &Scene<'_>, wish: &Wish) -> Vec<OpenVersion> {
    let named = matches!(wish, Wish::Version(_));
    let fits = |(key, version): &(&VersionKey, &Version)| {
        let steered = !named && is_steered(scene, key);
        wish.admits(key) && version.state == VersionState::Open && !steered
    };
    let open = scene.config.versions_for(scene.organisation).filter(fits);
    open.map(|(key, version)| option(scene, key, version)).collect()
}

fn option(scene: &Scene<'_>, key: &VersionKey, version: &Version) -> OpenVersion {
    let (name, kind) = (&scene.organisation.name, scene.kind);
    let seen = scene.knowledge.usual(name, kind, key);
    let mean = |sum: u64, typical: f64| {
        (TYPICAL_WEIGHT * typical + sum as f64) / (TYPICAL_WEIGHT + seen.answers as f64)
    };
    let prompt = mean(seen.prompt, TYPICAL_PROMPT);
    let answer = mean(seen.tokens, TYPICAL_ANSWER);
    let price = version.price;
    OpenVersion {
        key: key.clone(),
        quality: scene.knowledge.quality(name, kind, key, version),
        cost: price.prompt as f64 * prompt + price.answer as f64 * answer,
        millis: mean(seen.millis, TYPICAL_MILLIS),
        bad: is_bad(scene, key),
    }
}

fn is_bad(scene: &Scene<'_>, key: &VersionKey) -> bool {
    scene.knowledge.is_bad(key) || scene.held.contains(key)
}

/// Whether only a roll-out leads to a version: its predecessor still takes new work.
fn is_steered(scene: &Scene<'_>, key: &VersionKey) -> bool {
    let steers = |r: &Rollout| {
        let from = scene.config.versions.get(&r.from);
        let open = from.is_some_and(|v| v.state == VersionState::Open);
        let usable = open && scene.organisation.allows(&r.from) && !is_bad(scene, &r.from);
        r.to == *key && r.status != RolloutStatus::Done && usable
    };
    scene.config.rollouts.values().any(steers)
}

/// The cheapest way by a cheaper version first, where it pays against `best`.
fn cascade(
    scene: &Scene<'_>,
    options: &[OpenVersion],
    best: &OpenVersion,
    target: f64,
) -> Option<Choice> {
    let rating = scene.rating?;
    let expected = |o: &OpenVersion| {
        let again = o.quality.below(target);
        let cost = (o.cost + again * best.cost) / best.cost.max(1.0);
        let millis = (o.millis + rating + again * best.millis) / best.millis.max(1.0);
        (cost, millis)
    };
    let pays = |o: &&OpenVersion| {
        let (cost, millis) = expected(o);
        !o.bad && o.cost < best.cost && scene.weights.cascade_pays(cost, millis)
    };
    let cheapest = |a: &&OpenVersion, b: &&OpenVersion| expected(a).0.total_cmp(&expected(b).0);
    let first = options.iter().filter(pays).min_by(cheapest)?;
    let reason = format!("cascade to {} below {target}", best.key);
    Some(Choice { version: first.key.clone(), escalate: Some(best.key.clone()), reason })
}

fn least_bad(options: &[OpenVersion], organisation: &Organisation) -> Result<Choice, ChooseError> {
    let rank = |o: &OpenVersion| if o.bad { o.quality.mean - 1.0 } else { o.quality.mean };
    let best = options.iter().max_by(|a, b| rank(a).total_cmp(&rank(b)));
    match (best, organisation.exhausted) {
        (None, _) => Err(ChooseError::NoneOpen),
        (Some(_), Exhausted::Refuse) => Err(ChooseError::BelowTarget),
        (Some(o), Exhausted::LeastBad) => {
            Ok(Choice::new(&o.key, "least bad, none meets the target".to_owned()))
        }
    }
}

fn follow_rollouts(scene: &Scene<'_>, choice: Choice, point: u32) -> Choice {
    let Choice { version, escalate, mut reason } = choice;
    let version = match follow(scene, &version, point) {
        Some(rollout) => {
            reason = format!("{reason}; roll-out {}", rollout.name);
            rollout.to.clone()
        }
        None => version,
    };
    let onward = |key: VersionKey| follow(scene, &key, point).map(|r| r.to.clone()).unwrap_or(key);
    Choice { version, escalate: escalate.map(onward), reason }
}

fn follow<'a>(scene: &Scene<'a>, key: &VersionKey, point: u32) -> Option<&'a Rollout> {
    let rollouts = scene.config.rollouts.values();
    let rollout = rollouts.into_iter().find(|r| r.from == *key && point < r.share())?;
    let to = scene.config.versions.get(&rollout.to)?;
    let usable = scene.organisation.allows(&rollout.to) && !is_bad(scene, &rollout.to);
    (to.state == VersionState::Open && usable).then_some(rollout)
}
