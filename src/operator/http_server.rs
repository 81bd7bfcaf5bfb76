use super::{ExplainTarget, collect_timeline, explain};
use crate::caller::json_response;
use crate::control::{BlockedPart, BlockedParts, Suspect, Ticket};
use crate::daemon::Node;
use crate::error::Error;
use crate::event::EventQuery;
use crate::name::{DataCentre, OrganisationName, RequestId, VersionKey};
use crate::peer::{
    HealthView, Link, NodeStatus, OperatorRequest, OperatorResponse, ProtocolVersion,
};
use bytes::BytesMut;
use http::{HeaderMap, HeaderValue, Method, header};
use serde::Serialize;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use subtle::ConstantTimeEq;
use tarpc::context;
use xitca_server::ServerFuture;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;
use xitca_web::{App, WebContext};

/// Maximum size of a ticket as JSON.
const MAX_TICKET_BYTES: usize = 4 << 20;
/// How long an operator may take to send a ticket; a slower request is refused with status 408.
const TICKET_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait for the status of another daemon.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that `/v1/in-force` waits for a revision; a longer wait is shortened to it.
const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of tickets that `/v1/tickets` lists, newest first.
const MAX_LISTED_TICKETS: usize = 200;
/// `Retry-After` where no leader answers, in whole seconds, which all clients can read. The wait itself has
/// seen an election through.
const RETRY_AFTER_SECONDS: &str = "1";

/// The message where no leader answers.
const NO_LEADER: &str =
    "no leader answers; check that most voters are running and reach one another";

/// Serves the operator API on a listener until the returned future's handle stops it.
///
/// # Errors
/// Fails if the listener cannot be used.
pub fn serve(node: Arc<Node>, listener: TcpListener) -> Result<ServerFuture, Error> {
    let address = node.settings.operator_address.to_string();
    let server = App::new()
        .with_state(node)
        .at("/{*}", fn_service(handle_request))
        .serve()
        .disable_signal()
        .worker_threads(1)
        .listen(listener)
        .map_err(|cause| Error::Bind { address, cause })?;
    Ok(server.run())
}

/// The status of all daemons, as one of them collected it.
#[derive(Debug, Serialize)]
struct ClusterStatus {
    daemons: Vec<NodeStatus>,
    missing: Vec<String>,
    /// The health of each group, from its leader.
    health: Vec<HealthView>,
}

/// HTTP status and message of a request that is refused.
struct ApiError(u16, String);

async fn handle_request(
    mut ctx: WebContext<'_, Arc<Node>>,
) -> Result<WebResponse, xitca_web::error::Error> {
    let node = ctx.state().clone();
    let request = ctx.take_request();
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or("").to_owned();
    if !has_valid_token(&node, &parts.headers) {
        let text =
            "the operator token is missing or wrong; send it as 'Authorization: Bearer TOKEN'";
        return Ok(error_response(&ApiError(401, text.to_owned())));
    }
    if path == "/metrics" {
        return Ok(WebResponse::new(ResponseBody::bytes(node.metrics.render())));
    }
    let response = dispatch_request(&node, &parts.method, &path, &query, body).await;
    Ok(response.unwrap_or_else(|error| error_response(&error)))
}

/// Whether the request carries the operator token, compared in constant time.
fn has_valid_token(node: &Node, headers: &HeaderMap) -> bool {
    let header = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = header.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or("");
    token.as_bytes().ct_eq(node.settings.operator_token.as_bytes()).into()
}

