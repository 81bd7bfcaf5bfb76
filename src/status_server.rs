//! A small HTTP server for health checks by load balancers and for metrics scrapes.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections forever. `answer` returns the status and body for the path of a request.
pub async fn serve_status<F>(listener: TcpListener, answer: F)
where
    F: Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, answer.clone()));
            }
            Err(error) => {
                log::warn!("failed to accept a connection to the status server: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, answer: Arc<F>)
where
    F: Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let (status, text) = answer(request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = tokio::time::timeout(CONNECTION_TIMEOUT, served).await {
        log::debug!("connection to the status server failed: {error}");
    }
}

/// Installs the global metrics recorder of this process and returns its handle, which renders the
/// metrics for scrapes.
pub fn install_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("a metrics recorder is already installed; the metrics endpoint will stay empty");
    }
    handle
}

/// Returns all metrics in the Prometheus text format for `/metrics`, and 404 for any other path.
pub fn metrics_response(handle: &PrometheusHandle, path: &str) -> (StatusCode, String) {
    match path {
        "/metrics" => (StatusCode::OK, handle.render()),
        _ => (StatusCode::NOT_FOUND, "metrics are at /metrics\n".to_owned()),
    }
}
