use crate::name::{RolloutName, VersionKey};
use serde::{Deserialize, Serialize};

/// The progress of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStatus {
    /// The share is being increased step by step.
    #[default]
    Running,
    /// The last step was reached.
    Done,
    /// The new version was stopped because of the evidence against it.
    Stopped,
}

/// A gradual shift of new sessions from one version of a model to another, in steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The roll-out's name.
    pub name: RolloutName,
    /// The version that traffic shifts from.
    pub from: VersionKey,
    /// The version that traffic shifts to.
    pub to: VersionKey,
    /// The share of sessions at each step, in thousandths, in ascending order.
    pub steps: Vec<u32>,
    /// The number of answers of the new version that each step needs before the next.
    #[serde(rename = "answers")]
    pub min_answers: u64,
    /// The index of the current step in `steps`.
    #[serde(default)]
    pub step: usize,
    /// The progress of the roll-out.
    #[serde(default)]
    pub status: RolloutStatus,
}

impl Rollout {
    /// The share of sessions that go to the new version, in thousandths.
    pub fn share(&self) -> u32 {
        match self.status {
            RolloutStatus::Stopped => 0,
            _ => self.steps.get(self.step).copied().unwrap_or(0),
        }
    }
}
