//! A call that was accepted, with what its attempts need and what they have come to.

use super::allowed_servers::{AllowedServers, Obstacle};
use super::attempt_trail::AttemptTrail;
use super::call_body::CallBody;
use super::hop::Hop;
use super::hop_account::HopAccount;
use super::route_permit::RoutePermit;
use super::server_selection::{Selection, SelectionCriteria, stable_hash};
use super::server_table::ServerState;
use super::{Destination, Gateway, RequestHead, RequestedModel, RouteIndex};
use crate::control::{ConfiguredRoute, KeyHash, Suspect};
use crate::name::{DataCentre, ModelName, OrganisationName, PoolName, VersionName, VmName};
use crate::policy::repeat_delay;
use http::{HeaderMap, Method, Uri};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Servers that may end under one call before it is not sent to another one.
pub const MAX_ENDED_SERVERS: u32 = 2;

/// An accepted call, with everything that its attempts need.
#[derive(Clone)]
pub struct Call {
    /// The router that accepted the call.
    pub gateway: Arc<Gateway>,
    /// The configuration that the call was accepted under.
    pub index: Arc<RouteIndex>,
    /// The matching route.
    pub route: Arc<ConfiguredRoute>,
    /// The pool that serves the call.
    pub pool: PoolName,
    /// The parsed request headers.
    pub head: RequestHead,
    /// The hash of the API key; `None` for a call without a known key.
    pub key: Option<KeyHash>,
    /// The organisation that owns the API key; `None` for a call without a known key.
    pub organisation: Option<OrganisationName>,
    /// The priority at engines, 0 (first) to 9; `None` for pools without an engine.
    pub priority: Option<u8>,
    /// How urgent the call is, 0 (first) to 9. That of the organisation takes precedence over the
    /// route's.
    pub rank: u8,
    /// The model that the router chose; `None` where the caller names one or the route has none.
    pub model: Option<ModelName>,
    /// Prompt parts as (id, tokens); ids are specific to the model, see [`parts_for_model`].
    pub parts: Vec<(u64, u32)>,
    /// What would be to blame if servers ended under this call.
    pub suspects: Arc<[Suspect]>,
    /// Servers that ended under this call before they had answered for long, those that another router
    /// may not end any more included.
    pub ended_servers: Arc<AtomicU32>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers as received.
    pub headers: HeaderMap,
    /// The whole request body.
    pub body: CallBody,
    /// What the router says that has passed the call on; `None` for a caller's own call.
    pub hop: Option<Hop>,
    /// When the request arrived.
    pub started: Instant,
    /// When the response is due.
    pub deadline: Instant,
}

/// The attempts made for a call so far.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Servers that the call was sent to, or that could not be reached.
    pub servers: Vec<VmName>,
    /// Attempts in which the call may have reached a server, at this router or another one.
    pub sends: u32,
    /// The most attempts that the router allows that has passed the call on.
    pub most_sends: Option<u32>,
    /// Why the last attempt failed; `None` while no server can have run the call.
    pub last_failure: Option<String>,
    /// Whether a server or router may have the call, or has answered it: set before the first byte is
    /// written, and cleared once it is known not to have run there.
    pub may_run: Arc<AtomicBool>,
    /// Answers that were lost.
    pub losses: u32,
    /// Whether an answer was lost since the last attempt began.
    pub just_lost: bool,
    /// Whether the retry budget has already been charged for the next attempt.
    pub budget_taken: bool,
    /// Servers that could not be connected to.
    pub unreached: usize,
    /// Whether no server of the pool could be connected to.
    pub no_path: bool,
    /// Routers that refused the call after it was passed on to them.
    pub refusals: u32,
    /// Where the call was sent, for the log.
    pub trail: AttemptTrail,
}

impl AttemptHistory {
    /// The attempts made for a call before it was passed on to this router.
    pub fn passed_on(hop: &Hop) -> Self {
        let allowance = hop.allowance();
        Self {
            sends: hop.sends,
            most_sends: Some(hop.sends.saturating_add(allowance.sends)),
            last_failure: hop.may_have_run.then(|| "another router got no response".to_owned()),
            budget_taken: true,
            servers: allowance.tried,
            ..Self::default()
        }
    }

    /// An answer was lost, though its server may have run the call.
    pub fn record_loss(&mut self, cause: String) {
        self.last_failure = Some(cause);
        self.losses += 1;
        self.just_lost = true;
    }

    /// A larger model is asked, at no further cost to the retry budget.
    pub fn record_low_confidence(&mut self) {
        self.budget_taken = true;
        self.last_failure = Some("the confidence of the model was too low".to_owned());
    }

    /// Whether no server has run the call, nor may run it.
    pub fn is_not_run(&self) -> bool {
        self.last_failure.is_none() && !self.may_run.load(Ordering::SeqCst)
    }

    /// How long to wait before the call is sent again after its answer was lost; `None` if it was not.
    pub fn take_repeat_delay(&mut self) -> Option<Duration> {
        std::mem::take(&mut self.just_lost).then(|| repeat_delay(self.losses))
    }

    /// The history for a response that goes on after this one ends; this one is not logged then.
    pub fn hand_over(&mut self) -> Self {
        let trail = self.trail.hand_over();
        Self { trail, ..self.clone() }
    }

    /// Servers and routers that the call was sent to, or would have been: those that refuse connections
    /// cost no attempt that another one could use.
    pub fn targets_tried(&self) -> usize {
        self.servers.len().saturating_sub(self.unreached)
    }

