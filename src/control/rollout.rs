use crate::name::{RolloutName, VersionKey};
use serde::{Deserialize, Serialize};

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStatus {
    /// Rising.
    #[default]
    Running,
    /// Reached its last step.
    Done,
    /// Stopped on evidence.
    Stopped,
}

/// Moves new sessions from one version to another in steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Its name.
    pub name: RolloutName,
    /// The version that traffic leaves.
    pub from: VersionKey,
    /// The version that traffic goes to.
    pub to: VersionKey,
    /// The share of sessions at each step, in thousandths, rising.
    pub steps: Vec<u32>,
    /// Answers of the new version that a step needs before the next.
    pub answers: u64,
    /// The current step.
    #[serde(default)]
    pub step: usize,
    /// How far it has come.
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
