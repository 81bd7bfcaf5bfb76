use super::{PoolRollout, PoolRolloutStatus};
use crate::name::VersionName;
use serde::{Deserialize, Serialize};

/// The most versions of a pool that are remembered as withdrawn; the first is dropped for a new one.
const MAX_WITHDRAWN: usize = 100;

/// What the roll-outs of a pool have decided on its versions. It outlives each of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolVersions {
    /// The target of the last roll-out that was completed; versions before it are replaced for good.
    accepted: Option<VersionName>,
    /// Targets of roll-outs that were taken back, or replaced by another order, in that order.
    withdrawn: Vec<VersionName>,
}

impl PoolVersions {
    /// Takes in that an operator orders a version, in the place of the pool's roll-out so far. A
    /// version that was withdrawn may get calls again.
    ///
    /// ```
    /// use samphireshift::control::{PoolRollout, PoolVersions};
    /// use samphireshift::name::{PoolName, VersionName};
    /// use std::time::Duration;
    /// let order = |version: &str| {
    ///     PoolRollout::new(PoolName::new("p"), VersionName::new(version), Duration::from_secs(60))
    /// };
    /// let mut versions = PoolVersions::default();
    /// versions.order(&order("v3"), Some(&order("v2")));
    /// assert!(!versions.allows(&order("v3"), Some(&VersionName::new("v2"))));
    /// versions.order(&order("v2"), Some(&order("v3")));
    /// assert!(versions.allows(&order("v2"), Some(&VersionName::new("v2"))));
    /// ```
    pub fn order(&mut self, rollout: &PoolRollout, before: Option<&PoolRollout>) {
        if let Some(before) = before.filter(|before| before.status == PoolRolloutStatus::Running) {
            self.withdraw(&before.target);
        }
        self.withdrawn.retain(|version| *version != rollout.target);
    }

    /// Takes in how far the pool's roll-out has come.
    pub fn advance(&mut self, rollout: &PoolRollout) {
        match rollout.status {
            PoolRolloutStatus::Running => {}
            PoolRolloutStatus::Completed => self.accepted = Some(rollout.target.clone()),
            PoolRolloutStatus::RolledBack => self.withdraw(&rollout.target),
        }
    }

    /// Whether servers of a version may get calls at all under the pool's present `rollout`; `None` for
    /// servers without a version.
    pub fn allows(&self, rollout: &PoolRollout, version: Option<&VersionName>) -> bool {
        if version.is_some_and(|version| self.withdrawn.contains(version)) {
            return false;
        }
        match &self.accepted {
            Some(accepted) => version.is_some_and(|v| v == accepted || *v == rollout.target),
            None => true,
        }
    }

    fn withdraw(&mut self, version: &VersionName) {
        if self.accepted.as_ref() == Some(version) {
            self.accepted = None;
        }
        self.withdrawn.retain(|known| known != version);
        self.withdrawn.push(version.clone());
        if self.withdrawn.len() > MAX_WITHDRAWN {
            self.withdrawn.remove(0);
        }
    }
}
