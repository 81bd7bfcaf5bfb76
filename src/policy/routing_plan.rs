use super::{
    ChooseError, FleetStats, ModelRef, QualityEstimate, ShareDraw, VersionChoice, Weights,
};
use crate::control::{
    Config, FallbackPolicy, Organisation, Rollout, RolloutStatus, RoutingMode, Version,
    VersionState,
};
use crate::name::{TaskKind, VersionKey};
use std::collections::BTreeSet;

/// Prior mean of a request's prompt tokens.
const PRIOR_PROMPT_TOKENS: f64 = 500.0;
/// Prior mean of a request's answer tokens.
const PRIOR_ANSWER_TOKENS: f64 = 250.0;
/// Prior mean of the time that an answer takes, in milliseconds.
const PRIOR_LATENCY_MS: f64 = 1_000.0;
/// Weight of the prior means, in answers.
const PRIOR_ANSWERS: f64 = 5.0;

/// Inputs to the choice of a version.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The caller's organisation.
    pub organisation: &'a Organisation,
    /// The kind of task of the request.
    pub kind: &'a TaskKind,
    /// Statistics and test results received from the leader.
    pub stats: &'a FleetStats,
    /// Versions that this router excludes on its own evidence.
    pub held: &'a BTreeSet<VersionKey>,
    /// Relative weights of cost, latency and exposure.
    pub weights: Weights,
    /// How long a rating takes, in milliseconds; `None` if the rating service is not available,
    /// which rules out cascades.
    pub rating_ms: Option<f64>,
}

/// An open version with its expected quality, cost and latency.
#[derive(Debug, Clone)]
struct OpenVersion {
    key: VersionKey,
    quality: QualityEstimate,
    cost: f64,
    latency_ms: f64,
    bad: bool,
}

/// The decisions for an organisation's requests of one kind, under one configuration and one state
/// of the statistics.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPlan {
    single_choice: Result<VersionChoice, ChooseError>,
    cascade: Option<VersionChoice>,
    explored: Vec<VersionKey>,
    explore_permille: u32,
}

impl RoutingPlan {
    /// Plans the choice among the versions that the reference matches.
    ///
    /// # Errors
    /// If the reference names a model or version that is unknown or not allowed.
    pub fn new(context: &ChoiceContext<'_>, model: &ModelRef) -> Result<Self, ChooseError> {
        let model = apply_kind_rule(context, model);
        check_model(context, &model)?;
        let direct = is_direct_rule(context);
        let open_versions = open_versions(context, &model);
        let z = context.weights.bound_z();
        let target = context.organisation.quality_target(context.kind);
        let good = |o: &&OpenVersion| !o.bad && o.quality.lower_bound(z) >= target;
        let best = open_versions.iter().filter(good).min_by(|a, b| a.cost.total_cmp(&b.cost));
        let single_choice = match best {
            Some(o) => Ok(VersionChoice::new(&o.key, format!("cheapest that meets {target}"))),
            None => best_available(&open_versions, context.organisation),
        };
        let cascade =
            best.filter(|_| !direct).and_then(|o| cascade(context, &open_versions, o, target));
        let named = matches!(model, ModelRef::Version(_));
        let worth_exploring = |o: &&OpenVersion| {
            let cheaper = best.is_some_and(|best| o.cost < best.cost);
            cheaper && !o.bad && o.quality.upper_bound(z) >= target
        };
        let explored = match named || direct {
            true => Vec::new(),
            false => open_versions.iter().filter(worth_exploring).map(|o| o.key.clone()).collect(),
        };
        Ok(Self {
            single_choice,
            cascade,
            explored,
            explore_permille: context.weights.explore_permille(),
        })
    }

    /// Chooses the version for one request.
    ///
    /// # Errors
    /// If no version may be used.
    pub fn pick(
        &self,
        context: &ChoiceContext<'_>,
        draw: ShareDraw,
    ) -> Result<VersionChoice, ChooseError> {
        if draw.explore_point < self.explore_permille && !self.explored.is_empty() {
            let key = &self.explored[draw.explore_point as usize % self.explored.len()];
            return Ok(VersionChoice::new(key, "explores a cheaper version".to_owned()));
        }
        let planned = match &self.cascade {
            Some(cascade) if draw.may_cascade => cascade.clone(),
            _ => self.single_choice.clone()?,
        };
        Ok(follow_rollouts(context, planned, draw.rollout_point))
    }
}

impl VersionChoice {
    fn new(version: &VersionKey, reason: String) -> Self {
        Self { version: version.clone(), escalate_to: None, reason }
    }
}

fn apply_kind_rule(context: &ChoiceContext<'_>, model: &ModelRef) -> ModelRef {
    match (model, context.organisation.rule(context.kind).map(|rule| &rule.route)) {
        (ModelRef::Any, Some(RoutingMode::Direct(model))) => ModelRef::Model(model.clone()),
        _ => model.clone(),
    }
}

fn is_direct_rule(context: &ChoiceContext<'_>) -> bool {
    let rule = context.organisation.rule(context.kind);
    rule.is_some_and(|rule| matches!(rule.route, RoutingMode::Direct(_)))
}

fn check_model(context: &ChoiceContext<'_>, model: &ModelRef) -> Result<(), ChooseError> {
    let ChoiceContext { config, organisation, .. } = context;
    let (text, known, allowed) = match model {
        ModelRef::Any => return Ok(()),
        ModelRef::Model(model) => {
            let allowed = organisation.models.iter().any(|grant| grant.model == *model);
            (model.to_string(), config.models.contains_key(model), allowed)
        }
        ModelRef::Version(key) => {
            (key.to_string(), config.versions.contains_key(key), organisation.allows(key))
        }
    };
    match (known, allowed) {
        (true, true) => Ok(()),
        (true, false) => Err(ChooseError::NotAllowed(text)),
        (false, _) => Err(ChooseError::Unknown(text)),
    }
}

