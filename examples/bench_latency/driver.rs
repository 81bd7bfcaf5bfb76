//! An open loop: requests leave on a fixed schedule, whatever the answers do, and latency counts
//! from the scheduled time.

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

/// Organisations; the first two send most requests.
pub const ORGANISATIONS: usize = 10;
const LARGE: usize = 2;
const LARGE_SHARE: f64 = 0.8;
/// Distinct long prompts that requests begin with.
const PREFIXES: usize = 60;
const BLOCK: usize = 256;
const DEADLINE_MS: &str = "3000";
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// What came of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Times to the first event, in microseconds.
    pub first: Histogram<u64>,
    /// Times to the end, in microseconds.
    pub all: Histogram<u64>,
    pub whole: u64,
    pub refused: u64,
    pub broken: u64,
    pub tokens: u64,
    small_sent: u64,
    small_whole: u64,
}

impl Outcome {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let (first, all) = (histogram(), histogram());
        let (whole, refused, broken, tokens) = (0, 0, 0, 0);
        Self { first, all, whole, refused, broken, tokens, small_sent: 0, small_whole: 0 }
    }

    /// The share of small organisations' requests that got a whole answer.
    pub fn small_share(&self) -> f64 {
        self.small_whole as f64 / self.small_sent.max(1) as f64
    }

    fn add(&mut self, one: &One) {
        self.small_sent += u64::from(one.organisation >= LARGE);
        match one.end {
            End::Whole { first, all, tokens } => {
                self.whole += 1;
                self.tokens += tokens;
                self.small_whole += u64::from(one.organisation >= LARGE);
                self.first.record(first.as_micros() as u64).expect("it grows as needed");
                self.all.record(all.as_micros() as u64).expect("it grows as needed");
            }
            End::Refused => self.refused += 1,
            End::Broken => self.broken += 1,
        }
    }
}

struct One {
    organisation: usize,
    end: End,
}

enum End {
    Whole { first: Duration, all: Duration, tokens: u64 },
    Refused,
    Broken,
}

/// The API key, and name, of an organisation.
pub fn key(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

/// Sends to all daemons of a fleet in turn.
pub async fn drive(fleet: &Fleet, rate: f64, time: Duration, seed: u64) -> Outcome {
    let callers = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    drive_at(callers, rate, time, seed).await
}

/// Sends to addresses in turn.
pub async fn drive_at(callers: Vec<SocketAddr>, rate: f64, time: Duration, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let connections = Arc::new(ConnectionPool::new(Duration::from_secs(1)));
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    while due < time {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        due += Duration::from_secs_f64(gap);
        tokio::time::sleep_until((start + due).into()).await;
        let address = callers[tasks.len() % callers.len()];
        let organisation = match rng.random_bool(LARGE_SHARE) {
            true => rng.random_range(0..LARGE),
            false => rng.random_range(LARGE..ORGANISATIONS),
        };
        let body = body(&mut rng);
        let (connections, at) = (connections.clone(), start + due);
        tasks.push(tokio::spawn(async move {
            let sent = send(&connections, address, organisation, body, at);
            let end = tokio::time::timeout(ANSWER_LIMIT, sent).await.unwrap_or(End::Broken);
            One { organisation, end }
        }));
    }
    let mut outcome = Outcome::new();
    for task in tasks {
        outcome.add(&task.await.expect("a request ends"));
    }
    outcome
}

fn body(rng: &mut Pcg64Mcg) -> String {
    // Few prefixes carry most requests.
    let prefix = (rng.random::<f64>().powi(2) * PREFIXES as f64) as usize;
    let blocks = 4 + prefix % 13;
    let shared = format!("prefix-{prefix:04}").repeat(blocks * BLOCK / 11 + 1);
    let own: u64 = rng.random();
    let messages = json!([
        { "role": "system", "content": shared },
        { "role": "user", "content": format!("question {own}") },
    ]);
    json!({ "model": "cheap", "stream": true, "messages": messages }).to_string()
}

async fn send(
    connections: &ConnectionPool,
    address: SocketAddr,
    organisation: usize,
    body: String,
    at: Instant,
) -> End {
    let request = Request::post("/v1/chat/completions")
        .header(header::AUTHORIZATION, format!("Bearer {}", key(organisation)))
        .header("x-deadline-ms", DEADLINE_MS)
        .body(Full::from(body))
        .expect("a well-formed request");
    let Ok(mut lent) = connections.acquire(address, false).await else { return End::Broken };
    let Ok(response) = lent.send(request).await else { return End::Broken };
    let refused = !response.status().is_success();
    let mut body = response.into_body();
    let mut first = None;
    let (mut tokens, mut last) = (0, Vec::new());
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return End::Broken,
            Some(Ok(frame)) => {
                first.get_or_insert_with(|| at.elapsed());
                let data = frame.into_data().unwrap_or_default();
                tokens += data.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
                last = data.to_vec();
            }
        }
    }
    lent.return_to_pool();
    match (refused, last.ends_with(b"data: [DONE]\n\n"), first) {
        (true, _, _) => End::Refused,
        (false, true, Some(first)) => End::Whole { first, all: at.elapsed(), tokens },
        _ => End::Broken,
    }
}
