//! Selection of the pool, version and server for a call.

use super::allowed_servers::AllowedServers;
use super::placement::PlacementView;
use super::server_limits::{LimitToken, SendPermit};
use super::server_table::ServerState;
use super::standing::Standing;
use super::{Gateway, RouteIndex};
use crate::control::{Config, ConfiguredRoute, PoolRollout, PoolRolloutStatus};
use crate::name::{ModelName, OrganisationName, PoolName, VersionName, VmName};
use crate::policy::{Admission, CallSize, PlacedCall, ServerView, is_canary};
use rand::Rng;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Fraction of the uncached prompt tokens that counts at the prompt's affinity server: other
/// routers have most likely sent its shared parts there already.
const AFFINITY_UNCACHED_FRACTION: f64 = 0.1;
/// Random increase of a server's cost, as a fraction, so that routers with the same information do
/// not all select the same server.
const COST_JITTER: f64 = 0.15;
/// The same where the cost comes from what was learned, which differs between routers by itself.
const LEARNED_COST_JITTER: f64 = 0.03;
/// Servers that the debug log names of those weighed for a call.
const LOGGED_SERVERS: usize = 4;
/// A server for which this router holds a token costs this fraction: the token is lost if it is not
/// used soon.
const TOKEN_COST_FRACTION: f64 = 0.7;
/// Cost added to a server of another model, in ms: a call goes there only if it saves more, as it
/// slows that model's calls.
const OTHER_MODEL_PENALTY_MS: f64 = 400.0;

/// What the selection of a server depends on.
#[derive(Debug)]
pub struct SelectionCriteria<'a> {
    /// The pool of the call.
    pub pool: &'a PoolName,
    /// The route of the call.
    pub route: &'a ConfiguredRoute,
    /// The organisation of the call, if any.
    pub organisation: Option<&'a OrganisationName>,
    /// The model that the call is for, if known.
    pub model: Option<&'a ModelName>,
    /// The hash of the session or, without one, of the caller's id of the call.
    pub hash: u64,
    /// Whether the call belongs to a session.
    pub in_session: bool,
    /// The version that last served the session, if known; the inner `None` is an unnamed version.
    pub session_version: Option<&'a Option<VersionName>>,
    /// Prompt parts as (id, tokens).
    pub parts: &'a [(u64, u32)],
    /// The most tokens of the answer; 0 if unknown.
    pub answer_tokens: u32,
    /// Bytes of the call's body.
    pub body_bytes: usize,
    /// Servers that have been tried already.
    pub excluded: &'a [VmName],
}