    /// What was done for a call since it was passed on to this router.
    pub fn account(&self, call: &Call) -> HopAccount {
        let Some(hop) = &call.hop else { return HopAccount::default() };
        let ended = call.ended_servers.load(Ordering::Relaxed);
        HopAccount {
            sends: self.sends.saturating_sub(hop.sends),
            ends: ended.saturating_sub(ended_before(hop)),
            servers: self.trail.servers(),
        }
    }
}

/// Servers that count as ended under a call before it was passed on: all but those that may still end.
pub fn ended_before(hop: &Hop) -> u32 {
    MAX_ENDED_SERVERS.saturating_sub(hop.allowance().ends)
}

impl Call {
    /// The caller's id of the call, for logs; `-` if it has none.
    pub fn log_id(&self) -> &str {
        self.head.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Permission to send the call once.
    pub(super) fn permit(&self, destination: Destination) -> Arc<RoutePermit> {
        RoutePermit::new(
            self.gateway.lease.clone(),
            self.index.config.revision,
            self.route.clone(),
            self.pool.clone(),
            self.key.clone(),
            self.organisation.clone(),
            destination,
        )
    }

    /// Selects the best server for the call, leaving out the `excluded` ones, among the versions that
    /// may get calls now: those of its acceptance may have stopped since.
    pub(super) fn select_server(&self, excluded: &[VmName]) -> Selection {
        let session_version = self.session_version();
        let criteria = self.criteria(session_version.as_ref(), excluded);
        let current = self.gateway.route_index();
        self.gateway.select_server(current.as_ref().unwrap_or(&self.index), &criteria)
    }

    /// Whether the call's body may be sent to a data centre under the present configuration.
    pub(super) fn may_be_served_in(&self, data_centre: &DataCentre) -> bool {
        self.with_allowed(|allowed| allowed.is_in_region(data_centre))
    }

    /// Why no server of the pool takes the call, if that is so.
    pub(super) fn obstacle(&self) -> Option<Obstacle> {
        let servers = self.gateway.servers.pool(&self.pool);
        self.with_allowed(|allowed| allowed.obstacle(&servers))
    }

    /// Whether one of these servers may get the call, be it after a pause.
    pub(super) fn is_any_in_use(&self, names: &[VmName]) -> bool {
        let servers = self.gateway.servers.pool(&self.pool);
        let is_named = |server: &&Arc<ServerState>| names.contains(&server.vm.name);
        let mut named = servers.iter().filter(is_named);
        self.with_allowed(|allowed| named.any(|server| allowed.is_in_use(server)))
    }

    fn with_allowed<F, T>(&self, ask: F) -> T
    where
        F: FnOnce(&AllowedServers<'_>) -> T,
    {
        let current = self.gateway.route_index();
        let index = current.as_ref().unwrap_or(&self.index);
        ask(&AllowedServers::new(&self.gateway, &index.config, &self.criteria(None, &[])))
    }

    /// The version that last served the call's session, if known.
    pub(super) fn session_version(&self) -> Option<Option<VersionName>> {
        self.gateway.sessions.version(self.head.session.as_deref()?)
    }

    pub(super) fn criteria<'a>(
        &'a self,
        session_version: Option<&'a Option<VersionName>>,
        excluded: &'a [VmName],
    ) -> SelectionCriteria<'a> {
        let hash = match &self.head.session {
            Some(session) => stable_hash(session.as_str()),
            None => stable_hash(self.head.id.as_ref().map_or(&[][..], |id| id.as_bytes())),
        };
        SelectionCriteria {
            pool: &self.pool,
            route: &self.route,
            organisation: self.organisation.as_ref(),
            model: match &self.head.model {
                RequestedModel::Named(model) => Some(model),
                RequestedModel::Any | RequestedModel::Unspecified => self.model.as_ref(),
            },
            hash,
            in_session: self.head.session.is_some(),
            session_version,
            parts: &self.parts,
            answer_tokens: self.head.tokens.answer,
            body_bytes: self.body.bytes.len(),
            excluded,
        }
    }

    /// Whether the call may be sent to another server.
    pub(super) fn may_retry(&self, history: &AttemptHistory) -> bool {
        self.allows_retry(history) && !self.may_end_servers(history)
    }

    /// Whether route, attempt limit and deadline allow another attempt.
    pub(super) fn allows_retry(&self, history: &AttemptHistory) -> bool {
        let is_repeatable = history.last_failure.is_none() || self.route.kind.is_retry_safe();
        is_repeatable && self.sends_left(history) > 0 && Instant::now() < self.deadline
    }

    /// Whether servers end under the call, so that another attempt might cost one more. It is not to blame
    /// where others end as well, which may be known only some time after its own.
    pub(super) fn may_end_servers(&self, history: &AttemptHistory) -> bool {
        let parts = &self.gateway.parts;
        if self.ended_servers.load(Ordering::Relaxed) > 0 && parts.is_mass_end(&self.suspects) {
            self.ended_servers.store(0, Ordering::Relaxed);
        }
        let is_to_blame = self.ended_servers.load(Ordering::Relaxed) >= MAX_ENDED_SERVERS
            || (history.last_failure.is_some() && parts.is_watched(&self.suspects));
        if is_to_blame {
            log::info!("call {}: not tried again, as it may end servers", self.log_id());
        }
        is_to_blame
    }

    /// How often the call may still be sent, by its route and by the router that has passed it on.
    pub(super) fn sends_left(&self, history: &AttemptHistory) -> u32 {
        let most = history.most_sends.unwrap_or(u32::MAX).min(self.route.max_attempts);
        most.saturating_sub(history.sends)
    }

    /// Whether the call may be sent to another server although one has run it.
    pub(super) fn may_retry_after_run(&self, history: &AttemptHistory) -> bool {
        self.route.kind.is_retry_safe() && self.may_retry(history)
    }
}
