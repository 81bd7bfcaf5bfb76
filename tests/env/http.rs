//! One HTTP exchange on a connection of its own.

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What came back.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// 0 where there was no answer at all.
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The words of a streamed answer; `None` without its end mark.
    pub fn words(&self) -> Option<String> {
        let text = self.text();
        let body = text.strip_suffix("data: [DONE]\n\n").filter(|_| self.whole)?;
        let mut words = String::new();
        for event in body.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
            let chunk: Value = serde_json::from_str(event).ok()?;
            words.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        }
        Some(words)
    }
}

/// Sends a request and reads the answer; a body of `null` is sent as no body.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Reply {
    let exchange = exchange(address, method, path, headers, body);
    tokio::time::timeout(ANSWER_LIMIT, exchange).await.unwrap_or_default()
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Reply {
    let connections = ConnectionPool::new(CONNECT_LIMIT);
    let Ok(mut lent) = connections.acquire(address, true).await else { return Reply::default() };
    let bytes = if body.is_null() { String::new() } else { body.to_string() };
    let mut request = Request::builder().method(method).uri(path);
    request = request.header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(bytes)).expect("a well-formed request");
    let Ok(response) = lent.send(request).await else { return Reply::default() };
    let (head, mut body) = response.into_parts();
    let mut reply =
        Reply { status: head.status.as_u16(), headers: head.headers, ..Reply::default() };
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break,
            None => {
                reply.whole = true;
                break;
            }
        }
    }
    reply.body = bytes.into();
    reply
}
