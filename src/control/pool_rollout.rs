use crate::name::{PoolName, VersionName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The move of a pool's calls to another version of its software.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRollout {
    /// The pool.
    pub pool: PoolName,
    /// The version that is to take the calls over.
    pub target: VersionName,
    /// The time that the operator gives it.
    pub limit: Duration,
    /// How much of that time has passed, as of the last step.
    pub elapsed: Duration,
    /// The part of calls that go to the target, in thousandths.
    pub share: u32,
    /// How far it is.
    pub status: PoolRolloutStatus,
}

/// How far a pool's roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolRolloutStatus {
    /// Under way.
    Running,
    /// The target has taken all calls over.
    Completed,
    /// The target was found bad and gets no more calls.
    RolledBack,
}

impl PoolRollout {
    /// A roll-out that has just been ordered.
    pub fn open(pool: PoolName, target: VersionName, limit: Duration) -> Self {
        let status = PoolRolloutStatus::Running;
        Self { pool, target, limit, elapsed: Duration::ZERO, share: 0, status }
    }

    /// Whether servers of a version may get calls at all.
    pub fn allows(&self, version: Option<&VersionName>) -> bool {
        let is_target = version == Some(&self.target);
        match self.status {
            PoolRolloutStatus::Running => true,
            PoolRolloutStatus::Completed => is_target,
            PoolRolloutStatus::RolledBack => !is_target,
        }
    }
}
