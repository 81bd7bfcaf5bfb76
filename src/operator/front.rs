use super::{Subject, collect, explain};
use crate::caller::json_response;
use crate::control::Ticket;
use crate::daemon::Node;
use crate::error::Error;
use crate::event::EventQuery;
use crate::name::{OrganisationName, RequestId, VersionKey};
use crate::peer::{NodeStatus, OperatorRequest, OperatorResponse};
use bytes::BytesMut;
use http::{HeaderMap, Method};
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

/// The largest ticket, in bytes.
const TICKET_BYTES: usize = 4 << 20;
/// How long an operator may take to send a ticket.
const TICKET_LIMIT: Duration = Duration::from_secs(10);
/// How long another daemon may take to say how it is.
const STATUS_LIMIT: Duration = Duration::from_secs(1);
/// How long a wait for `in force` may be asked to last.
const WAIT_LIMIT: u64 = 30_000;
/// Tickets listed at most.
const TICKETS: usize = 200;

/// Serves operators on a listener.
///
/// # Errors
/// Where the listener cannot be used.
pub fn serve(node: Arc<Node>, listener: TcpListener) -> Result<ServerFuture, Error> {
    let address = node.settings.operator_address.to_string();
    let server = App::new()
        .with_state(node)
        .at("/{*}", fn_service(handle))
        .serve()
        .disable_signal()
        .worker_threads(1)
        .listen(listener)
        .map_err(|cause| Error::Bind { address, cause })?;
    Ok(server.run())
}

/// All daemons as one of them sees them.
#[derive(Debug, Serialize)]
struct Fleet {
    daemons: Vec<NodeStatus>,
    missing: Vec<String>,
}

/// What was wrong with an operator's request.
struct Problem(u16, String);

async fn handle(
    mut ctx: WebContext<'_, Arc<Node>>,
) -> Result<WebResponse, xitca_web::error::Error> {
    let node = ctx.state().clone();
    let request = ctx.take_request();
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or("").to_owned();
    if !authorised(&node, &parts.headers) {
        let text = "the operator token is missing or wrong";
        return Ok(problem(&Problem(401, text.to_owned())));
    }
    if path == "/metrics" {
        return Ok(WebResponse::new(ResponseBody::bytes(node.metrics.render())));
    }
    let served = serve_one(&node, &parts.method, &path, &query, body).await;
    Ok(served.unwrap_or_else(|error| problem(&error)))
}

fn authorised(node: &Node, headers: &HeaderMap) -> bool {
    let given = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = given.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or("");
    token.as_bytes().ct_eq(node.settings.operator_token.as_bytes()).into()
}

async fn serve_one(
    node: &Arc<Node>,
    method: &Method,
    path: &str,
    query: &str,
    body: RequestBody,
) -> Result<WebResponse, Problem> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "found"]) => {
            let cluster = node.bootstrap().map_err(|error| Problem(409, error.to_string()))?;
            document(&serde_json::json!({ "cluster": cluster }))
        }
        ("POST", ["v1", "drain"]) => {
            node.stop.notify_one();
            document(&serde_json::json!({ "draining": true }))
        }
        ("POST", ["v1", "tickets"]) => {
            let ticket = read_ticket(body).await?;
            let dry_run = query.contains("dry_run=true");
            leader(node, OperatorRequest::ApplyTicket { ticket, dry_run }).await
        }
        ("GET", ["v1", "tickets"]) => {
            leader(node, OperatorRequest::Tickets { limit: TICKETS }).await
        }
        ("GET", ["v1", "tickets", number]) => {
            let number = number.parse().map_err(|_| bad("a ticket's number is a whole number"))?;
            leader(node, OperatorRequest::ShowTicket(number)).await
        }
        ("GET", ["v1", "in-force", revision]) => {
            let revision = revision.parse().map_err(|_| bad("a revision is a whole number"))?;
            let wait = parameter(query, "wait").and_then(|text| text.parse().ok()).unwrap_or(0);
            leader(node, OperatorRequest::AwaitInForce { revision, wait_ms: WAIT_LIMIT.min(wait) })
                .await
        }
        ("GET", ["v1", "status"]) => document(&fleet(node).await),
        ("GET", ["v1", "config"]) => leader(node, OperatorRequest::Config).await,
        ("GET", ["v1", "evidence"]) => leader(node, OperatorRequest::Evidence).await,
        ("GET", ["v1", "bills"]) => leader(node, OperatorRequest::BillSums).await,
        ("GET", ["v1", "bills", name]) => {
            leader(node, OperatorRequest::Bills(OrganisationName::new(*name))).await
        }
        ("GET", ["v1", "timeline"]) => document(&collect(node, &event_query(query)?).await),
        ("GET", ["v1", "explain", id]) => {
            let request = RequestId::parse(id).ok_or_else(|| bad("a request has 32 hex digits"))?;
            document(&explain(node, &Subject::Request(request)).await)
        }
        ("GET", ["v1", "explain", "ticket", number]) => {
            let number = number.parse().map_err(|_| bad("a ticket's number is a whole number"))?;
            document(&explain(node, &Subject::Ticket(number)).await)
        }
        ("GET", ["v1", "explain", "version", model, version]) => {
            let key = VersionKey::parse(&format!("{model}/{version}"));
            let key = key.ok_or_else(|| bad("a version is model/version"))?;
            document(&explain(node, &Subject::Version(key)).await)
        }
        _ => Err(Problem(404, format!("there is no {method} {path}"))),
    }
}

