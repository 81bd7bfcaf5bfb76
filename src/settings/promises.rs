use std::time::Duration;

/// The part of the revocation bound that a lease may last.
const LEASE_PART: f64 = 0.8;

/// What a fleet of routers and voters promises its callers and operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Promises {
    /// How long after a key's withdrawal a call with it may still run.
    pub revoke: Duration,
    /// The time from the order to stop a daemon to its end by force.
    pub stop: Duration,
    /// The longest pause between two calls of one session.
    pub session: Duration,
    /// Repeated sends to a pool, as a part of the calls for it.
    pub repeats: f64,
    /// The time over which repeated sends are counted.
    pub window: Duration,
    /// Repeated sends of the whole fleet beyond that part.
    pub extra: u32,
    /// The part of a pool's calls that a bad version may get.
    pub exposure: f64,
}

impl Promises {
    /// How long a router may work after asking for its lease: a key's withdrawal is in force at
    /// routers that are out of touch as soon as their leases have run out.
    pub fn lease(&self) -> Duration {
        self.revoke.mul_f64(LEASE_PART)
    }
}
