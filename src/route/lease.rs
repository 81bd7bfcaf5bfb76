use crate::control::Config;
use crate::group::since_start;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// A router's lease: a configuration and the time until which the router may work under it.
///
/// Times are measured since the start of the process by a monotonic clock.
#[derive(Debug, Default)]
pub struct RouterLease {
    state: RwLock<Option<LeaseState>>,
}

#[derive(Debug, Clone)]
struct LeaseState {
    expires_at: Duration,
    config: Arc<Config>,
}

impl RouterLease {
    /// Renews the lease and installs `config` if it is newer. Returns whether it was installed.
    ///
    /// The lease lasts for `period` from `requested_at`. That must be a time before the request for
    /// the lease was sent, so that the router's lease ends no later than the leader assumes.
    pub fn renew(
        &self,
        requested_at: Duration,
        period: Duration,
        config: Option<Arc<Config>>,
    ) -> bool {
        let expires_at = requested_at + period;
        let mut state = self.state.write().expect("lease lock");
        match (state.as_mut(), config) {
            (Some(state), Some(config)) if config.revision > state.config.revision => {
                *state = LeaseState { expires_at, config };
                true
            }
            (Some(state), _) => {
                state.expires_at = state.expires_at.max(expires_at);
                false
            }
            (None, Some(config)) => {
                *state = Some(LeaseState { expires_at, config });
                true
            }
            (None, None) => false,
        }
    }

    /// Installs `config` if it is newer, without renewing the lease; the first one comes with a lease
    /// that has expired. Returns whether it was installed.
    pub fn install(&self, config: Arc<Config>) -> bool {
        let mut state = self.state.write().expect("lease lock");
        match state.as_mut() {
            Some(state) if config.revision <= state.config.revision => return false,
            Some(state) => state.config = config,
            None => *state = Some(LeaseState { expires_at: Duration::ZERO, config }),
        }
        true
    }

    /// Lets the lease end at `limit`, unless it ends earlier. For a router that knows of a newer
    /// configuration than the one it has: until it has that one, it may not renew the lease.
    pub fn limit(&self, limit: Duration) {
        let mut state = self.state.write().expect("lease lock");
        if let Some(state) = state.as_mut() {
            state.expires_at = state.expires_at.min(limit);
        }
    }

    /// Returns the configuration to work under, or `None` without a valid lease.
    pub fn config(&self) -> Option<Arc<Config>> {
        let state = self.state.read().expect("lease lock");
        state
            .as_ref()
            .filter(|state| since_start() < state.expires_at)
            .map(|state| state.config.clone())
    }

    /// Whether the lease allows the router to work now.
    pub fn is_valid(&self) -> bool {
        !self.remaining().is_zero()
    }

    /// Runs `work` if the lease is valid and `allowed` returns true for its configuration.
    ///
    /// No newer configuration is installed while `work` runs, so it must be short. Returns false if
    /// it was not run, or if the lease expired before it ended.
    pub fn run_if_valid<F>(&self, allowed: F, work: &mut dyn FnMut()) -> bool
    where
        F: FnOnce(&Config) -> bool,
    {
        let state = self.state.read().expect("lease lock");
        let Some(state) = state.as_ref() else { return false };
        if since_start() >= state.expires_at || !allowed(&state.config) {
            return false;
        }
        work();
        since_start() < state.expires_at
    }

    /// Returns the configuration that was installed last, even if the lease has expired, or `None` before the
    /// first.
    pub fn installed(&self) -> Option<Arc<Config>> {
        self.state.read().expect("lease lock").as_ref().map(|state| state.config.clone())
    }

    /// Returns the revision that was installed last, even if the lease has expired, or `None`
    /// before the first.
    pub fn revision(&self) -> Option<u64> {
        self.state.read().expect("lease lock").as_ref().map(|state| state.config.revision)
    }

    /// Returns the remaining time of the lease; zero without a valid one.
    pub fn remaining(&self) -> Duration {
        let state = self.state.read().expect("lease lock");
        state
            .as_ref()
            .map_or(Duration::ZERO, |state| state.expires_at.saturating_sub(since_start()))
    }
}
