use crate::policy::WarmUpBounds;
use std::time::Duration;

/// Fraction of the revocation bound that a lease lasts.
const LEASE_FRACTION: f64 = 0.8;
/// Fraction of the apply bound for which a router may work under a configuration after a newer one
/// was accepted. The rest is for clocks that run unlike and calls that are being written.
const LAG_FRACTION: f64 = 0.9;
/// The longest time for which leases under an older configuration hold up the acceptance of a newer
/// one. Operators ask again after this time.
const MAX_HOLD_UP: Duration = Duration::from_millis(2_500);
/// Fraction of the apply bound after which a router without the newest configuration stops, under a
/// leader that accepts a configuration without regard to the leases.
const OUTDATED_FRACTION: f64 = 0.8;

/// Limits that a fleet of routers and voters keeps, as promised to its callers and operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Longest time after the withdrawal of an API key during which a call with it may still run.
    pub revocation_bound: Duration,
    /// Longest time that a router may work under a configuration after a newer one was accepted.
    pub apply_bound: Duration,
    /// Longest time that a router may send calls to a data centre after its evacuation was accepted.
    pub evacuation_bound: Duration,
    /// Time between the order to stop a daemon and its forced end.
    pub stop_timeout: Duration,
    /// Longest pause between two calls of one session.
    pub session_timeout: Duration,
    /// Retries allowed for a pool, as a fraction of the calls to it.
    pub retry_ratio: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Retries that the whole fleet may make in a window beyond `retry_ratio`.
    pub extra_retries: u32,
    /// Largest fraction of a pool's calls that a bad version may get.
    pub max_exposure: f64,
    /// What a server that is cold may get in any second.
    pub warm_up: WarmUpBounds,
}

impl FleetLimits {
    /// Returns how long a router may work after it asked for its lease. Routers that cannot reach
    /// the voters stop at the end of their lease, so a withdrawn key is rejected everywhere once
    /// all earlier leases have expired. A change is held up for `MAX_HOLD_UP` at most by a router
    /// that stands still.
    pub fn lease_duration(&self) -> Duration {
        self.revocation_bound.mul_f64(LEASE_FRACTION).min(self.max_lag() + MAX_HOLD_UP)
    }

    /// Returns how long leases may last under a configuration after a newer one was accepted. A
    /// configuration is accepted only once no lease under an older one lasts for longer.
    pub fn max_lag(&self) -> Duration {
        self.apply_bound.mul_f64(LAG_FRACTION)
    }

    /// Returns how long leases may last under a configuration without an evacuation after that was accepted.
    pub fn max_evacuation_lag(&self) -> Duration {
        self.evacuation_bound.mul_f64(LAG_FRACTION)
    }

    /// Returns how long a router may work on after it has learned of a configuration that it does
    /// not have yet, under a leader that does not keep to [`FleetLimits::max_lag`].
    pub fn outdated_limit(&self) -> Duration {
        self.apply_bound.mul_f64(OUTDATED_FRACTION)
    }
}
