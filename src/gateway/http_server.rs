//! The HTTP server for callers, with graceful shutdown.

use super::Gateway;
use super::GatewayError;
use super::call::{Served, serve};
use super::hop::{Hop, REFUSED};
use super::hop_account::HopAccount;
use super::response::{ResponseBody, error_response};
use crate::backend::ByteShare;
use crate::connection_end::{close_listener, serve_until};
use crate::held_answers::{CallerReader, HeldBody, ReaderBounds};
use crate::inbound::{InboundBody, InboundStream, Progress};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest read buffer of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Extra buffer space for the request line, on top of the head size limit, in bytes.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another router, which passes calls on.
    Router,
}

/// Counts the open connections of callers and of other routers.
#[derive(Debug, Default)]
pub struct CallerConnections {
    count: AtomicUsize,
}

impl CallerConnections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// One of the open connections, which counts until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<CallerConnections>);

impl OpenConnection {
    /// Counts one more connection.
    pub fn new(connections: &Arc<CallerConnections>) -> Self {
        connections.count.fetch_add(1, Ordering::Relaxed);
        Self(connections.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until `closing` is set; open ones then finish their current response. Returns once all
/// that the kernel has taken are counted.
pub async fn serve_connections(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    connections: Arc<CallerConnections>,
    closing: watch::Receiver<bool>,
) {
    let serve = |stream| {
        let (gateway, open) = (gateway.clone(), OpenConnection::new(&connections));
        tokio::spawn(serve_connection(gateway, stream, open, closing.clone(), Origin::Caller));
    };
    loop {
        let mut close_signal = closing.clone();
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_close(&mut close_signal) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_listener(listener).into_iter().for_each(serve);
}

/// Serves a connection until it ends, or until its current response once `closing` is set.
pub async fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    open: OpenConnection,
    mut closing: watch::Receiver<bool>,
    origin: Origin,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller's connection: {error}");
    }
    let limits = gateway.route_index().map(|index| *index.limits()).unwrap_or_default();
    let progress = Progress::default();
    let buffer_bytes = (limits.head_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES);
    if let Some(send_buffer) = gateway.settings.socket_buffer
        && let Err(error) = SockRef::from(&stream).set_send_buffer_size(send_buffer)
    {
        log::debug!("cannot set the send buffer of a caller's connection: {error}");
    }
    let bounds = ReaderBounds { ahead: gateway.settings.ahead, write_buffer: buffer_bytes };
    let reader = CallerReader::new(&gateway.buffers, bounds);
    let service = service_fn(|request: Request<Incoming>| {
        let request = request.map(|body| InboundBody::new(body, progress.clone()));
        let handled = handle_request(gateway.clone(), request, origin, reader.clone());
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let stream = InboundStream::new(stream, buffer_bytes, progress.clone());
    let stream = stream.read_by(reader.clone());
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper counts the idle time before a request towards the time to read its head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(buffer_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let serving = serve_until(connection, wait_for_close(&mut closing));
    if let Some(Err(error)) = reader.serve(serving).await {
        log::debug!("a caller's connection failed: {error}");
    }
    drop(open);
}

/// Waits until `closing` is set or its sender is gone.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, which ends the daemon as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Records the outcome of a call in the metrics.
fn record_outcome(served: &Result<Response<ResponseBody>, GatewayError>, started: Instant) {
    match served {
        Ok(response) => {
            let status = response.status().as_u16().to_string();
            metrics::counter!("samphireshift_calls_total", "status" => status).increment(1);
            let seconds = started.elapsed().as_secs_f64();
            metrics::histogram!("samphireshift_first_byte_seconds").record(seconds);
        }
        Err(error) => {
            let code = error.code();
            metrics::counter!("samphireshift_calls_refused_total", "reason" => code).increment(1);
        }
    }
}

async fn handle_request(
    gateway: Arc<Gateway>,
    request: Request<InboundBody>,
    origin: Origin,
    reader: Arc<CallerReader>,
) -> Response<HeldBody> {
    let id = gateway.format.log_id(request.headers()).to_owned();
    let started = Instant::now();
    let hop = Hop::from_headers(request.headers()).filter(|_| origin == Origin::Router);
    let is_account_due = hop.as_ref().is_some_and(|hop| hop.allowance.is_some());
    let Served { result, account } = match (origin, hop) {
        (Origin::Router, None) => {
            let missing = "the headers of a call passed on are missing or malformed".to_owned();
            Served { result: Err(GatewayError::Malformed(missing)), account: HopAccount::default() }
        }
        (_, hop) => serve(&gateway, request, hop).await,
    };
    record_outcome(&result, started);
    let mut response = result.unwrap_or_else(|error| {
        let revision = gateway.lease.revision().unwrap_or(0);
        let left_ms = gateway.lease.remaining().as_millis();
        let code = error.code();
        log::info!(
            "call {id}: refused as {code}: {error} (revision {revision}, lease left {left_ms} ms)"
        );
        let mut refusal = error_response(&error, gateway.format.as_ref());
        if origin == Origin::Router {
            refusal.headers_mut().insert(REFUSED, HeaderValue::from_static(code));
        }
        refusal
    });
    if is_account_due {
        account.write(response.headers_mut());
    }
    if gateway.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    // What was read of the answer counts as held for the caller from here on.
    let share = response.extensions_mut().remove::<Arc<ByteShare>>().and_then(Arc::into_inner);
    response.map(|body| reader.hold(&id, body, share))
}
