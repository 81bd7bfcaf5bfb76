//! Operators of a fleet of routers and voters, in a format of their own.

use crate::daemon::Node;
use crate::peer::{OperatorRequest, OperatorResponse};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The largest order, in bytes.
const ORDER_BYTES: usize = 16 << 20;
/// How long an order may wait for a leader.
const ORDER_LIMIT: Duration = Duration::from_millis(3_500);
/// How long an operator may take to send an order's head.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// Why an order is not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderFault {
    /// The status of the answer.
    pub status: StatusCode,
    /// What is wrong.
    pub text: String,
}

/// How operators write orders and read answers.
pub trait OperatorFormat: Send + Sync {
    /// Reads an order.
    ///
    /// # Errors
    /// Where it cannot be read or may not come into force.
    fn read(&self, method: &Method, path: &str, body: &[u8])
    -> Result<OperatorRequest, OrderFault>;

    /// Writes an answer: status and JSON document.
    fn write(&self, reply: &OperatorResponse) -> (StatusCode, Bytes);

    /// Writes a fault as a JSON document.
    fn write_fault(&self, fault: &OrderFault) -> Bytes;
}

/// Serves operators on a listener for ever.
pub async fn serve_orders(node: Arc<Node>, format: Arc<dyn OperatorFormat>, listener: TcpListener) {
    let opened = listener.set_nonblocking(true).and_then(|()| listener.try_clone());
    let listener = match opened.and_then(tokio::net::TcpListener::from_std) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("operators cannot be served: {error}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_operator(node.clone(), format.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept an operator: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_operator(node: Arc<Node>, format: Arc<dyn OperatorFormat>, stream: TcpStream) {
    let service = service_fn(|request| {
        let (node, format) = (node.clone(), format.clone());
        async move { Ok::<_, Infallible>(answer(&node, format.as_ref(), request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("an operator's connection ended: {error}");
    }
}

async fn answer(
    node: &Node,
    format: &dyn OperatorFormat,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let read = match Limited::new(body, ORDER_BYTES).collect().await {
        Ok(body) => format.read(&parts.method, path, &body.to_bytes()),
        Err(error) => Err(unreadable(&error.to_string())),
    };
    let call = match read {
        Ok(call) => call,
        Err(fault) => {
            log::info!("an order is refused: {} {}", fault.status, fault.text);
            return document(fault.status, format.write_fault(&fault));
        }
    };
    let asked = tokio::time::timeout(ORDER_LIMIT, node.ask_leader(call)).await;
    let reply = asked.ok().and_then(Result::ok).unwrap_or(OperatorResponse::OutcomeUnknown);
    let (status, body) = format.write(&reply);
    document(status, body)
}

fn unreadable(cause: &str) -> OrderFault {
    OrderFault { status: StatusCode::BAD_REQUEST, text: format!("cannot be read: {cause}") }
}

fn document(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let media = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}
