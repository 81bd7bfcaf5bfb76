//! Turns an incoming request into a [`Call`]: route lookup, API key check and reading of the body.

use super::accepted_call::{Call, ended_before};
use super::call_body::CallBody;
use super::hop::Hop;
use super::server_selection::{pick_pool, stable_hash};
use super::{Access, Gateway, GatewayError, RequestHead, RequestedModel, RouteIndex};
use crate::control::{CallerLimits, KeyHash, Suspect};
use crate::inbound::InboundBody;
use crate::name::{ModelName, OrganisationName, PoolName};
use http::request::Parts;
use http::{Request, header};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Time limit for receiving a request body, and the timeout assumed for a call whose route is not
/// known yet.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest that a call waits for a starting router. After the loss of all daemons at once, the
/// voters need about two election timeouts.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(4);
/// Fraction of a call's timeout that it may spend waiting for a starting router.
const STARTUP_WAIT_FRACTION: f64 = 0.5;
/// The least urgent rank of a call.
const MAX_RANK: u8 = 9;

/// A request's body, before or after it was read.
enum RequestBody {
    Unread(InboundBody),
    Buffered(CallBody),
}

/// Reads a request, finds its route and pool, and checks its API key.
pub async fn accept(
    gateway: &Arc<Gateway>,
    request: Request<InboundBody>,
    started: Instant,
    hop: Option<Hop>,
) -> Result<Call, GatewayError> {
    // Another router may still find one that goes on; a caller has come before the port was closed.
    if hop.is_some() && gateway.closed.load(Ordering::Relaxed) {
        return Err(GatewayError::Stopping);
    }
    let (parts, body) = request.into_parts();
    let body = match gateway.has_started() || hop.is_some() {
        true => RequestBody::Unread(body),
        false => RequestBody::Buffered(wait_until_started(gateway, &parts, body, started).await?),
    };
    let index = gateway.route_index().ok_or(GatewayError::NoLease)?;
    if hop.as_ref().is_some_and(|hop| hop.revision > index.config.revision) {
        return Err(GatewayError::NoLease);
    }
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or("").to_owned();
    let path = parts.uri.path();
    let no_route = || GatewayError::NoRoute(format!("{host}{path}"));
    let route = index.route(&host, path).ok_or_else(no_route)?.clone();
    let mut head = gateway.format.parse_request(&parts.headers).map_err(GatewayError::Malformed)?;
    if let Some(event) = hop.as_ref().and_then(|hop| hop.last_event) {
        head.last_event = Some(event);
    }
    let key = head.key.as_deref().map(KeyHash::of);
    let (organisation, key_priority) = match index.authorize(&route, key.as_ref()) {
        Access::Anonymous => (None, None),
        Access::Organisation(organisation) => {
            (Some(organisation.name.clone()), organisation.priority)
        }
        Access::Denied => return Err(GatewayError::InvalidKey),
    };
    let mut suspects: Vec<Suspect> = head.shared_parts().map(Suspect::Part).collect();
    if let Some(part) = gateway.parts.blocked(&suspects) {
        return Err(GatewayError::Blocked(part));
    }
    let timeout = head.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = started + hop.as_ref().map_or(timeout, |hop| hop.left.min(timeout));
    let body_deadline = deadline.min(started + RECEIVE_TIMEOUT);
    let body = read_body(gateway, body, index.limits(), body_deadline).await?;
    let caller = organisation.as_ref().map(OrganisationName::as_str);
    let request = gateway.hasher.id(&parts.method, &parts.uri, caller, &body.bytes);
    suspects.push(Suspect::Request(request));
    if let Some(request) = gateway.parts.blocked(&suspects) {
        return Err(GatewayError::Blocked(request));
    }
    let hash = stable_hash(head.id.as_ref().map_or(&[][..], |id| id.as_bytes()));
    let pool = pick_pool(&route, hash).ok_or_else(no_route)?.clone();
    let model = match &head.model {
        RequestedModel::Any => route.models.first().cloned(),
        RequestedModel::Named(_) | RequestedModel::Unspecified => None,
    };
    let rank = key_priority.unwrap_or(route.priority).min(MAX_RANK);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse().map_err(|_| GatewayError::Malformed("invalid path".to_owned()))?;
    Ok(Call {
        gateway: gateway.clone(),
        parts: parts_for_model(&head, model.as_ref()),
        priority: has_engine(&index, &pool).then_some(rank),
        rank,
        suspects: suspects.into(),
        ended_servers: Arc::new(AtomicU32::new(hop.as_ref().map_or(0, ended_before))),
        index,
        pool,
        key: organisation.as_ref().and(key),
        organisation,
        model,
        head,
        route,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        hop,
        started,
        deadline,
    })
}

/// Reads the body of a call that arrives before this router has a configuration and a VM list, and
/// waits for both. If the call were rejected now, a retry would most likely reach another router
/// that is also starting.
async fn wait_until_started(
    gateway: &Gateway,
    parts: &Parts,
    body: InboundBody,
    started: Instant,
) -> Result<CallBody, GatewayError> {
    let head = gateway.format.parse_request(&parts.headers).map_err(GatewayError::Malformed)?;
    let timeout = head.timeout.unwrap_or(RECEIVE_TIMEOUT);
    let deadline = started + timeout.mul_f64(STARTUP_WAIT_FRACTION).min(MAX_STARTUP_WAIT);
    let limits = CallerLimits::default();
    let body = read_body(gateway, RequestBody::Unread(body), &limits, deadline).await?;
    match tokio::time::timeout_at(deadline.into(), gateway.wait_started()).await {
        Ok(()) => Ok(body),
        Err(_) => Err(GatewayError::Starting),
    }
}

/// Whether the servers of a pool are engines, which honour priorities.
fn has_engine(index: &RouteIndex, pool: &PoolName) -> bool {
    let table = index.config.route_table.as_ref();
    table.and_then(|table| table.pool(pool)).is_some_and(|pool| pool.engine.is_some())
}

/// The prompt parts with their ids combined with the model's name: each model has a cache of its
/// own, so the same part counts as a different one for another model.
pub fn parts_for_model(head: &RequestHead, model: Option<&ModelName>) -> Vec<(u64, u32)> {
    let model_name = match &head.model {
        RequestedModel::Named(name) => Some(name),
        _ => model,
    };
    let salt = model_name.map_or(0, |name| stable_hash(name.as_str()));
    head.parts.iter().map(|part| (part.id ^ salt, part.tokens)).collect()
}

async fn read_body(
    gateway: &Gateway,
    body: RequestBody,
    limits: &CallerLimits,
    deadline: Instant,
) -> Result<CallBody, GatewayError> {
    let limit = limits.body_bytes;
    match body {
        RequestBody::Buffered(body) if body.bytes.len() > limit => {
            Err(GatewayError::TooLarge(limit))
        }
        RequestBody::Buffered(body) => Ok(body),
        RequestBody::Unread(body) => CallBody::read(body, limit, &gateway.bodies, deadline).await,
    }
}