async fn dispatch_request(
    node: &Arc<Node>,
    method: &Method,
    path: &str,
    query: &str,
    body: RequestBody,
) -> Result<WebResponse, ApiError> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "found"]) => {
            let cluster = node.bootstrap().map_err(|error| ApiError(409, error.to_string()))?;
            serialize_response(&serde_json::json!({ "cluster": cluster }))
        }
        ("POST", ["v1", "drain"]) => {
            node.stop.notify_one();
            serialize_response(&serde_json::json!({ "draining": true }))
        }
        ("POST", ["v1", "tickets"]) => {
            let ticket = read_ticket(body).await?;
            let dry_run = query.contains("dry_run=true");
            leader_response(node, OperatorRequest::ApplyTicket { ticket, dry_run }).await
        }
        ("GET", ["v1", "tickets"]) => {
            leader_response(node, OperatorRequest::Tickets { limit: MAX_LISTED_TICKETS }).await
        }
        ("GET", ["v1", "tickets", number]) => {
            let number = number
                .parse()
                .map_err(|_| bad_request("the ticket number must be a non-negative integer"))?;
            leader_response(node, OperatorRequest::ShowTicket(number)).await
        }
        ("GET", ["v1", "in-force", revision]) => {
            let revision = revision
                .parse()
                .map_err(|_| bad_request("the revision must be a non-negative integer"))?;
            let wait =
                query_parameter(query, "wait").and_then(|text| text.parse().ok()).unwrap_or(0);
            leader_response(
                node,
                OperatorRequest::AwaitInForce { revision, wait_ms: MAX_WAIT_MS.min(wait) },
            )
            .await
        }
        ("GET", ["v1", "status"]) => serialize_response(&cluster_status(node).await),
        ("GET", ["v1", "config"]) => leader_response(node, OperatorRequest::Config).await,
        ("GET", ["v1", "evidence"]) => leader_response(node, OperatorRequest::Evidence).await,
        ("GET", ["v1", "bills"]) => leader_response(node, OperatorRequest::BillSums).await,
        ("GET", ["v1", "bills", name]) => {
            leader_response(node, OperatorRequest::Bills(OrganisationName::new(*name))).await
        }
        ("GET", ["v1", "blocked-parts"]) => {
            leader_response(node, OperatorRequest::BlockedParts).await
        }
        ("DELETE", ["v1", "blocked-parts", part]) => {
            let part = u64::from_str_radix(part, 16)
                .map_err(|_| bad_request("the part must be a hexadecimal number"))?;
            order_response(node, path, query, OperatorRequest::ClearPart(part)).await
        }
        ("GET", ["v1", "evacuations"]) => leader_response(node, OperatorRequest::Evacuations).await,
        ("POST", ["v1", "evacuations", name, "begin"]) => {
            let order = OperatorRequest::BeginEvacuation(DataCentre::new(*name));
            order_response(node, path, query, order).await
        }
        ("POST", ["v1", "evacuations", name, "finish"]) => {
            let order = OperatorRequest::FinishEvacuation(DataCentre::new(*name));
            order_response(node, path, query, order).await
        }
        ("GET", ["v1", "timeline"]) => {
            serialize_response(&collect_timeline(node, &parse_event_query(query)?).await)
        }
        ("GET", ["v1", "explain", id]) => {
            let request = RequestId::parse(id)
                .ok_or_else(|| bad_request("a request ID has 32 hex digits"))?;
            serialize_response(&explain(node, &ExplainTarget::Request(request)).await)
        }
        ("GET", ["v1", "explain", "ticket", number]) => {
            let number = number
                .parse()
                .map_err(|_| bad_request("the ticket number must be a non-negative integer"))?;
            serialize_response(&explain(node, &ExplainTarget::Ticket(number)).await)
        }
        ("GET", ["v1", "explain", "version", model, version]) => {
            let key = VersionKey::parse(&format!("{model}/{version}"));
            let key = key.ok_or_else(|| bad_request("the version must be MODEL/VERSION"))?;
            serialize_response(&explain(node, &ExplainTarget::Version(key)).await)
        }
        _ => Err(ApiError(404, format!("the operator API has no {method} {path}"))),
    }
}

fn blocked_response(blocked: &BlockedParts) -> Result<WebResponse, ApiError> {
    let entry = |(suspect, blocked): (Suspect, &BlockedPart)| {
        let kind = match suspect {
            Suspect::Part(_) => "part",
            Suspect::Request(_) => "request",
        };
        serde_json::json!({ kind: format!("{:x}", suspect.id()), "evidence": blocked.evidence })
    };
    serialize_response(&blocked.all().map(entry).collect::<Vec<_>>())
}

