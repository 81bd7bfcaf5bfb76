use super::VersionMonitor;
use crate::control::{Rollout, RolloutStatus};

/// Strength of the evidence, as a fraction of a test's threshold, from which a roll-out waits for
/// more observations.
const DOUBT_STRENGTH: f64 = 0.01;
/// With a rating service, at least 1/10 of the answers that a step needs must have been rated.
const RATED_DIVISOR: u64 = 10;

/// Counts of the target version when the current step of its roll-out began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepStart {
    /// Index of the step.
    pub step: usize,
    /// Answers observed before the step.
    pub answers: u64,
    /// Ratings observed before the step.
    pub ratings: u64,
}

/// The next state of a roll-out; `None` if the evidence of the current step does not allow it to
/// advance. `rated` says whether there is a rating service.
pub fn next_step(
    rollout: &Rollout,
    monitor: &VersionMonitor,
    start: StepStart,
    rated: bool,
) -> Option<Rollout> {
    let answers = monitor.evidence().answers.saturating_sub(start.answers);
    let ratings = monitor.ratings().saturating_sub(start.ratings);
    let enough = answers >= rollout.min_answers
        && (!rated || ratings >= rollout.min_answers / RATED_DIVISOR);
    let doubtful = monitor.verdict().is_some() || monitor.strength() >= DOUBT_STRENGTH;
    if rollout.status != RolloutStatus::Running || !enough || doubtful {
        return None;
    }
    let mut next = rollout.clone();
    match rollout.step + 1 < rollout.steps.len() {
        true => next.step += 1,
        false => next.status = RolloutStatus::Done,
    }
    Some(next)
}
