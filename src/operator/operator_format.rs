//! Operator API of a voter, with paths and JSON documents that an [`OperatorFormat`] defines.

use super::order_body::{OrderBodyError, read_order};
use crate::backend::ByteBudget;
use crate::connection_end::{close_listener, serve_until};
use crate::daemon::{NoAnswer, Node, Patience};
use crate::inbound::{InboundBody, InboundStream, Progress};
use crate::name::PoolName;
use crate::peer::{OperatorRequest, OperatorResponse};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The read buffer of a connection, and so the largest head of a request.
const BUFFER_BYTES: usize = 64 << 10;
/// Bytes of requests that are held at the same time.
const MAX_HELD_BYTES: usize = 32 << 20;
/// When to send a request again for which there was no room.
const NO_ROOM_RETRY_SECONDS: &str = "1";
const BYTES_PER_MIB: usize = 1 << 20;
/// From the head of a request to the response. Callers ask another daemon after a second without one; the rest
/// is for the way there and back, and for processes that wait for a processor. The leader needs 700 ms at most to
/// say whether a change is accepted.
const ANSWER_LIMIT: Duration = Duration::from_millis(750);
/// Added to it for each full MiB of the body, for which callers wait longer.
const BODY_ALLOWANCE: Duration = Duration::from_millis(100);
/// The leader is asked for at least this long, however long the body took: a change that it gets is acknowledged when
/// it is sent again.
const MIN_ASK_TIME: Duration = Duration::from_millis(100);
/// How long an operator may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an operator's request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// What is wrong with the request, for the operator.
    pub message: String,
}

/// Defines the HTTP requests of operators and the responses to them.
pub trait OperatorFormat: Send + Sync {
    /// Parses an HTTP request into a request to the leader. `path` includes the query string.
    ///
    /// # Errors
    /// Fails if the path is unknown, the body cannot be parsed, or its content is invalid.
    fn parse_request(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<OperatorRequest, OperatorError>;

    /// Status and JSON document for the leader's response. [`OperatorResponse::OutcomeUnknown`]
    /// also stands for a leader that cannot be reached or does not respond in time.
    fn write_response(&self, response: &OperatorResponse) -> (StatusCode, Bytes);

    /// The path and query at which the caller of an order confirms it, as one that follows the object's order
    /// number `after`. `path` includes the query string.
    fn confirm_path(&self, path: &str, after: u64) -> String;

    /// The pools whose servers take only so many requests a second while they are warming up, from
    /// the document that a route table was read from. Empty if the document cannot be read.
    fn warm_up_rates(&self, document: &[u8]) -> BTreeMap<PoolName, f64>;

    /// JSON document for a refused request.
    fn write_error(&self, error: &OperatorError) -> Bytes;
}

/// Serves the operator API on a listener until `stopping` holds; then answers what it has taken and returns. Also
/// returns if the listener cannot be used.
pub async fn serve_with_format(
    node: Arc<Node>,
    format: Arc<dyn OperatorFormat>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let non_blocking = listener.set_nonblocking(true);
    let listener = match non_blocking.and_then(|()| tokio::net::TcpListener::from_std(listener)) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("cannot serve the operator API: {error}");
            return;
        }
    };
    let (mut connections, held) = (JoinSet::new(), ByteBudget::new(MAX_HELD_BYTES));
    let address = node.settings.operator_address;
    let server = Server { node, format, held, address };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(server.clone(), stream, stopping.clone()));
                }
                Err(error) => {
                    log::warn!("cannot accept an operator connection: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop(&mut stopping) => break,
        }
    }
    for stream in close_listener(listener) {
        connections.spawn(serve_connection(server.clone(), stream, stopping.clone()));
    }
    while connections.join_next().await.is_some() {}
}

/// Waits until `stopping` holds.
async fn stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the daemon has ended, which is the same.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

/// What each connection needs.
#[derive(Clone)]
struct Server {
    node: Arc<Node>,
    format: Arc<dyn OperatorFormat>,
    /// The budget that the bytes held of requests count towards.
    held: Arc<ByteBudget>,
    /// Where callers reach the API.
    address: SocketAddr,
}

