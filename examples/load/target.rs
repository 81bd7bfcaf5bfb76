use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Instant;

/// What requests are sent to.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: &'static str,
    pub address: SocketAddr,
}

/// One request of the load.
#[derive(Debug, Clone)]
pub struct Shot {
    pub target: usize,
    pub scheduled: Instant,
    pub key: String,
    pub session: Option<String>,
    pub stream: bool,
}

/// What became of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub target: usize,
    pub scheduled: Instant,
    pub first: Option<Instant>,
    pub end: Instant,
    pub whole: bool,
}

/// Sends one request and reads its answer.
pub async fn send(connections: &ConnectionPool, target: &Target, shot: Shot) -> Outcome {
    let mut outcome = Outcome {
        target: shot.target,
        scheduled: shot.scheduled,
        first: None,
        end: shot.scheduled,
        whole: false,
    };
    outcome.whole = exchange(connections, target, &shot, &mut outcome).await.is_some();
    outcome.end = Instant::now();
    outcome
}

async fn exchange(
    connections: &ConnectionPool,
    target: &Target,
    shot: &Shot,
    outcome: &mut Outcome,
) -> Option<()> {
    let body = json!({
        "model": "cheap", "stream": shot.stream,
        "messages": [{ "role": "user", "content": "measure" }],
    });
    let mut request = Request::post("/v1/chat/completions")
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", shot.key));
    if let Some(session) = &shot.session {
        request = request.header("x-session-id", session);
    }
    let request = request.body(Full::from(body.to_string())).ok()?;
    let mut lent = connections.acquire(target.address, false).await.ok()?;
    let response = lent.send(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        outcome.first.get_or_insert_with(Instant::now);
        tail = data.to_vec();
    }
    lent.return_to_pool();
    let ended = !shot.stream || tail.ends_with(b"data: [DONE]\n\n");
    ended.then_some(())
}
