use crate::control::{
    Config, Exhausted, KindRoute, Organisation, RolloutStatus, Version, VersionState,
};
use crate::name::{ModelName, TaskKind, VersionKey};
use thiserror::Error;

/// Tokens assumed for comparing prices before anything is known of a request.
const TYPICAL_PROMPT_TOKENS: u64 = 500;
/// Tokens assumed for comparing prices before anything is known of a request.
const TYPICAL_ANSWER_TOKENS: u64 = 250;
/// Points that a session's hash falls on; roll-out shares are in thousandths.
const SHARE_POINTS: u32 = 1_000;

/// What the caller asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Wish {
    /// Whatever meets the target.
    Any,
    /// Any version of this model.
    Model(ModelName),
    /// Just this version.
    Version(VersionKey),
}

impl Wish {
    /// Reads the `model` field of a request: empty or `auto`, a model, or `model/version`.
    ///
    /// ```
    /// use samphireshift::policy::Wish;
    /// assert_eq!(Wish::parse("auto"), Wish::Any);
    /// ```
    pub fn parse(text: &str) -> Self {
        if text.is_empty() || text == "auto" {
            return Wish::Any;
        }
        match VersionKey::parse(text) {
            Some(key) => Wish::Version(key),
            None => Wish::Model(ModelName::new(text)),
        }
    }

    fn admits(&self, key: &VersionKey) -> bool {
        match self {
            Wish::Any => true,
            Wish::Model(model) => key.model == *model,
            Wish::Version(version) => key == version,
        }
    }
}

/// The version chosen, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The version.
    pub version: VersionKey,
    /// The reason, in words.
    pub reason: String,
}

/// Why no version can be chosen.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChooseError {
    /// There is no such model or version.
    #[error("there is no model '{0}'; see GET /v1/models")]
    Unknown(String),
    /// The organisation may not use it.
    #[error("this organisation may not use '{0}'; see GET /v1/models")]
    NotAllowed(String),
    /// Everything that would do is withdrawn or closing.
    #[error("no version takes new work for this request")]
    NoneOpen,
    /// No open version meets the target and the organisation wants none that does not.
    #[error("no version meets the quality target")]
    BelowTarget,
}

/// Chooses a version for new work: the cheapest that meets the target, else what the organisation's
/// setting says. `point` places the session within roll-outs, see [`share_point`].
///
/// # Errors
/// Where nothing may be chosen.
pub fn choose(
    config: &Config,
    organisation: &Organisation,
    kind: &TaskKind,
    wish: &Wish,
    point: u32,
) -> Result<Choice, ChooseError> {
    let wish = directed(organisation, kind, wish);
    check_wish(config, organisation, &wish)?;
    let named = matches!(wish, Wish::Version(_));
    let fits = |(key, version): &(&VersionKey, &Version)| {
        let steered = !named && is_rollout_target(config, key);
        wish.admits(key) && version.state == VersionState::Open && !steered
    };
    let open: Vec<_> = config.versions_for(organisation).filter(fits).collect();
    let target = organisation.target(kind);
    let good = open.iter().filter(|(_, version)| version.quality >= target);
    let cheapest = good.min_by_key(|(_, version)| typical_cost(version));
    let chosen = match cheapest {
        Some((key, _)) => ((*key).clone(), format!("cheapest that meets {target}")),
        None => (least_bad(&open, organisation)?, "least bad, none meets the target".to_owned()),
    };
    let (version, reason) = follow_rollout(config, chosen, point);
    Ok(Choice { version, reason })
}

/// Where a session falls within roll-outs, from 0 to 999; the same session always on the same point.
pub fn share_point(seed: &str) -> u32 {
    crc32c::crc32c(seed.as_bytes()) % SHARE_POINTS
}

fn directed(organisation: &Organisation, kind: &TaskKind, wish: &Wish) -> Wish {
    match (wish, organisation.rule(kind).map(|rule| &rule.route)) {
        (Wish::Any, Some(KindRoute::Direct(model))) => Wish::Model(model.clone()),
        _ => wish.clone(),
    }
}

fn check_wish(
    config: &Config,
    organisation: &Organisation,
    wish: &Wish,
) -> Result<(), ChooseError> {
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

fn is_rollout_target(config: &Config, key: &VersionKey) -> bool {
    config.rollouts.values().any(|r| r.to == *key && r.status != RolloutStatus::Done)
}

fn typical_cost(version: &Version) -> u64 {
    version.price.cost(TYPICAL_PROMPT_TOKENS, TYPICAL_ANSWER_TOKENS)
}

fn least_bad(
    open: &[(&VersionKey, &Version)],
    organisation: &Organisation,
) -> Result<VersionKey, ChooseError> {
    let best = open.iter().max_by(|(_, a), (_, b)| a.quality.total_cmp(&b.quality));
    match (best, organisation.exhausted) {
        (None, _) => Err(ChooseError::NoneOpen),
        (Some(_), Exhausted::Refuse) => Err(ChooseError::BelowTarget),
        (Some((key, _)), Exhausted::LeastBad) => Ok((*key).clone()),
    }
}

fn follow_rollout(
    config: &Config,
    chosen: (VersionKey, String),
    point: u32,
) -> (VersionKey, String) {
    let (key, reason) = chosen;
    let running = |r: &&crate::control::Rollout| r.from == key && point < r.share();
    let Some(rollout) = config.rollouts.values().find(running) else { return (key, reason) };
    let open = config.versions.get(&rollout.to).is_some_and(|v| v.state == VersionState::Open);
    match open {
        true => (rollout.to.clone(), format!("{reason}; roll-out {}", rollout.name)),
        false => (key, reason),
    }
}