/// Forwards an order to the leader. A caller that has to confirm it is sent back to `path` with a number.
async fn order_response(
    node: &Node,
    path: &str,
    query: &str,
    order: OperatorRequest,
) -> Result<WebResponse, ApiError> {
    let request = match query_parameter(query, "after") {
        Some(after) => {
            let after = after.parse().map_err(|_| bad_request("'after' must be a number"))?;
            OperatorRequest::Confirmed { order: Box::new(order), after }
        }
        None => order,
    };
    match ask_leader(node, request).await? {
        OperatorResponse::NeedsConfirmation { after } => {
            let text = "later orders have replaced this one; follow the redirect to order it now";
            let mut response = error_response(&ApiError(307, text.to_owned()));
            let location = HeaderValue::from_str(&format!("{path}?after={after}"));
            let location = location.map_err(|_| bad_request("the path cannot be sent back"))?;
            response.headers_mut().insert(header::LOCATION, location);
            Ok(response)
        }
        response => write_response(response),
    }
}

/// Forwards a request to the leader and writes its response as an HTTP response.
async fn leader_response(node: &Node, request: OperatorRequest) -> Result<WebResponse, ApiError> {
    write_response(ask_leader(node, request).await?)
}

async fn ask_leader(node: &Node, request: OperatorRequest) -> Result<OperatorResponse, ApiError> {
    node.ask_leader(request).await.map_err(|_| ApiError(503, NO_LEADER.to_owned()))
}

fn write_response(response: OperatorResponse) -> Result<WebResponse, ApiError> {
    match response {
        OperatorResponse::Ticket(answer) => serialize_response(&answer),
        OperatorResponse::InForce { reached, lagging } => {
            serialize_response(&serde_json::json!({ "in_force": reached, "lagging": lagging }))
        }
        OperatorResponse::Tickets(tickets) => serialize_response(&tickets),
        OperatorResponse::ShowTicket(Some(record)) => serialize_response(&record),
        OperatorResponse::ShowTicket(None) => {
            Err(ApiError(404, "no ticket with this number was accepted".to_owned()))
        }
        OperatorResponse::Config(config) => {
            let versions: Vec<_> = config.versions.values().collect();
            let rollouts: Vec<_> = config.rollouts.values().collect();
            let revision = config.revision;
            serialize_response(&serde_json::json!({
                "revision": revision, "versions": versions, "rollouts": rollouts,
                "services": config.services.values().collect::<Vec<_>>(),
                "organisations": config.organisations.keys().collect::<Vec<_>>(),
            }))
        }
        OperatorResponse::Evidence(view) => serialize_response(&view),
        OperatorResponse::BillSums(sums) => serialize_response(&sums),
        OperatorResponse::Bills(bills) => serialize_response(&bills),
        OperatorResponse::LiveRouters(live) => serialize_response(&live),
        OperatorResponse::RouteTable(table) => serialize_response(&table),
        OperatorResponse::PoolRollout(rollout) => serialize_response(&rollout),
        OperatorResponse::Committed => {
            serialize_response(&serde_json::json!({ "committed": true }))
        }
        OperatorResponse::UnknownPool => {
            Err(ApiError(404, "unknown pool; check its name".to_owned()))
        }
        OperatorResponse::BlockedParts(blocked) => blocked_response(&blocked),
        OperatorResponse::Blocked(blocked, requests) => {
            blocked_response(&BlockedParts { requests, ..blocked })
        }
        OperatorResponse::UnknownPart => Err(ApiError(
            404,
            "what has this id is not blocked, neither a part nor a request; list them without --clear".to_owned(),
        )),
        OperatorResponse::UnknownDataCentre => {
            Err(ApiError(404, "no VM lies in this data centre; check its name".to_owned()))
        }
        OperatorResponse::Evacuations(evacuated) => serialize_response(&evacuated),
        OperatorResponse::NotLeader { .. }
        | OperatorResponse::OutcomeUnknown
        | OperatorResponse::TooFewVoters
        | OperatorResponse::NeedsConfirmation { .. } => Err(ApiError(503, NO_LEADER.to_owned())),
    }
}

