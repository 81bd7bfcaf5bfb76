use super::Judge;
use crate::control::{Rollout, RolloutStatus};

/// The part of a threshold from which a roll-out waits for more evidence.
const DOUBT: f64 = 0.01;
/// One in so many of a step's answers must have been rated, where there is a rating service.
const RATED_PART: u64 = 10;

/// What a version had been seen to do when its roll-out's step began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepStart {
    /// The step.
    pub step: usize,
    /// Answers until then.
    pub answers: u64,
    /// Ratings until then.
    pub ratings: u64,
}

/// The roll-out as it is to be next, where the evidence of this step allows it.
pub fn next_step(
    rollout: &Rollout,
    judge: &Judge,
    start: StepStart,
    rated: bool,
) -> Option<Rollout> {
    let answers = judge.evidence().answers.saturating_sub(start.answers);
    let ratings = judge.ratings().saturating_sub(start.ratings);
    let enough = answers >= rollout.answers && (!rated || ratings >= rollout.answers / RATED_PART);
    let doubtful = judge.verdict().is_some() || judge.strength() >= DOUBT;
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
