//! Open-loop load: requests are sent at random times (a Poisson process) that don't depend on
//! earlier responses, and latency counts from the scheduled time.

use crate::env::Fleet;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::backend::ConnectionPool;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Organisations that send requests; the first [`LARGE_ORGANISATIONS`] send most of them.
pub const ORGANISATION_COUNT: usize = 10;
const LARGE_ORGANISATIONS: usize = 2;
/// Share of requests from large organisations.
const LARGE_SHARE: f64 = 0.8;
/// Distinct system prompts, which requests share as prefixes.
const PREFIX_COUNT: usize = 60;
/// Size of the blocks that the router's prefix table divides prompts into.
const BLOCK_BYTES: usize = 256;
const DEADLINE_MS: &str = "3000";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Results of one run.
#[derive(Debug)]
pub struct RunStats {
    /// Times to the first event of complete streams, in microseconds.
    pub first_event: Histogram<u64>,
    /// Times to the end of complete streams, in microseconds.
    pub total: Histogram<u64>,
    /// Requests with a complete answer.
    pub completed: u64,
    /// Requests answered with an error status.
    pub rejected: u64,
    /// Requests without a complete answer.
    pub failed: u64,
    /// Events of complete streams.
    pub tokens: u64,
    small_sent: u64,
    small_completed: u64,
}

impl RunStats {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
        let (first_event, total) = (histogram(), histogram());
        let (completed, rejected, failed, tokens) = (0, 0, 0, 0);
        Self {
            first_event,
            total,
            completed,
            rejected,
            failed,
            tokens,
            small_sent: 0,
            small_completed: 0,
        }
    }

    /// Share of the small organisations' requests that got a complete answer.
    pub fn small_completed_share(&self) -> f64 {
        self.small_completed as f64 / self.small_sent.max(1) as f64
    }

    fn add(&mut self, result: &RequestResult) {
        self.small_sent += u64::from(result.organisation >= LARGE_ORGANISATIONS);
        match result.end {
            RequestEnd::Complete { first_event, total, tokens } => {
                self.completed += 1;
                self.tokens += tokens;
                self.small_completed += u64::from(result.organisation >= LARGE_ORGANISATIONS);
                self.first_event
                    .record(first_event.as_micros() as u64)
                    .expect("an auto-resizing histogram records any value");
                self.total
                    .record(total.as_micros() as u64)
                    .expect("an auto-resizing histogram records any value");
            }
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::Failed => self.failed += 1,
        }
    }
}

struct RequestResult {
    organisation: usize,
    end: RequestEnd,
}

/// How a request ended.
enum RequestEnd {
    /// The whole stream arrived; durations count from the scheduled time.
    Complete { first_event: Duration, total: Duration, tokens: u64 },
    /// The response has an error status.
    Rejected,
    /// No response, an incomplete stream or a timeout.
    Failed,
}

/// Name of an organisation, which is also its API key.
pub fn organisation_key(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

/// Sends requests to all daemons of a fleet in turn, `rate` per second on average.
pub async fn run_load(fleet: &Fleet, rate: f64, duration: Duration, seed: u64) -> RunStats {
    let callers = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    run_load_at(callers, rate, duration, seed).await
}

/// Sends requests to the addresses in turn, `rate` per second on average.
pub async fn run_load_at(
    callers: Vec<SocketAddr>,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> RunStats {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let connections = Arc::new(ConnectionPool::new(Duration::from_secs(1)));
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut tasks = Vec::new();
    while offset < duration {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        offset += Duration::from_secs_f64(gap);
        tokio::time::sleep_until((start + offset).into()).await;
        let address = callers[tasks.len() % callers.len()];
        let organisation = match rng.random_bool(LARGE_SHARE) {
            true => rng.random_range(0..LARGE_ORGANISATIONS),
            false => rng.random_range(LARGE_ORGANISATIONS..ORGANISATION_COUNT),
        };
        let body = body(&mut rng);
        let (connections, scheduled_at) = (connections.clone(), start + offset);
        tasks.push(tokio::spawn(async move {
            let sent = send(&connections, address, organisation, body, scheduled_at);
            let end =
                tokio::time::timeout(RESPONSE_TIMEOUT, sent).await.unwrap_or(RequestEnd::Failed);
            RequestResult { organisation, end }
        }));
    }
    let mut stats = RunStats::new();
    for task in tasks {
        stats.add(&task.await.expect("the request task panicked"));
    }
    stats
}

fn body(rng: &mut Pcg64Mcg) -> String {
    // Skewed: a few prefixes occur in most requests.
    let prefix = (rng.random::<f64>().powi(2) * PREFIX_COUNT as f64) as usize;
    let blocks = 4 + prefix % 13;
    let shared = format!("prefix-{prefix:04}").repeat(blocks * BLOCK_BYTES / 11 + 1);
    let nonce: u64 = rng.random();
    let messages = json!([
        { "role": "system", "content": shared },
        { "role": "user", "content": format!("question {nonce}") },
    ]);
    json!({ "model": "cheap", "stream": true, "messages": messages }).to_string()
}

async fn send(
    connections: &ConnectionPool,
    address: SocketAddr,
    organisation: usize,
    body: String,
    scheduled_at: Instant,
) -> RequestEnd {
    let request = Request::post("/v1/chat/completions")
        .header(header::AUTHORIZATION, format!("Bearer {}", organisation_key(organisation)))
        .header("x-deadline-ms", DEADLINE_MS)
        .body(Full::from(body))
        .expect("failed to build the request");
    let Ok(mut connection) = connections.acquire(address, false).await else {
        return RequestEnd::Failed;
    };
    let Ok(response) = connection.send(request).await else { return RequestEnd::Failed };
    let rejected = !response.status().is_success();
    let mut body = response.into_body();
    let mut first_event = None;
    let (mut tokens, mut last_frame) = (0, Vec::new());
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return RequestEnd::Failed,
            Some(Ok(frame)) => {
                first_event.get_or_insert_with(|| scheduled_at.elapsed());
                let data = frame.into_data().unwrap_or_default();
                tokens += data.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
                last_frame = data.to_vec();
            }
        }
    }
    connection.return_to_pool();
    match (rejected, last_frame.ends_with(b"data: [DONE]\n\n"), first_event) {
        (true, _, _) => RequestEnd::Rejected,
        (false, true, Some(first_event)) => {
            RequestEnd::Complete { first_event, total: scheduled_at.elapsed(), tokens }
        }
        _ => RequestEnd::Failed,
    }
}
