//! Tells a balancer whether this router takes calls.

use super::Gateway;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a balancer's connection may last.
const LIMIT: Duration = Duration::from_secs(30);

/// Answers balancers for ever.
pub async fn serve_ready(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a balancer: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let status = status(&gateway, request.uri().path());
                async move {
                    let mut response = Response::new(Full::<Bytes>::default());
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = tokio::time::timeout(LIMIT, served).await {
                log::debug!("a balancer's connection ended: {error}");
            }
        });
    }
}

fn status(gateway: &Gateway, path: &str) -> StatusCode {
    match (gateway.format.is_ready_path(path), gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
