//! Processing of one call: attempts at backend servers, retries, model escalation and the response.

use super::accept::{accept, parts_for_model};
use super::exchange::{Exchange, SendOutcome};
use super::response::{ResponseBody, full_body, may_carry_events, strip_hop_headers};
use super::server_selection::{SelectedServer, Selection, SelectionCriteria, stable_hash};
use super::stream_relay::{StreamRelay, relay_stream};
use super::{Access, Gateway, GatewayError, RequestHead, RouteIndex};
use crate::backend::BodyError;
use crate::control::{ConfiguredRoute, KeyHash, Suspect};
use crate::name::{ModelName, OrganisationName, PoolName, VersionName, VmName};
use crate::policy::accepts_answer;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

/// The most servers tried for one call, including those that could not be reached.
const MAX_SERVERS_TRIED: usize = 8;
/// Servers that may end under one call before it is not sent to another one.
const MAX_ENDED_SERVERS: u32 = 2;
/// The largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How much longer the largest model takes to start its response than the smallest, as a factor.
const LARGEST_MODEL_SLOWDOWN: f64 = 2.2;
/// The part of the route's target latency, from its arrival, and of its remaining time that a call
/// may wait for a limited server; the rest is for the answer. A longer queue would only make all
/// answers late.
const LIMIT_WAIT_FRACTION: f64 = 0.5;
/// The part of the target latency that a call may wait in any case, as for another try.
const LEAST_WAIT_FRACTION: f64 = 0.25;

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
    /// Servers that ended under this call before they had answered for long.
    pub ended_servers: Arc<AtomicU32>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers as received.
    pub headers: HeaderMap,
    /// The whole request body.
    pub body: Bytes,
    /// When the request arrived.
    pub started: Instant,
    /// When the response is due.
    pub deadline: Instant,
}

/// The attempts made for a call so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Servers that the call was sent to, or that could not be reached.
    pub servers: Vec<VmName>,
    /// Attempts in which the call may have reached a server.
    pub sends: u32,
    /// Why the last attempt failed; `None` while no server can have run the call.
    pub last_failure: Option<String>,
    /// Whether the retry budget has already been charged for the next attempt.
    pub budget_taken: bool,
}