impl SelectionCriteria<'_> {
    /// The tokens of the call.
    pub fn size(&self) -> CallSize<'_> {
        CallSize { parts: self.parts, answer: self.answer_tokens }
    }
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
    /// The expected time from there to the end of the answer, in ms.
    pub answer_ms: f64,
    /// What is expected of the call where it was placed by what is learned.
    pub placed: Option<PlacedCall>,
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
    answer_ms: f64,
    placed: Option<PlacedCall>,
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
        let mut servers = self.servers.pool(criteria.pool);
        let allowed = AllowedServers::new(self, &index.config, criteria);
        servers.retain(|server| allowed.takes_call(server));
        let rollout = index.config.pool_rollouts.get(criteria.pool);
        let version_filters =
            rollout.map_or([VersionFilter::Any; 2], |rollout| version_filters(rollout, criteria));
        let mut limited = Vec::new();
        for filter in version_filters {
            match self.pick_server(&index.config, &servers, filter, criteria) {
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
        config: &Config,
        servers: &[Arc<ServerState>],
        filter: VersionFilter<'_>,
        criteria: &SelectionCriteria<'_>,
    ) -> Selection {
        let is_candidate = |server: &&Arc<ServerState>| {
            filter.matches(server.vm.version.as_ref())
                && !criteria.excluded.contains(&server.vm.name)
        };
        let fitting: Vec<&Arc<ServerState>> = servers.iter().filter(is_candidate).collect();
        let (own, others) = self.divide(&fitting, servers, criteria);
        let mut candidates = match self.placement_view(config, &own, criteria) {
            Some(view) => self.rate_learned(&own, &others, &view, criteria),
            None => self.rate_fixed(&own, &others, criteria),
        };
        // If all servers are paused, the best of them is still used.
        candidates
            .sort_unstable_by(|a, b| a.standing.cmp(&b.standing).then(a.cost.total_cmp(&b.cost)));
        log_weighed(&candidates, criteria);
        let mut dry = Vec::new();
        self.put_full_last(criteria.pool, &mut candidates);
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

    /// Moves the servers before the first one with room for a connection behind the others of the same
    /// standing.
    fn put_full_last(&self, pool: &PoolName, candidates: &mut [Candidate<'_>]) {
        let Some(cap) = self.connection_cap(pool) else { return };
        let has_room =
            |candidate: &Candidate<'_>| self.has_connection_room(candidate.server.vm.address, cap);
        let Some(best) = candidates.first().map(|candidate| candidate.standing) else { return };
        let equals = candidates.iter().take_while(|candidate| candidate.standing == best).count();
        if let Some(first) = candidates[..equals].iter().position(has_room) {
            candidates[..equals].rotate_left(first);
        }
    }

    /// The server that a token is for; `None` if it takes no calls any more.
    pub(super) fn select_with_token(
        &self,
        criteria: &SelectionCriteria<'_>,
        token: LimitToken,
    ) -> Option<SelectedServer> {
        let servers = self.servers.pool(criteria.pool);
        let position = servers.iter().position(|server| server.vm.name == *token.server())?;
        let server = &servers[position];
        let all: Vec<&Arc<ServerState>> = servers.iter().collect();
        let index = self.route_index()?;
        let view = self.placement_view(&index.config, &all, criteria);
        let candidate = match view {
            Some(view) => {
                let home = view.home_chances.get(position).copied().unwrap_or(0.0);
                self.rate_learned_candidate(server, home, &view, criteria)
            }
            None => self.rate_candidate(server, None, f64::MAX, criteria),
        };
        let allowed = AllowedServers::new(self, &index.config, criteria);
        allowed.takes_call(server).then(|| candidate.select(SendPermit::Token(token)))
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

    /// Those of the `fitting` servers that are the own ones of the call's model, and the others. All count as own
    /// ones if none of these fits.
    fn divide<'a>(
        &self,
        fitting: &[&'a Arc<ServerState>],
        servers: &[Arc<ServerState>],
        criteria: &SelectionCriteria<'_>,
    ) -> (Vec<&'a Arc<ServerState>>, Vec<&'a Arc<ServerState>>) {
        let Some(own) = self.own_servers(servers, criteria) else {
            return (fitting.to_vec(), Vec::new());
        };
        let (own, others): (Vec<_>, Vec<_>) =
            fitting.iter().copied().partition(|server| own.contains(&server.vm.name));
        if own.is_empty() { (others, own) } else { (own, others) }
    }

    fn rate_fixed<'a>(
        &self,
        own: &[&'a Arc<ServerState>],
        others: &[&'a Arc<ServerState>],
        criteria: &SelectionCriteria<'_>,
    ) -> Vec<Candidate<'a>> {
        let affinity_server = affinity_server(own, criteria.parts);
        let usual_slowness = self.usual_slowness(own);
        let rate = |server: &&'a Arc<ServerState>| {
            self.rate_candidate(server, affinity_server, usual_slowness, criteria)
        };
        let of_others = others.iter().map(rate).map(Candidate::of_other_model);
        own.iter().map(rate).chain(of_others).collect()
    }

    fn rate_learned<'a>(
        &self,
        own: &[&'a Arc<ServerState>],
        others: &[&'a Arc<ServerState>],
        view: &PlacementView,
        criteria: &SelectionCriteria<'_>,
    ) -> Vec<Candidate<'a>> {
        let rate = |(server, home): (&&'a Arc<ServerState>, f64)| {
            self.rate_learned_candidate(server, home, view, criteria)
        };
        let homed = own.iter().zip(view.home_chances.iter().copied()).map(rate);
        let not_homed = others.iter().map(|server| rate((server, 0.0)));
        homed.chain(not_homed.map(Candidate::of_other_model)).collect()
    }

    /// Rates a server by what is learned; the baseline, by which versions are compared, stays fixed.
    fn rate_learned_candidate<'a>(
        &self,
        server: &'a Arc<ServerState>,
        home: f64,
        view: &PlacementView,
        criteria: &SelectionCriteria<'_>,
    ) -> Candidate<'a> {
        let is_near = server.vm.data_centre == *self.data_centre();
        let placed = view.rate(server, is_near, home, criteria);
        let has_token = self.limits.admission(&server.vm.name) == Admission::Ready;
        let token_fraction = if has_token { TOKEN_COST_FRACTION } else { 1.0 };
        let jitter = rand::rng().random_range(1.0..1.0 + LEARNED_COST_JITTER);
        let fixed = self.rate_candidate(server, None, f64::MAX, criteria);
        Candidate {
            cost: placed.cost * jitter * token_fraction,
            uncached_tokens: placed.new_tokens as u64,
            estimate_ms: placed.first_ms,
            answer_ms: placed.answer_ms,
            placed: Some(placed),
            ..fixed
        }
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
        let answer_ms = view.answer_time(criteria.answer_tokens);
        let standing = snapshot.standing.for_call(criteria.excluded.is_empty());
        Candidate {
            server,
            standing,
            cost,
            uncached_tokens,
            baseline_ms,
            estimate_ms,
            answer_ms,
            placed: None,
        }
    }
}

impl Candidate<'_> {
    /// The same at a server that belongs to another model.
    fn of_other_model(self) -> Self {
        Self { cost: self.cost + OTHER_MODEL_PENALTY_MS, ..self }
    }

    fn select(self, permit: SendPermit) -> SelectedServer {
        SelectedServer {
            server: self.server.clone(),
            uncached_tokens: self.uncached_tokens,
            baseline_ms: self.baseline_ms,
            estimate_ms: self.estimate_ms,
            answer_ms: self.answer_ms,
            placed: self.placed,
            permit,
        }
    }
}

/// Names the best of the servers weighed for a call.
fn log_weighed(candidates: &[Candidate<'_>], criteria: &SelectionCriteria<'_>) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    for candidate in candidates.iter().take(LOGGED_SERVERS) {
        let (name, standing) = (&candidate.server.vm.name, candidate.standing);
        match candidate.placed {
            Some(placed) => log::debug!(
                "pool {}, model {:?}: server {name} ({standing:?}) costs {:.0} ms: first event in \
                 {:.0}, kept tokens {:.0} (longest shared part with a chance of {:.2}), new tokens \
                 {:.0}, way {:.0}",
                criteria.pool,
                criteria.model,
                candidate.cost,
                placed.first_ms,
                placed.kept_tokens,
                placed.doubtful.chance,
                placed.new_tokens,
                placed.way_ms
            ),
            None => log::debug!(
                "pool {}: server {name} ({standing:?}) costs {:.0} ms by fixed times",
                criteria.pool,
                candidate.cost
            ),
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
