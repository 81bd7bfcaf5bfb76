//! The port for callers, and its graceful stop.

use super::Gateway;
use super::Refused;
use super::call::serve;
use super::reply::{ReplyBody, refuse};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The pause after a connection that could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least that a connection's buffer holds, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// What a head may be larger than its limit, in bytes, for the request line.
const LINE_BYTES: usize = 4 << 10;

/// The callers' connections.
#[derive(Debug, Default)]
pub struct Callers {
    open: AtomicUsize,
}

impl Callers {
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Accepts callers until `closing` is set; connections end after their answers then.
pub async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    callers: Arc<Callers>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let mut ended = closing.clone();
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut ended) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (gateway, callers) = (gateway.clone(), callers.clone());
                tokio::spawn(serve_caller(gateway, stream, callers, closing.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a caller: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    callers: Arc<Callers>,
    mut closing: watch::Receiver<bool>,
) {
    callers.open.fetch_add(1, Ordering::Relaxed);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection cannot be set up: {error}");
    }
    let limits = gateway.compiled().map(|compiled| *compiled.limits()).unwrap_or_default();
    let service = service_fn(|request| answer(gateway.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts an idle connection's time as that of the next head.
        .header_read_timeout(limits.idle.max(limits.receive))
        .max_buf_size((limits.head + LINE_BYTES).max(LEAST_BUFFER));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
    callers.open.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until the port is to be closed, or nobody is left who could say so.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // An error says that the sender is gone, which ends the daemon as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Counts an answer's beginning by its outcome.
fn note(served: &Result<Response<ReplyBody>, Refused>, begun: Instant) {
    match served {
        Ok(response) => {
            let status = response.status().as_u16().to_string();
            metrics::counter!("samphireshift_calls_total", "status" => status).increment(1);
            let seconds = begun.elapsed().as_secs_f64();
            metrics::histogram!("samphireshift_first_byte_seconds").record(seconds);
        }
        Err(refused) => {
            let reason = refused.reason();
            metrics::counter!("samphireshift_calls_refused_total", "reason" => reason).increment(1);
        }
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let id = gateway.format.name(request.headers()).to_owned();
    let begun = Instant::now();
    let served = serve(&gateway, request).await;
    note(&served, begun);
    let mut response = served.unwrap_or_else(|refused| {
        let revision = gateway.lease.revision().unwrap_or(0);
        let left = gateway.lease.left().as_millis();
        let reason = refused.reason();
        log::info!(
            "call {id}: refused as {reason}: {refused} (revision {revision}, lease left {left} ms)"
        );
        refuse(&refused, gateway.format.as_ref())
    });
    if gateway.stopping.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
