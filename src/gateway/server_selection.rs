//! Selection of the pool, version and server for a call.

use super::server_limits::{LimitToken, SendPermit};
use super::server_table::ServerState;
use super::standing::Standing;
use super::{Gateway, RouteIndex};
use crate::control::{ConfiguredRoute, PoolRollout, PoolRolloutStatus};
use crate::name::{PoolName, VersionName, VmName};
use crate::policy::{Admission, ServerView, is_canary};
use rand::Rng;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Fraction of the uncached prompt tokens that counts at the prompt's affinity server: other
/// routers have most likely sent its shared parts there already.
const AFFINITY_UNCACHED_FRACTION: f64 = 0.1;
/// Random increase of a server's cost, as a fraction, so that routers with the same information do
/// not all select the same server.
const COST_JITTER: f64 = 0.15;
/// A server for which this router holds a token costs this fraction: the token is lost if it is not
/// used soon.
const TOKEN_COST_FRACTION: f64 = 0.7;

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
    /// Permission to send the call.
    pub permit: SendPermit,
}

/// The outcome of a selection.
#[derive(Debug)]
pub enum Selection {
    /// This server is the best one.
    Server(SelectedServer),
    /// There is no token for any of these servers, which would take the call otherwise.
    Limited(Vec<VmName>),
    /// No server may take the call.
    Nothing,
}

/// A server that may take a call, with its cost and time estimates.
#[derive(Debug)]
struct Candidate<'a> {
    server: &'a Arc<ServerState>,
    standing: Standing,
    cost: f64,
    uncached_tokens: u64,
    baseline_ms: f64,
    estimate_ms: f64,
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

    /// Whether the call belongs to a session that was last served by one of these versions.
    fn is_of_session(&self, criteria: &SelectionCriteria<'_>) -> bool {
        criteria.session_version.is_some_and(|version| self.matches(version.as_ref()))
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
    /// Selects the server for a call.
    pub(super) fn select_server(
        &self,
        index: &RouteIndex,
        criteria: &SelectionCriteria<'_>,
    ) -> Selection {
        let servers = self.servers.pool(criteria.pool);
        let rollout = index.config.pool_rollouts.get(criteria.pool);
        let version_filters =
            rollout.map_or([VersionFilter::Any; 2], |rollout| version_filters(rollout, criteria));
        let mut limited = Vec::new();
        for filter in version_filters {
            match self.pick_server(&servers, filter, criteria) {
                Selection::Server(selected) => return Selection::Server(selected),
                // A session keeps its version, so it waits for a token of that.
                Selection::Limited(names) if filter.is_of_session(criteria) => {
                    return Selection::Limited(names);
                }
                Selection::Limited(names) => limited.extend(names),
                Selection::Nothing => {}
            }
        }
        limited.sort_unstable();
        limited.dedup();
        if limited.is_empty() { Selection::Nothing } else { Selection::Limited(limited) }
    }

    /// Picks the best server for which there is permission to send. That the better ones had none is
    /// recorded as demand for them.
    fn pick_server(
        &self,
        servers: &[Arc<ServerState>],
        filter: VersionFilter<'_>,
        criteria: &SelectionCriteria<'_>,
    ) -> Selection {
        let is_candidate = |server: &&Arc<ServerState>| {
            filter.matches(server.vm.version.as_ref())
                && server.backoff_left().is_zero()
                && !criteria.excluded.contains(&server.vm.name)
        };
        let fitting: Vec<&Arc<ServerState>> = servers.iter().filter(is_candidate).collect();
        let affinity_server = affinity_server(&fitting, criteria.parts);
        let usual_slowness = self.usual_slowness(&fitting);
        let rate = |server| self.rate_candidate(server, affinity_server, usual_slowness, criteria);
        let mut candidates: Vec<Candidate<'_>> = fitting.into_iter().map(rate).collect();
        // If all servers are paused, the best of them is still used.
        candidates
            .sort_unstable_by(|a, b| a.standing.cmp(&b.standing).then(a.cost.total_cmp(&b.cost)));
        let mut dry = Vec::new();
        for candidate in candidates {
            let name = &candidate.server.vm.name;
            match self.limits.reserve(name) {
                Some(permit) => {
                    dry.iter().for_each(|server| self.limits.want(server));
                    return Selection::Server(candidate.select(permit));
                }
                None => dry.push(name.clone()),
            }
        }
        if dry.is_empty() { Selection::Nothing } else { Selection::Limited(dry) }
    }

    /// The server that a token is for; `None` if it takes no calls any more.
    pub(super) fn select_with_token(
        &self,
        criteria: &SelectionCriteria<'_>,
        token: LimitToken,
    ) -> Option<SelectedServer> {
        let servers = self.servers.pool(criteria.pool);
        let server = servers.iter().find(|server| server.vm.name == *token.server())?;
        let candidate = self.rate_candidate(server, None, f64::MAX, criteria);
        let takes_calls = server.backoff_left().is_zero();
        takes_calls.then(|| candidate.select(SendPermit::Token(token)))
    }

    /// The median slowness of servers, which limited ones are held to have at most.
    fn usual_slowness(&self, servers: &[&Arc<ServerState>]) -> f64 {
        if !self.limits.is_any() || servers.is_empty() {
            return f64::MAX;
        }
        let mut all: Vec<f64> = servers.iter().map(|server| server.snapshot().slowness).collect();
        all.sort_unstable_by(f64::total_cmp);
        all[all.len() / 2]
    }

    fn rate_candidate<'a>(
        &self,
        server: &'a Arc<ServerState>,
        affinity_server: Option<&VmName>,
        usual_slowness: f64,
        criteria: &SelectionCriteria<'_>,
    ) -> Candidate<'a> {
        let snapshot = server.snapshot();
        let uncached_tokens = server.uncached_tokens(criteria.parts);
        let has_affinity = affinity_server == Some(&server.vm.name);
        let fraction = if has_affinity { AFFINITY_UNCACHED_FRACTION } else { 1.0 };
        let admission = self.limits.admission(&server.vm.name);
        // What few calls showed long ago must not keep a limited server from its rate.
        let most_slowness = match admission {
            Admission::Free => f64::MAX,
            Admission::Ready | Admission::Dry => usual_slowness,
        };
        let slowness = snapshot.slowness.min(most_slowness);
        let view = ServerView {
            busy: snapshot.busy,
            slots: snapshot.slots,
            pending_tokens: snapshot.pending_tokens,
            uncached_tokens: uncached_tokens as f64 * fraction,
            slowness,
            failure_rate: snapshot.failure_rate,
            local: server.vm.data_centre == *self.data_centre(),
        };
        let has_token = admission == Admission::Ready;
        let token_fraction = if has_token { TOKEN_COST_FRACTION } else { 1.0 };
        let jitter = rand::rng().random_range(1.0..1.0 + COST_JITTER);
        let cost = view.expected_wait() * jitter * token_fraction;
        let baseline_ms =
            ServerView { uncached_tokens: uncached_tokens as f64, ..view }.baseline_wait();
        let estimate_ms = baseline_ms * slowness;
        let standing = snapshot.standing.for_call(criteria.excluded.is_empty());
        Candidate { server, standing, cost, uncached_tokens, baseline_ms, estimate_ms }
    }
}

impl Candidate<'_> {
    fn select(self, permit: SendPermit) -> SelectedServer {
        SelectedServer {
            server: self.server.clone(),
            uncached_tokens: self.uncached_tokens,
            baseline_ms: self.baseline_ms,
            estimate_ms: self.estimate_ms,
            permit,
        }
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