/// Serves one request within its deadline.
pub async fn serve(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, GatewayError> {
    let started = Instant::now();
    let call = accept(gateway, request, started).await?;
    let deadline = call.deadline;
    let call = Arc::new(call);
    call.gateway.record_call(&call.pool);
    call.gateway.count_for_silence();
    let mut history = AttemptHistory::default();
    let work = try_servers(&call, &mut history);
    let served = tokio::select! {
        served = tokio::time::timeout_at(deadline.into(), work) => served,
        // Dropping the attempt closes its connection: the call may still wait in its server's queue.
        suspect = call.gateway.parts.until_blocked(&call.suspects) => {
            log::info!("call {}: given up, as {suspect} ends servers", call.log_id());
            Ok(Err(match history.sends {
                0 => GatewayError::Blocked(suspect),
                _ => GatewayError::ResponseLost(format!("{suspect} ends servers")),
            }))
        }
    };
    match served {
        Ok(response) => response,
        Err(_) if history.sends == 0 => Err(GatewayError::NotSentInTime),
        Err(_) => Err(GatewayError::TimedOut),
    }
}

/// Tries servers until one responds. A server's own 5xx response is returned if no later attempt
/// brings another one.
async fn try_servers(
    call: &Arc<Call>,
    history: &mut AttemptHistory,
) -> Result<Response<ResponseBody>, GatewayError> {
    let mut call = call.clone();
    let mut failure = None;
    loop {
        let mut exchange = match call.next_exchange(history, None).await {
            Ok(exchange) => exchange,
            Err(error) => return failure.ok_or(error),
        };
        if exchange.response.status().is_server_error() {
            match collect_response(exchange).await {
                Ok(response) if call.may_retry_after_run(history) => failure = Some(response),
                Ok(response) => return Ok(response),
                Err(cause) => log::info!("call {}: {cause}", call.log_id()),
            }
            history.last_failure = Some("the server returned a 5xx status".to_owned());
            continue;
        }
        if let Some(larger) = call.escalation(&exchange, history) {
            call.record_response_time(exchange.elapsed());
            exchange.discard();
            history.servers.clear();
            history.budget_taken = true;
            history.last_failure = Some("the confidence of the model was too low".to_owned());
            call = Arc::new(larger);
            continue;
        }
        let is_stream = call.route.kind.is_stream() && may_carry_events(&exchange.response);
        if is_stream && exchange.response.status().is_success() {
            match StreamRelay::open(call.clone(), exchange).await {
                Ok(opened) => return Ok(relay_stream(opened, std::mem::take(history))),
                Err(cause) => {
                    history.last_failure = Some(cause);
                    continue;
                }
            }
        }
        call.record_response_time(exchange.elapsed());
        exchange.response_started();
        match collect_response(exchange).await {
            Ok(response) => return Ok(response),
            Err(cause) => history.last_failure = Some(cause),
        }
    }
}

/// Reads the whole response body before any of it is sent, so that a truncated response can be
/// retried.
async fn collect_response(mut exchange: Box<Exchange>) -> Result<Response<ResponseBody>, String> {
    let mut share = exchange.buffers.share();
    let read = exchange.response.body_mut().read_whole(MAX_RESPONSE_BYTES, &mut share).await;
    let body = read.map_err(|error| {
        exchange.in_flight.server.record_failure();
        if let BodyError::Interrupted(_) = error {
            exchange.server_ended();
        }
        error.to_string()
    })?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = exchange.response.status();
    // Whether the run was sound is told by the headers too, so they stay.
    let mut headers = exchange.response.headers().clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    exchange.finish();
    Ok(response)
}

impl Call {
    /// Sends the call to one server after another until one responds. When a stream is resumed,
    /// `last_event` is the id of the last event that the caller has received.
    pub(super) async fn next_exchange(
        &self,
        history: &mut AttemptHistory,
        last_event: Option<u64>,
    ) -> Result<Box<Exchange>, GatewayError> {
        let session = self.head.session.as_deref();
        loop {
            if history.sends > 0 && !self.may_retry(history) {
                return Err(self.final_error(history));
            }
            let selected = self.next_server(history).await?;
            // This may have been found while the call was under way.
            if let Some(suspect) = self.gateway.parts.blocked(&self.suspects) {
                return Err(match &history.last_failure {
                    Some(cause) => GatewayError::ResponseLost(cause.clone()),
                    None => GatewayError::Blocked(suspect),
                });
            }
            let budget_taken = std::mem::take(&mut history.budget_taken);
            if history.sends > 0 && !budget_taken && !self.gateway.take_retry(&self.pool) {
                return Err(self.final_error(history));
            }
            let server = selected.server.clone();
            history.servers.push(server.vm.name.clone());
            let timeout = self.response_timeout(history);
            history.sends += 1;
            metrics::counter!("samphireshift_attempts_total").increment(1);
            match self.send(selected, last_event, timeout).await {
                SendOutcome::Answered(exchange) => {
                    let (status, attempt) = (exchange.response.status(), history.sends);
                    log::debug!(
                        "call {}: server {} responded with {status} on attempt {attempt}",
                        self.log_id(),
                        server.vm.name
                    );
                    if let Some(session) = session {
                        self.gateway.sessions.record(session, server.vm.version.clone());
                    }
                    return Ok(exchange);
                }
                SendOutcome::NotSent(cause) => {
                    history.sends -= 1;
                    log::info!(
                        "call {}: could not send to server {}: {cause}",
                        self.log_id(),
                        server.vm.name
                    );
                }
                SendOutcome::NotRun(status) => {
                    log::info!(
                        "call {}: server {} did not run it: {status}",
                        self.log_id(),
                        server.vm.name
                    );
                }
                SendOutcome::Lost(cause) => {
                    let (log_id, server) = (self.log_id(), &server.vm.name);
                    log::info!(
                        "call {log_id}: no valid response from server {server} of pool {}: {cause}",
                        self.pool
                    );
                    history.last_failure = Some(cause);
                }
            }
        }
    }

    /// Selects the server for the next attempt. If servers would take the call but for their limits,
    /// waits until one may be sent the call; returns at once if that would be too late.
    async fn next_server(&self, history: &AttemptHistory) -> Result<SelectedServer, GatewayError> {
        loop {
            if history.servers.len() >= MAX_SERVERS_TRIED {
                return Err(self.final_error(history));
            }
            let servers = match self.select_server(&history.servers) {
                Selection::Server(selected) => return Ok(selected),
                Selection::Limited(servers) => servers,
                Selection::Nothing => return Err(self.final_error(history)),
            };
            let until = self.limit_wait_end();
            let Some(token) = self.gateway.limits.wait(&servers, self.rank, until).await else {
                return Err(self.limited_error(history, &servers));
            };
            let session_version = self.session_version();
            let criteria = self.criteria(session_version.as_ref(), &[]);
            if let Some(selected) = self.gateway.select_with_token(&criteria, token) {
                return Ok(selected);
            }
        }
    }

    /// Until when the call may wait for a limited server.
    fn limit_wait_end(&self) -> Instant {
        let (now, target) = (Instant::now(), self.route.latency_target);
        let in_time = self.started + target.mul_f64(LIMIT_WAIT_FRACTION);
        let least = now + target.mul_f64(LEAST_WAIT_FRACTION);
        let left = self.deadline.saturating_duration_since(now);
        in_time.max(least).min(now + left.mul_f64(LIMIT_WAIT_FRACTION))
    }

    /// The call for the largest model, if the confidence of the response is too low to keep it and
    /// the retry budget allows another attempt.
    fn escalation(&self, exchange: &Exchange, history: &AttemptHistory) -> Option<Self> {
        let (model, confidence) = (self.model.as_ref()?, exchange.head.confidence?);
        let largest = self.route.models.last().filter(|largest| *largest != model)?.clone();
        // What may end servers would meet another one; this answer is better than none.
        if !self.may_retry_after_run(history) || self.gateway.parts.is_watched(&self.suspects) {
            return None;
        }
        let parts = parts_for_model(&self.head, Some(&largest));
        let larger = Self { parts, model: Some(largest), ..self.clone() };
        let Selection::Server(server) = larger.select_server(&[]) else { return None };
        let estimate_ms = server.estimate_ms * LARGEST_MODEL_SLOWDOWN;
        let target = self.started + self.route.latency_target;
        let left_ms = target.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let keep = accepts_answer(confidence, estimate_ms, left_ms);
        log::debug!(
            "call {}: model {model} reports confidence {confidence}, answer kept: {keep}",
            self.log_id()
        );
        (!keep && self.gateway.take_retry(&self.pool)).then_some(larger)
    }

    /// Selects the best server for the call now, leaving out the `excluded` ones.
    fn select_server(&self, excluded: &[VmName]) -> Selection {
        let session_version = self.session_version();
        let criteria = self.criteria(session_version.as_ref(), excluded);
        self.gateway.select_server(&self.index, &criteria)
    }

    /// The version that last served the call's session, if known.
    fn session_version(&self) -> Option<Option<VersionName>> {
        self.gateway.sessions.version(self.head.session.as_deref()?)
    }

    fn criteria<'a>(
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
            hash,
            in_session: self.head.session.is_some(),
            session_version,
            parts: &self.parts,
            excluded,
        }
    }

    /// The caller's id of the call, for logs; `-` if it has none.
    pub fn log_id(&self) -> &str {
        self.head.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Whether the call may be sent to another server: route, attempt limit and deadline allow it.
    pub(super) fn may_retry(&self, history: &AttemptHistory) -> bool {
        let may_end_servers = self.ended_servers.load(Ordering::Relaxed) >= MAX_ENDED_SERVERS
            || (history.last_failure.is_some() && self.gateway.parts.is_watched(&self.suspects));
        if may_end_servers {
            log::info!("call {}: not tried again, as it may end servers", self.log_id());
            return false;
        }
        let is_repeatable = history.last_failure.is_none() || self.route.kind.is_retry_safe();
        is_repeatable && history.sends < self.route.max_attempts && Instant::now() < self.deadline
    }

    /// Whether the call may be sent to another server although one has run it.
    fn may_retry_after_run(&self, history: &AttemptHistory) -> bool {
        self.route.kind.is_retry_safe() && self.may_retry(history)
    }

    /// Checks the call against a configuration installed since it was accepted; returns the error
    /// if its route is gone or its key no longer valid.
    fn recheck_access(&self) -> Option<GatewayError> {
        let index = self.gateway.route_index()?;
        if index.config.revision == self.index.config.revision {
            return None;
        }
        let target = format!("{}{}", self.route.host, self.uri.path());
        match index.route(&self.route.host, self.uri.path()) {
            None => Some(GatewayError::NoRoute(target)),
            Some(route) if index.authorize(route, self.key.as_ref()) == Access::Denied => {
                Some(GatewayError::InvalidKey)
            }
            Some(_) => None,
        }
    }

    fn final_error(&self, history: &AttemptHistory) -> GatewayError {
        if history.sends == 0
            && let Some(error) = self.recheck_access()
        {
            return error;
        }
        match &history.last_failure {
            Some(cause) => GatewayError::ResponseLost(cause.clone()),
            None if let Some(wait) = self.gateway.servers.pool_backoff_left(&self.pool) => {
                GatewayError::ServersBackingOff { pool: self.pool.to_string(), wait }
            }
            None if history.sends > 0 => GatewayError::ServersFull,
            None => GatewayError::NoServer(self.pool.to_string()),
        }
    }

    /// The error for a call that these servers would take but for their limits.
    fn limited_error(&self, history: &AttemptHistory, servers: &[VmName]) -> GatewayError {
        match self.final_error(history) {
            GatewayError::NoServer(pool) => {
                let wait = self.gateway.limits.return_wait(
                    &self.pool,
                    servers,
                    self.rank,
                    self.deadline.saturating_duration_since(Instant::now()),
                );
                GatewayError::ServersLimited { pool, wait }
            }
            error => error,
        }
    }
}