/// Collects the status of all daemons; those that do not answer in time are listed as missing.
async fn cluster_status(node: &Node) -> ClusterStatus {
    let (daemons, missing) = (vec![node.status()], Vec::new());
    let mut cluster = ClusterStatus { daemons, missing, health: node.health_views() };
    let links = node.cluster.peers().all();
    let requests = links.iter().map(|link| peer_status(link));
    for (link, response) in links.iter().zip(futures::future::join_all(requests).await) {
        match response {
            Some((status, health)) => {
                cluster.daemons.push(status);
                cluster.health.extend(health);
            }
            None => cluster.missing.push(link.address().to_string()),
        }
    }
    cluster.daemons.sort_by(|a, b| a.vm.cmp(&b.vm));
    cluster.health.sort_by(|a, b| (a.group, &a.leader).cmp(&(b.group, &b.leader)));
    cluster
}

/// The status of a daemon and the health of the groups that it leads, which earlier builds do not tell.
async fn peer_status(link: &Link) -> Option<(NodeStatus, Vec<HealthView>)> {
    let client = link.client()?;
    let mut context = context::current();
    context.deadline = Instant::now() + STATUS_TIMEOUT;
    if link.version() < Some(ProtocolVersion::GROUP_HEALTH) {
        return Some((client.status(context).await.ok()?, Vec::new()));
    }
    let (status, health) =
        futures::future::join(client.status(context), client.group_health(context)).await;
    let health = health.unwrap_or_else(|error| {
        log::info!("{} does not tell the health of its groups: {error}", link.address());
        Vec::new()
    });
    Some((status.ok()?, health))
}

async fn read_ticket(body: RequestBody) -> Result<Ticket, ApiError> {
    let timed_out = || {
        ApiError(
            408,
            format!("the ticket was not received within {TICKET_TIMEOUT:?}; send it again"),
        )
    };
    let read = tokio::time::timeout(TICKET_TIMEOUT, read_ticket_body(body));
    read.await.unwrap_or_else(|_| Err(timed_out()))
}

async fn read_ticket_body(body: RequestBody) -> Result<Ticket, ApiError> {
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk
            .map_err(|cause| bad_request(&format!("cannot read the request body: {cause}")))?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_TICKET_BYTES {
            return Err(ApiError(
                413,
                format!("a ticket has at most {MAX_TICKET_BYTES} bytes; split it"),
            ));
        }
    }
    Ticket::from_json(&bytes).map_err(|error| bad_request(&error.to_string()))
}

/// The event query in the parameter `filter`, JSON in hex digits; selects all events without it.
fn parse_event_query(query: &str) -> Result<EventQuery, ApiError> {
    match query_parameter(query, "filter") {
        None => Ok(EventQuery::default()),
        Some(hex) => {
            let text = decode_hex(hex)
                .ok_or_else(|| bad_request("the parameter 'filter' must be JSON in hex digits"))?;
            serde_json::from_slice(&text).map_err(|cause| {
                bad_request(&format!("the parameter 'filter' is not an event query: {cause}"))
            })
        }
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok()).collect()
}

/// The value of a parameter of a query string, without percent-decoding.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn serialize_response<T>(value: &T) -> Result<WebResponse, ApiError>
where
    T: Serialize,
{
    let text = serde_json::to_string(value);
    text.map(|text| json_response(200, text)).map_err(|cause| ApiError(500, cause.to_string()))
}

fn bad_request(text: &str) -> ApiError {
    ApiError(400, text.to_owned())
}

fn error_response(ApiError(status, message): &ApiError) -> WebResponse {
    let text = serde_json::json!({ "error": { "message": message } }).to_string();
    let mut response = json_response(*status, text);
    if *status == 503 {
        let seconds = HeaderValue::from_static(RETRY_AFTER_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
