//! Selection of the pool, version and server for a call.

use super::server_table::ServerState;
use super::{Gateway, RouteIndex};
use crate::control::{ConfiguredRoute, PoolRollout, PoolRolloutStatus};
use crate::name::{PoolName, VersionName, VmName};
use crate::policy::{ServerView, is_canary};
use rand::Rng;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Fraction of the uncached prompt tokens that counts at the prompt's affinity server: other
/// routers have most likely sent its shared parts there already.
const AFFINITY_UNCACHED_FRACTION: f64 = 0.1;
/// Random increase of a server's cost, as a fraction, so that routers with the same information do
/// not all select the same server.
const COST_JITTER: f64 = 0.15;

/// What the selection of a server depends on.
#[derive(Debug)]
pub struct SelectionCriteria<'a> {
    /// The pool of the call.
    pub pool: &'a PoolName,
    /// The hash of the session or, without one, of the caller's id of the call.
    pub hash: u64,
    /// Whether the call belongs to a session.
    pub in_session: bool,
    /// The version that last served the session, if known; the inner `None` is an unnamed version.
    pub session_version: Option<&'a Option<VersionName>>,
    /// Prompt parts as (id, tokens).
    pub parts: &'a [(u64, u32)],
    /// Servers that have been tried already.
    pub excluded: &'a [VmName],
}

/// The server selected for a call, with time estimates.
#[derive(Debug)]
pub struct SelectedServer {
    /// The selected server.
    pub server: Arc<ServerState>,
    /// Prompt tokens that are not expected to be in the server's cache.
    pub uncached_tokens: u64,
    /// The expected time to the response, in ms, without the server's recent slowness.
    pub baseline_ms: f64,
    /// The expected time to the response, in ms, with the server's recent slowness.
    pub estimate_ms: f64,
}

/// Restricts which versions may take a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum VersionFilter<'a> {
    Any,
    Only(&'a VersionName),
    Except(&'a VersionName),
}

impl VersionFilter<'_> {
    fn matches(&self, version: Option<&VersionName>) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(target) => version == Some(target),
            VersionFilter::Except(target) => version != Some(target),
        }
    }
}

/// Picks one of a route's pools by weight.
pub fn pick_pool(route: &ConfiguredRoute, hash: u64) -> Option<&PoolName> {
    let total: u64 = route.pools.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash.checked_rem(total)?;
    for share in &route.pools {
        if point < u64::from(share.weight) {
            return Some(&share.pool);
        }
        point -= u64::from(share.weight);
    }
    None
}

/// A hash that is the same in every router.
pub fn stable_hash<T>(item: &T) -> u64
where
    T: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}

impl Gateway {
    /// Selects the server for a call; `None` if no server of the pool may take it.
    pub(super) fn select_server(
        &self,
        index: &RouteIndex,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<SelectedServer> {
        let servers = self.servers.pool(criteria.pool);
        let rollout = index.config.pool_rollouts.get(criteria.pool);
        let version_filters =
            rollout.map_or([VersionFilter::Any; 2], |rollout| version_filters(rollout, criteria));
        version_filters.iter().find_map(|filter| self.pick_server(&servers, *filter, criteria))
    }

    fn pick_server(
        &self,
        servers: &[Arc<ServerState>],
        filter: VersionFilter<'_>,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<SelectedServer> {
        let is_candidate = |server: &&Arc<ServerState>| {
            filter.matches(server.vm.version.as_ref())
                && server.backoff_left().is_zero()
                && !criteria.excluded.contains(&server.vm.name)
        };
        let candidates: Vec<&Arc<ServerState>> = servers.iter().filter(is_candidate).collect();
        let usable_count = candidates.iter().filter(|server| server.snapshot().usable).count();
        let affinity_server = affinity_server(&candidates, criteria.parts);
        let mut best: Option<(f64, SelectedServer)> = None;
        for server in candidates {
            let snapshot = server.snapshot();
            // If all servers are paused, the best of them is still used.
            if !snapshot.usable && usable_count > 0 {
                continue;
            }
            let uncached_tokens = server.uncached_tokens(criteria.parts);
            let fraction = if affinity_server == Some(&server.vm.name) {
                AFFINITY_UNCACHED_FRACTION
            } else {
                1.0
            };
            let view = ServerView {
                busy: snapshot.busy,
                slots: snapshot.slots,
                pending_tokens: snapshot.pending_tokens,
                uncached_tokens: uncached_tokens as f64 * fraction,
                slowness: snapshot.slowness,
                failure_rate: snapshot.failure_rate,
                local: server.vm.data_centre == *self.data_centre(),
            };
            let cost = view.expected_wait() * rand::rng().random_range(1.0..1.0 + COST_JITTER);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let baseline_ms =
                    ServerView { uncached_tokens: uncached_tokens as f64, ..view }.baseline_wait();
                let estimate_ms = baseline_ms * snapshot.slowness;
                best = Some((
                    cost,
                    SelectedServer {
                        server: server.clone(),
                        uncached_tokens,
                        baseline_ms,
                        estimate_ms,
                    },
                ));
            }
        }
        best.map(|(_, selected)| selected)
    }
}

/// The versions that may take a call of a pool under roll-out: first the preferred ones, then the
/// fallback.
fn version_filters<'a>(
    rollout: &'a PoolRollout,
    criteria: &SelectionCriteria<'_>,
) -> [VersionFilter<'a>; 2] {
    let target = &rollout.target;
    let (new, old) = (VersionFilter::Only(target), VersionFilter::Except(target));
    match rollout.status {
        PoolRolloutStatus::Completed => [new, new],
        PoolRolloutStatus::RolledBack => [old, old],
        PoolRolloutStatus::Running if is_sent_to_target(rollout, criteria) => [new, old],
        PoolRolloutStatus::Running => [old, old],
    }
}

fn is_sent_to_target(rollout: &PoolRollout, criteria: &SelectionCriteria<'_>) -> bool {
    let in_share = stable_hash(&(criteria.hash, "roll-out")) % 1_000 < u64::from(rollout.share);
    match criteria.session_version {
        Some(version) if version.as_ref() == Some(&rollout.target) => true,
        _ if criteria.in_session && is_canary(rollout) => false,
        _ => in_share,
    }
}

/// The affinity server of a prompt's shared parts (rendezvous hashing). All routers send them to
/// the same server, so that its cache is reused.
fn affinity_server<'a>(
    servers: &[&'a Arc<ServerState>],
    parts: &[(u64, u32)],
) -> Option<&'a VmName> {
    let (shared_part, _) = parts.get(parts.len().checked_sub(2)?)?;
    let names = servers.iter().map(|server| &server.vm.name);
    names.max_by_key(|name| stable_hash(&(shared_part, name.as_str())))
}