async fn serve_connection(server: Server, stream: TcpStream, mut stopping: watch::Receiver<bool>) {
    // The configured address may be that of all interfaces.
    let address = stream.local_addr().unwrap_or(server.address);
    let server = Server { address, ..server };
    let (stopped, progress) = (stopping.clone(), Progress::default());
    let service = service_fn(|request: Request<Incoming>| {
        let (server, stopped, progress) = (server.clone(), stopped.clone(), progress.clone());
        let request = request.map(|body| InboundBody::new(body, progress));
        async move { Ok::<_, Infallible>(handle_request(&server, request, stopped).await) }
    });
    let stream = InboundStream::new(stream, BUFFER_BYTES, progress.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES).timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let served = serve_until(connection, stop(&mut stopping)).await;
    if let Err(error) = served {
        log::debug!("operator connection failed: {error}");
    }
}

async fn handle_request(
    server: &Server,
    request: Request<InboundBody>,
    mut stopping: watch::Receiver<bool>,
) -> Response<Full<Bytes>> {
    let (node, format) = (&server.node, server.format.as_ref());
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut limit = ANSWER_LIMIT;
    let mut share = server.held.share();
    let parsed = match read_order(body, &mut share).await {
        Ok(body) => {
            limit += BODY_ALLOWANCE * (body.len() / BYTES_PER_MIB) as u32;
            format.parse_request(&parts.method, path, &body)
        }
        Err(error) => return unread(format, &parts, &error),
    };
    drop(share);
    let request = match parsed {
        Ok(request) => request,
        Err(error) => {
            log::info!("operator request refused: {}: {}", error.status, error.message);
            return json_response(error.status, format.write_error(&error));
        }
    };
    let deadline = (started + limit).max(Instant::now() + MIN_ASK_TIME);
    let answered = tokio::select! {
        biased;
        answered = node.ask_leader_for(request, Patience::Until(deadline)) => answered,
        () = stop(&mut stopping) => Err(NoAnswer::Stopping),
    };
    match answered {
        Ok(OperatorResponse::TooFewVoters) => {
            unanswered(format, &parts, started, &NoAnswer::TooFewVoters)
        }
        Ok(response) => {
            let (status, body) = format.write_response(&response);
            let mut written = json_response(status, body);
            if let OperatorResponse::NeedsConfirmation { after } = response {
                let path = format.confirm_path(path, after);
                redirect(&mut written, server.address, &path);
            }
            written
        }
        Err(reason) => unanswered(format, &parts, started, &reason),
    }
}

/// Sends the caller of an order back here to confirm it. Only a caller that still waits for an answer follows;
/// a late copy has none.
fn redirect(response: &mut Response<Full<Bytes>>, address: SocketAddr, path: &str) {
    *response.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    match HeaderValue::from_str(&format!("http://{address}{path}")) {
        Ok(location) => {
            response.headers_mut().insert(header::LOCATION, location);
        }
        Err(error) => log::error!("an order cannot be confirmed at {path}: {error}"),
    }
}

/// The response to a request that no leader has answered, with the time after which it is worth repeating.
fn unanswered(
    format: &dyn OperatorFormat,
    request: &Parts,
    started: Instant,
    reason: &NoAnswer,
) -> Response<Full<Bytes>> {
    let (method, path, took) = (&request.method, request.uri.path(), started.elapsed());
    log::info!("{method} {path} not answered after {} ms: {reason}", took.as_millis());
    let code = reason.code();
    metrics::counter!("samphireshift_control_unanswered_total", "reason" => code).increment(1);
    let (status, body) = format.write_response(&OperatorResponse::OutcomeUnknown);
    let mut response = json_response(status, body);
    let seconds = reason.retry_after().as_secs_f64().to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The response to a request whose body was not read to its end. The connection ends with it.
fn unread(
    format: &dyn OperatorFormat,
    request: &Parts,
    error: &OrderBodyError,
) -> Response<Full<Bytes>> {
    let (method, path, status) = (&request.method, request.uri.path(), error.status());
    log::info!("{method} {path} refused: {status}: {error}");
    metrics::counter!("samphireshift_control_unread_total", "status" => status.as_str().to_owned())
        .increment(1);
    let body = format.write_error(&OperatorError { status, message: error.to_string() });
    let mut response = json_response(status, body);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let wait = HeaderValue::from_static(NO_ROOM_RETRY_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, wait);
    }
    response
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
