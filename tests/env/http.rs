//! An HTTP client that opens a new connection for each request.

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The response to a request, or its default value if there was none.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// HTTP status code; 0 if there was no response.
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    /// Whether the body was received up to its end.
    pub complete: bool,
}

impl Reply {
    /// The body as JSON; `null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The value of a header; empty if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The concatenated content of a streamed chat completion; `None` if the stream is incomplete
    /// or does not end with `[DONE]`.
    pub fn streamed_text(&self) -> Option<String> {
        let text = self.text();
        let body = text.strip_suffix("data: [DONE]\n\n").filter(|_| self.complete)?;
        let mut content = String::new();
        for event in body.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
            let chunk: Value = serde_json::from_str(event).ok()?;
            content.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        }
        Some(content)
    }
}

/// Sends a request and reads the response; a `null` body is sent as an empty one.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Reply {
    let exchange = exchange(address, method, path, headers, body);
    tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or_default()
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Reply {
    let connections = ConnectionPool::new(CONNECT_TIMEOUT);
    let Ok(mut connection) = connections.acquire(address, true).await else {
        return Reply::default();
    };
    let bytes = if body.is_null() { String::new() } else { body.to_string() };
    let mut request = Request::builder().method(method).uri(path);
    request = request.header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(bytes)).expect("a well-formed request");
    let Ok(response) = connection.send(request).await else { return Reply::default() };
    let (head, mut body) = response.into_parts();
    let mut reply =
        Reply { status: head.status.as_u16(), headers: head.headers, ..Reply::default() };
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break,
            None => {
                reply.complete = true;
                break;
            }
        }
    }
    reply.body = bytes.into();
    reply
}