async fn leader(node: &Node, call: OperatorRequest) -> Result<WebResponse, Problem> {
    let text = "no leader answers; too few voters are up, or they cannot reach one another";
    let reply = node.ask_leader(call).await.map_err(|_| Problem(503, text.to_owned()))?;
    match reply {
        OperatorResponse::Ticket(answer) => document(&answer),
        OperatorResponse::InForce { reached, lagging } => {
            document(&serde_json::json!({ "in_force": reached, "lagging": lagging }))
        }
        OperatorResponse::Tickets(tickets) => document(&tickets),
        OperatorResponse::ShowTicket(Some(record)) => document(&record),
        OperatorResponse::ShowTicket(None) => {
            Err(Problem(404, "no ticket with this number was accepted".to_owned()))
        }
        OperatorResponse::Config(config) => {
            let versions: Vec<_> = config.versions.values().collect();
            let rollouts: Vec<_> = config.rollouts.values().collect();
            let revision = config.revision;
            document(&serde_json::json!({
                "revision": revision, "versions": versions, "rollouts": rollouts,
                "services": config.services.values().collect::<Vec<_>>(),
                "organisations": config.organisations.keys().collect::<Vec<_>>(),
            }))
        }
        OperatorResponse::Evidence(view) => document(&view),
        OperatorResponse::BillSums(sums) => document(&sums),
        OperatorResponse::Bills(bills) => document(&bills),
        OperatorResponse::LiveRouters(live) => document(&live),
        OperatorResponse::RouteTable(table) => document(&table),
        OperatorResponse::PoolRollout(rollout) => document(&rollout),
        OperatorResponse::Committed => document(&serde_json::json!({ "committed": true })),
        OperatorResponse::UnknownPool => Err(Problem(404, "there is no such pool".to_owned())),
        OperatorResponse::NotLeader { .. }
        | OperatorResponse::OutcomeUnknown
        | OperatorResponse::TooFewVoters => Err(Problem(503, text.to_owned())),
    }
}

async fn fleet(node: &Node) -> Fleet {
    let mut fleet = Fleet { daemons: vec![node.status()], missing: Vec::new() };
    let links = node.cluster.peers().all();
    let asks = links.iter().map(|link| async move {
        let mut context = context::current();
        context.deadline = Instant::now() + STATUS_LIMIT;
        link.client()?.status(context).await.ok()
    });
    for (link, answer) in links.iter().zip(futures::future::join_all(asks).await) {
        match answer {
            Some(status) => fleet.daemons.push(status),
            None => fleet.missing.push(link.address().to_string()),
        }
    }
    fleet.daemons.sort_by(|a, b| a.vm.cmp(&b.vm));
    fleet
}

async fn read_ticket(body: RequestBody) -> Result<Ticket, Problem> {
    let slow = || Problem(408, format!("the ticket did not arrive within {TICKET_LIMIT:?}"));
    let read = tokio::time::timeout(TICKET_LIMIT, read_ticket_body(body));
    read.await.unwrap_or_else(|_| Err(slow()))
}

async fn read_ticket_body(body: RequestBody) -> Result<Ticket, Problem> {
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(piece) = body.as_mut().data().await {
        let piece = piece.map_err(|cause| bad(&format!("the body broke off: {cause}")))?;
        bytes.extend_from_slice(&piece);
        if bytes.len() > TICKET_BYTES {
            return Err(Problem(413, format!("a ticket has at most {TICKET_BYTES} bytes")));
        }
    }
    serde_json::from_slice(&bytes).map_err(|cause| bad(&format!("not a ticket: {cause}")))
}

fn event_query(query: &str) -> Result<EventQuery, Problem> {
    match parameter(query, "filter") {
        None => Ok(EventQuery::default()),
        Some(hex) => {
            let text = decode_hex(hex).ok_or_else(|| bad("'filter' is not hex"))?;
            serde_json::from_slice(&text).map_err(|cause| bad(&format!("'filter': {cause}")))
        }
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok()).collect()
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn document<T>(value: &T) -> Result<WebResponse, Problem>
where
    T: Serialize,
{
    let text = serde_json::to_string(value);
    text.map(|text| json_response(200, text)).map_err(|cause| Problem(500, cause.to_string()))
}

fn bad(text: &str) -> Problem {
    Problem(400, text.to_owned())
}

fn problem(Problem(status, message): &Problem) -> WebResponse {
    json_response(*status, serde_json::json!({ "error": { "message": message } }).to_string())
}
