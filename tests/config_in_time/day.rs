use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::policy::WarmUpBounds;
use samphireshift::settings::FleetLimits;
use std::time::Duration;

/// The users' bounds, in ms.
pub const APPLY_MS: u64 = 2_000;
pub const REVOCATION_MS: u64 = 5_000;

/// What happens on a day.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    pub routers: usize,
    pub length_ms: u64,
    /// When changes are made, and how many routes each adds.
    pub changes: Vec<(u64, u32)>,
    pub troubles: Vec<(u64, Trouble)>,
    /// The bandwidth of each router's link.
    pub link_kbit: u64,
    /// How long a message to a router waits behind the answers on its link.
    pub backlog_ms: u64,
    /// The share of the messages that are lost, and that are doubled, and that are late.
    pub loss: f64,
}

#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// The leader ends; another one is elected after this time.
    NoLeader { for_ms: u64 },
    /// A router stands still.
    Frozen { router: usize, for_ms: u64 },
    /// A router does not reach the leader.
    Cut { router: usize, for_ms: u64 },
}

impl Default for Day {
    fn default() -> Self {
        Self {
            seed: 1,
            routers: 4,
            length_ms: 18_000,
            changes: Vec::new(),
            troubles: Vec::new(),
            link_kbit: 10_000,
            backlog_ms: 0,
            loss: 0.03,
        }
    }
}

impl Day {
    /// A day of small changes, with troubles of all kinds.
    pub fn random(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let changes = (0..3).map(|_| (random.random_range(2_000..12_000), 1)).collect();
        let troubles = (0..3)
            .map(|_| {
                let (router, for_ms) = (random.random_range(0..4), random.random_range(200..5_000));
                let trouble = match random.random_range(0..3) {
                    0 => Trouble::NoLeader { for_ms: random.random_range(500..2_500) },
                    1 => Trouble::Frozen { router, for_ms },
                    _ => Trouble::Cut { router, for_ms },
                };
                (random.random_range(2_000..12_000), trouble)
            })
            .collect();
        Self { seed, changes, troubles, ..Self::default() }
    }

    /// A day with changes that take seconds to arrive.
    pub fn slow_transfers(seed: u64) -> Self {
        let changes = vec![(3_000, 5_000)];
        Self { seed, changes, link_kbit: 1_000, backlog_ms: 400, ..Self::default() }
    }
}

/// The limits that leader and routers compute their leases from.
pub fn limits() -> FleetLimits {
    FleetLimits {
        revocation_bound: Duration::from_millis(REVOCATION_MS),
        apply_bound: Duration::from_millis(APPLY_MS),
        evacuation_bound: Duration::from_millis(APPLY_MS),
        stop_timeout: Duration::from_secs(8),
        session_timeout: Duration::from_secs(5),
        retry_ratio: 0.1,
        retry_window: Duration::from_secs(10),
        extra_retries: 20,
        max_exposure: 0.1,
        warm_up: WarmUpBounds::default(),
    }
}
