use crate::control::Config;
use crate::group::since_start;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// A router's leave to work: a configuration, and until when it may be used.
#[derive(Debug, Default)]
pub struct RouterLease {
    held: RwLock<Option<Held>>,
}

#[derive(Debug, Clone)]
struct Held {
    until: Duration,
    config: Arc<Config>,
}

impl RouterLease {
    /// Renews the lease for `period` from `asked`, the time before the question was sent; takes
    /// over a newer configuration. Returns whether the configuration is newer.
    pub fn renew(&self, asked: Duration, period: Duration, config: Option<Arc<Config>>) -> bool {
        let until = asked + period;
        let mut held = self.held.write().expect("lease lock");
        match (held.as_mut(), config) {
            (Some(held), Some(config)) if config.revision > held.config.revision => {
                *held = Held { until, config };
                true
            }
            (Some(held), _) => {
                held.until = held.until.max(until);
                false
            }
            (None, Some(config)) => {
                *held = Some(Held { until, config });
                true
            }
            (None, None) => false,
        }
    }

    /// The configuration to work under; `None` without a lease.
    pub fn config(&self) -> Option<Arc<Config>> {
        let held = self.held.read().expect("lease lock");
        held.as_ref().filter(|held| since_start() < held.until).map(|held| held.config.clone())
    }

    /// Runs `work` if the lease is alive and `allowed` holds of its configuration. No newer
    /// configuration is installed meanwhile, so `work` must be short. False where it was not run,
    /// or where the lease ran out before its end.
    pub fn hold<F>(&self, allowed: F, work: &mut dyn FnMut()) -> bool
    where
        F: FnOnce(&Config) -> bool,
    {
        let held = self.held.read().expect("lease lock");
        let Some(held) = held.as_ref() else { return false };
        if since_start() >= held.until || !allowed(&held.config) {
            return false;
        }
        work();
        since_start() < held.until
    }

    /// The revision last installed, with or without a lease; `None` before the first.
    pub fn revision(&self) -> Option<u64> {
        self.held.read().expect("lease lock").as_ref().map(|held| held.config.revision)
    }

    /// What is left of the lease; zero without one.
    pub fn left(&self) -> Duration {
        let held = self.held.read().expect("lease lock");
        held.as_ref().map_or(Duration::ZERO, |held| held.until.saturating_sub(since_start()))
    }
}