fn open_versions(context: &ChoiceContext<'_>, model: &ModelRef) -> Vec<OpenVersion> {
    let named = matches!(model, ModelRef::Version(_));
    let fits = |(key, version): &(&VersionKey, &Version)| {
        let rollout_only = !named && is_rollout_only(context, key);
        model.matches(key) && version.state == VersionState::Open && !rollout_only
    };
    let open = context.config.versions_for(context.organisation).filter(fits);
    open.map(|(key, version)| open_version(context, key, version)).collect()
}

fn open_version(context: &ChoiceContext<'_>, key: &VersionKey, version: &Version) -> OpenVersion {
    let (name, kind) = (&context.organisation.name, context.kind);
    let typical = context.stats.typical_stats(name, kind, key);
    let mean = |sum: u64, prior: f64| {
        (PRIOR_ANSWERS * prior + sum as f64) / (PRIOR_ANSWERS + typical.answers as f64)
    };
    let prompt = mean(typical.prompt_tokens, PRIOR_PROMPT_TOKENS);
    let answer = mean(typical.answer_tokens, PRIOR_ANSWER_TOKENS);
    let price = version.price;
    OpenVersion {
        key: key.clone(),
        quality: context.stats.quality(name, kind, key, version),
        cost: price.prompt as f64 * prompt + price.answer as f64 * answer,
        latency_ms: mean(typical.total_ms, PRIOR_LATENCY_MS),
        bad: is_bad(context, key),
    }
}

fn is_bad(context: &ChoiceContext<'_>, key: &VersionKey) -> bool {
    context.stats.is_bad(key) || context.held.contains(key)
}

/// Whether a version gets requests only through a roll-out, because its predecessor still accepts
/// new work.
fn is_rollout_only(context: &ChoiceContext<'_>, key: &VersionKey) -> bool {
    let leads_here = |r: &Rollout| {
        let from = context.config.versions.get(&r.from);
        let open = from.is_some_and(|v| v.state == VersionState::Open);
        let usable = open && context.organisation.allows(&r.from) && !is_bad(context, &r.from);
        r.to == *key && r.status != RolloutStatus::Done && usable
    };
    context.config.rollouts.values().any(leads_here)
}

/// The cascade with the lowest expected cost that starts at a version cheaper than `best` and
/// escalates to `best`; `None` if none pays off compared with using `best` directly.
fn cascade(
    context: &ChoiceContext<'_>,
    open_versions: &[OpenVersion],
    best: &OpenVersion,
    target: f64,
) -> Option<VersionChoice> {
    let rating_ms = context.rating_ms?;
    let expected = |o: &OpenVersion| {
        let escalation = o.quality.prob_below(target);
        let cost = (o.cost + escalation * best.cost) / best.cost.max(1.0);
        let latency =
            (o.latency_ms + rating_ms + escalation * best.latency_ms) / best.latency_ms.max(1.0);
        (cost, latency)
    };
    let pays = |o: &&OpenVersion| {
        let (cost, latency) = expected(o);
        !o.bad && o.cost < best.cost && context.weights.cascade_pays(cost, latency)
    };
    let cheapest = |a: &&OpenVersion, b: &&OpenVersion| expected(a).0.total_cmp(&expected(b).0);
    let first = open_versions.iter().filter(pays).min_by(cheapest)?;
    let reason = format!("cascade to {} below {target}", best.key);
    Some(VersionChoice { version: first.key.clone(), escalate_to: Some(best.key.clone()), reason })
}

fn best_available(
    open_versions: &[OpenVersion],
    organisation: &Organisation,
) -> Result<VersionChoice, ChooseError> {
    let rank = |o: &OpenVersion| if o.bad { o.quality.mean - 1.0 } else { o.quality.mean };
    let best = open_versions.iter().max_by(|a, b| rank(a).total_cmp(&rank(b)));
    match (best, organisation.fallback) {
        (None, _) => Err(ChooseError::NoneOpen),
        (Some(_), FallbackPolicy::Refuse) => Err(ChooseError::BelowTarget),
        (Some(o), FallbackPolicy::BestAvailable) => {
            Ok(VersionChoice::new(&o.key, "least bad version; none meets the target".to_owned()))
        }
    }
}

fn follow_rollouts(
    context: &ChoiceContext<'_>,
    choice: VersionChoice,
    rollout_point: u32,
) -> VersionChoice {
    let VersionChoice { version, escalate_to, mut reason } = choice;
    let version = match active_rollout(context, &version, rollout_point) {
        Some(rollout) => {
            reason = format!("{reason}; roll-out {}", rollout.name);
            rollout.to.clone()
        }
        None => version,
    };
    let follow = |key: VersionKey| {
        active_rollout(context, &key, rollout_point).map(|r| r.to.clone()).unwrap_or(key)
    };
    VersionChoice { version, escalate_to: escalate_to.map(follow), reason }
}

fn active_rollout<'a>(
    context: &ChoiceContext<'a>,
    key: &VersionKey,
    rollout_point: u32,
) -> Option<&'a Rollout> {
    let rollouts = context.config.rollouts.values();
    let rollout = rollouts.into_iter().find(|r| r.from == *key && rollout_point < r.share())?;
    let to = context.config.versions.get(&rollout.to)?;
    let usable = context.organisation.allows(&rollout.to) && !is_bad(context, &rollout.to);
    (to.state == VersionState::Open && usable).then_some(rollout)
}
