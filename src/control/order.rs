use super::{Config, RolloutStatus, VersionState};
use crate::name::{PoolName, VersionKey, VmName};
use std::collections::BTreeSet;

/// Loads ordered at once in one pool: the weight store is rate-limited, and a server that loads
/// serves less.
const LOADS_PER_POOL: usize = 1;
/// A full share, in thousandths.
const FULL_SHARE: usize = 1_000;

/// What an engine is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
}

impl OrderKind {
    /// As the order's `order` field says it.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        }
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine's VM.
    pub server: VmName,
    /// The version.
    pub version: VersionKey,
    /// What to do with it.
    pub kind: OrderKind,
}

/// What an engine said that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The engine's VM.
    pub server: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Versions that are loaded.
    pub loaded: Vec<VersionKey>,
}

/// The orders that bring engines nearer to a configuration: withdrawn versions are unloaded, the
/// new version of a roll-out is loaded on as many servers as its step needs, few at a time.
pub fn plan_orders(config: &Config, engines: &[EngineState]) -> Vec<Order> {
    let mut orders = unloads(config, engines);
    let mut busy = BTreeSet::new();
    for rollout in config.rollouts.values() {
        let Some(version) = config.versions.get(&rollout.to) else { continue };
        let stopped = rollout.status == RolloutStatus::Stopped;
        if stopped || version.state == VersionState::Withdrawn {
            continue;
        }
        let pool: Vec<_> = engines.iter().filter(|e| e.pool == version.pool).collect();
        let wanted = (pool.len() * rollout.share() as usize).div_ceil(FULL_SHARE);
        let (have, lack): (Vec<&EngineState>, Vec<_>) =
            pool.iter().partition(|e| e.loaded.contains(&rollout.to));
        let missing = wanted.saturating_sub(have.len()).min(LOADS_PER_POOL);
        if missing == 0 || !busy.insert(version.pool.clone()) {
            continue;
        }
        orders.extend(lack.iter().take(missing).map(|engine| Order {
            server: engine.server.clone(),
            version: rollout.to.clone(),
            kind: OrderKind::Load,
        }));
    }
    orders
}

fn unloads(config: &Config, engines: &[EngineState]) -> Vec<Order> {
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
