use super::{Config, RolloutStatus, VersionState};
use crate::name::{PoolName, VersionKey, VmName};
use std::collections::BTreeSet;

/// The maximum number of versions that one pool is told to load at a time: the weight store is
/// rate-limited, and a server has less capacity for requests while it loads.
const MAX_LOADS_PER_POOL: usize = 1;
/// The share of a roll-out that covers all sessions, in thousandths.
const FULL_SHARE_PERMILLE: usize = 1_000;

/// What an order tells an engine to do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the version's weights.
    Load,
    /// Unload the version's weights.
    Unload,
}

impl OrderKind {
    /// The value of the `order` field in the request to the engine.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        }
    }
}

/// A request to one engine to load or unload a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The VM that the engine runs on.
    pub server: VmName,
    /// The version to load or unload.
    pub version: VersionKey,
    /// Whether to load or to unload it.
    pub kind: OrderKind,
}

/// The versions that an engine has reported as loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The VM that the engine runs on.
    pub server: VmName,
    /// The pool that the engine belongs to.
    pub pool: PoolName,
    /// Versions whose weights are loaded.
    pub loaded: Vec<VersionKey>,
}

/// Plans the next orders that move engines towards a configuration. Withdrawn versions are
/// unloaded. The new version of each roll-out is loaded on as many servers as its current share
/// needs, one load per pool at a time.
pub fn plan_orders(config: &Config, engines: &[EngineState]) -> Vec<Order> {
    let mut orders = plan_unloads(config, engines);
    let mut loading_pools = BTreeSet::new();
    for rollout in config.rollouts.values() {
        let Some(version) = config.versions.get(&rollout.to) else { continue };
        let stopped = rollout.status == RolloutStatus::Stopped;
        if stopped || version.state == VersionState::Withdrawn {
            continue;
        }
        let pool: Vec<_> = engines.iter().filter(|e| e.pool == version.pool).collect();
        let wanted = (pool.len() * rollout.share() as usize).div_ceil(FULL_SHARE_PERMILLE);
        let (loaded, unloaded): (Vec<&EngineState>, Vec<_>) =
            pool.iter().partition(|e| e.loaded.contains(&rollout.to));
        let missing = wanted.saturating_sub(loaded.len()).min(MAX_LOADS_PER_POOL);
        if missing == 0 || !loading_pools.insert(version.pool.clone()) {
            continue;
        }
        orders.extend(unloaded.iter().take(missing).map(|engine| Order {
            server: engine.server.clone(),
            version: rollout.to.clone(),
            kind: OrderKind::Load,
        }));
    }
    orders
}

fn plan_unloads(config: &Config, engines: &[EngineState]) -> Vec<Order> {
    let mut orders = Vec::new();
    for engine in engines {
        for key in &engine.loaded {
            let state = config.versions.get(key).map(|version| version.state);
            if state == Some(VersionState::Withdrawn) {
                let (server, version) = (engine.server.clone(), key.clone());
                orders.push(Order { server, version, kind: OrderKind::Unload });
            }
        }
    }
    orders
}
