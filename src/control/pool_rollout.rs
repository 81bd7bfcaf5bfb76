use crate::name::{PoolName, VersionName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A gradual shift of a pool's calls to another version of its software.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRollout {
    /// The pool whose calls are shifted.
    pub pool: PoolName,
    /// The version that the calls shift to.
    pub target: VersionName,
    /// The time in which the operator wants the roll-out completed.
    pub limit: Duration,
    /// How much of that time had passed at the last step.
    pub elapsed: Duration,
    /// The share of calls that go to the target version, in thousandths.
    pub share: u32,
    /// The progress of the roll-out.
    pub status: PoolRolloutStatus,
}

/// The progress of a pool's roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolRolloutStatus {
    /// Calls are being shifted.
    Running,
    /// All calls go to the target version.
    Completed,
    /// The target version was found bad and receives no more calls.
    RolledBack,
}

impl PoolRollout {
    /// Creates a roll-out that starts with no calls on the target version.
    pub fn new(pool: PoolName, target: VersionName, limit: Duration) -> Self {
        let status = PoolRolloutStatus::Running;
        Self { pool, target, limit, elapsed: Duration::ZERO, share: 0, status }
    }

    /// Whether servers of this version may receive calls; `None` for servers without a version.
    pub fn allows(&self, version: Option<&VersionName>) -> bool {
        let is_target = version == Some(&self.target);
        match self.status {
            PoolRolloutStatus::Running => true,
            PoolRolloutStatus::Completed => is_target,
            PoolRolloutStatus::RolledBack => !is_target,
        }
    }
}
