//! A minimal HTTP/1.1 server for the fakes.

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;

/// A response body.
pub type Body = BoxBody<Bytes, io::Error>;
/// What answers requests; no response means that the connection is cut.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Option<Response<Body>>> + Send + Sync>;

/// Serves for ever on a port of loopback; port 0 takes a free one.
pub async fn serve(port: u16, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    println!("listening {}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let answer = service_fn(move |request| {
                let answer = handler(request);
                async move { answer.await.ok_or_else(|| io::Error::other("cut")) }
            });
            // The other end may go away at any time.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
        });
    }
}

/// A body that is there at once.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// A JSON response.
pub fn json(status: u16, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let media = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, media);
    response
}

/// Reads a whole JSON request; `null` where it is none.
pub async fn read_json(request: Request<Incoming>) -> serde_json::Value {
    let body = request.into_body().collect().await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}
