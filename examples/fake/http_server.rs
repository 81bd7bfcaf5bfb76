//! Minimal HTTP/1.1 server that the fakes share.

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

/// Response body; an error aborts the connection.
pub type Body = BoxBody<Bytes, io::Error>;
/// Request handler; without a response (`None`) the connection is closed.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Option<Response<Body>>> + Send + Sync>;

/// Serves on a port of 127.0.0.1 until an error occurs; port 0 selects a free one. Prints the
/// address.
pub async fn serve(port: u16, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    println!("listening {}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move {
                    response
                        .await
                        .ok_or_else(|| io::Error::other("connection closed instead of a response"))
                }
            });
            // The client may disconnect at any time.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Response body of known content.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Response with a JSON body; 200 if `status` is not a valid HTTP status code.
pub fn json_response(status: u16, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Reads the body of a request as JSON; `null` if it is not valid JSON or the client disconnects.
pub async fn read_json(request: Request<Incoming>) -> serde_json::Value {
    let body = request.into_body().collect().await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}
