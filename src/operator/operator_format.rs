//! Operator API of a voter, with paths and JSON documents that an [`OperatorFormat`] defines.

use crate::daemon::{NoAnswer, Node, Patience};
use crate::name::PoolName;
use crate::peer::{OperatorRequest, OperatorResponse};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum size of the body of a request.
const MAX_BODY_BYTES: usize = 16 << 20;
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
/// How long the head of a request may take that is on its way when the daemon stops.
const LAST_HEAD_WAIT: Duration = Duration::from_millis(100);
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
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            // Connections that the kernel has taken come first: to drop them would be silence.
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (node, format) = (node.clone(), format.clone());
                    connections.spawn(serve_connection(node, format, stream, stopping.clone()));
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
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until `stopping` holds.
async fn stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the daemon has ended, which is the same.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn serve_connection(
    node: Arc<Node>,
    format: Arc<dyn OperatorFormat>,
    stream: TcpStream,
    mut stopping: watch::Receiver<bool>,
) {
    let stopped = stopping.clone();
    let service = service_fn(|request| {
        let (node, format, stopped) = (node.clone(), format.clone(), stopped.clone());
        async move {
            Ok::<_, Infallible>(handle_request(&node, format.as_ref(), request, stopped).await)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = stop(&mut stopping) => {
            // A graceful shutdown would close a connection whose first head is still on its way.
            match tokio::time::timeout(LAST_HEAD_WAIT, connection.as_mut()).await {
                Ok(served) => served,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = served {
        log::debug!("operator connection failed: {error}");
    }
}

async fn handle_request(
    node: &Node,
    format: &dyn OperatorFormat,
    request: Request<Incoming>,
    mut stopping: watch::Receiver<bool>,
) -> Response<Full<Bytes>> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut limit = ANSWER_LIMIT;
    let parsed = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            limit += BODY_ALLOWANCE * (body.len() / BYTES_PER_MIB) as u32;
            format.parse_request(&parts.method, path, &body)
        }
        Err(error) => Err(unreadable_body(&error.to_string())),
    };
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
            json_response(status, body)
        }
        Err(reason) => unanswered(format, &parts, started, &reason),
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

fn unreadable_body(cause: &str) -> OperatorError {
    OperatorError {
        status: StatusCode::BAD_REQUEST,
        message: format!("cannot read the request body: {cause}"),
    }
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
