//! Startup and shutdown of a router-only daemon.

use super::hop_server::serve_routers;
use super::http_server::{CallerConnections, serve_connections};
use super::lease_loop::keep_lease;
use super::{Gateway, HeaderFormat};
use crate::error::Error;
use crate::event::{Event, Journal, run_log_loop};
use crate::listener::{self, bind_error};
use crate::peer::PeerIdentity;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::status_server::{install_metrics, metrics_response, serve_status};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Fraction of the shutdown time during which new calls are still accepted, so that the load
/// balancer can stop sending them.
const DRAIN_ACCEPT_FRACTION: f64 = 0.35;
/// Fraction of the shutdown time after which the process exits, even if calls are still running.
const DRAIN_END_FRACTION: f64 = 0.93;
/// Fraction of the shutdown time after which calls that have no response yet get a final one.
const DRAIN_ANSWER_FRACTION: f64 = 0.9;
/// How often a router that shuts down checks whether all connections are closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often the gauges of what is held are set.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
/// If the signal handlers or a listening port cannot be set up.
pub async fn run(settings: Settings, format: Arc<dyn HeaderFormat>) -> Result<(), Error> {
    // This comes first: a signal without a handler would end the process.
    let signals = Signals::register()?;
    let listener = bind(settings.caller_address)?;
    let routers = bind(settings.peer_address)?;
    let ready = match settings.readiness_address {
        Some(address) => Some(bind(address)?),
        None => None,
    };
    if let Some(address) = settings.metrics_address {
        let handle = install_metrics();
        let listener = bind(address)?;
        tokio::spawn(serve_status(listener, move |path| metrics_response(&handle, path)));
    }
    let journal = Arc::new(Journal::in_memory(settings.vm.clone()));
    let identity = PeerIdentity::new(&settings, None);
    let data_centre = settings.data_centre.clone();
    journal.record(Event::DaemonStarted { data_centre, durable: false });
    let gateway = Arc::new(Gateway::new(settings, format, journal));
    if gateway.settings.metrics_address.is_some() {
        tokio::spawn(report_held(gateway.clone()));
    }
    gateway.identity.get_or_init(|| identity.clone());
    tokio::spawn(keep_lease(gateway.clone(), identity));
    if let Some(ready) = ready {
        let gateway = gateway.clone();
        tokio::spawn(serve_status(ready, move |path| (readiness(&gateway, path), String::new())));
    }
    let (close, closing) = watch::channel(false);
    let connections = Arc::new(CallerConnections::default());
    let routers = serve_routers(gateway.clone(), routers, connections.clone(), closing.clone());
    tokio::spawn(routers);
    let callers =
        tokio::spawn(serve_connections(gateway.clone(), listener, connections.clone(), closing));
    tokio::spawn(run_log_loop(gateway.journal.clone()));
    signals.wait_for_stop().await;
    shut_down(&gateway, &connections, &close, callers).await;
    Ok(())
}

/// Sets the gauges of what is held, in an endless loop.
async fn report_held(gateway: Arc<Gateway>) {
    loop {
        for (of, budget) in [("answers", &gateway.buffers), ("bodies", &gateway.bodies)] {
            metrics::gauge!("samphireshift_held_bytes", "of" => of).set(budget.held() as f64);
        }
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}

fn readiness(gateway: &Gateway, path: &str) -> StatusCode {
    match (gateway.format.is_ready_path(path), gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = listener::bind(address)?;
    let wrap = |cause| bind_error(address, cause);
    listener.set_nonblocking(true).map_err(wrap)?;
    TcpListener::from_std(listener).map_err(wrap)
}

/// Reports not ready to the load balancer, accepts calls for a while longer, then waits until the
/// open connections have finished.
async fn shut_down(
    gateway: &Gateway,
    connections: &CallerConnections,
    close: &watch::Sender<bool>,
    callers: JoinHandle<()>,
) {
    let started = Instant::now();
    let limit = gateway.settings.fleet_limits.stop_timeout;
    gateway.journal.record(Event::DaemonStopping);
    gateway.draining.store(true, Ordering::Relaxed);
    tokio::time::sleep(limit.mul_f64(DRAIN_ACCEPT_FRACTION)).await;
    gateway.closed.store(true, Ordering::Relaxed);
    close.send_replace(true);
    if let Err(error) = callers.await {
        log::error!("connections that have just come may be reset: {error}");
    }
    while connections.count() > 0 && started.elapsed() < limit.mul_f64(DRAIN_END_FRACTION) {
        if started.elapsed() >= limit.mul_f64(DRAIN_ANSWER_FRACTION) {
            gateway.ending.send_replace(true);
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    gateway.journal.record(Event::DaemonStopped);
    gateway.journal.flush();
}
