use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Instant;

/// Server under load.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: &'static str,
    pub address: SocketAddr,
}

/// Request to send at a scheduled time.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Index of the target.
    pub target: usize,
    pub scheduled_at: Instant,
    pub key: String,
    pub session: Option<String>,
    pub stream: bool,
}

/// Times and result of one request.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    pub target: usize,
    pub scheduled_at: Instant,
    /// When the first part of the body arrived.
    pub first_frame: Option<Instant>,
    pub finished_at: Instant,
    /// Whether the response was successful and arrived whole.
    pub complete: bool,
}

/// Sends one request and reads the whole response.
pub async fn send(
    connections: &ConnectionPool,
    target: &Target,
    planned: PlannedRequest,
) -> RequestOutcome {
    let mut outcome = RequestOutcome {
        target: planned.target,
        scheduled_at: planned.scheduled_at,
        first_frame: None,
        finished_at: planned.scheduled_at,
        complete: false,
    };
    outcome.complete = exchange(connections, target, &planned, &mut outcome).await.is_some();
    outcome.finished_at = Instant::now();
    outcome
}

async fn exchange(
    connections: &ConnectionPool,
    target: &Target,
    planned: &PlannedRequest,
    outcome: &mut RequestOutcome,
) -> Option<()> {
    let body = json!({
        "model": "cheap", "stream": planned.stream,
        "messages": [{ "role": "user", "content": "measure" }],
    });
    let mut request = Request::post("/v1/chat/completions")
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", planned.key));
    if let Some(session) = &planned.session {
        request = request.header("x-session-id", session);
    }
    let request = request.body(Full::from(body.to_string())).ok()?;
    let mut connection = connections.acquire(target.address, false).await.ok()?;
    let response = connection.send(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut last_frame = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        outcome.first_frame.get_or_insert_with(Instant::now);
        last_frame = data.to_vec();
    }
    connection.return_to_pool();
    let finished = !planned.stream || last_frame.ends_with(b"data: [DONE]\n\n");
    finished.then_some(())
}
