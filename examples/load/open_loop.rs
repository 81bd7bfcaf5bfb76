use crate::options::LoadOptions;
use crate::target::{PlannedRequest, RequestOutcome, Target, send};
use samphireshift::backend::ConnectionPool;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How much earlier to wake up than scheduled: sleep is only this precise, so a spin loop waits for
/// the rest.
const SLEEP_PRECISION: Duration = Duration::from_micros(200);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests to each target in turn, at fixed times that don't depend on earlier responses,
/// and returns all outcomes.
pub async fn run(options: &LoadOptions, targets: &[Target]) -> Vec<RequestOutcome> {
    let connections = Arc::new(ConnectionPool::new(CONNECT_TIMEOUT));
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let (options, targets) = (options.clone(), targets.to_vec());
    let scheduler = std::thread::spawn(move || {
        let start = Instant::now() + Duration::from_millis(100);
        for n in 0..options.rate * options.seconds {
            let planned = plan_request(&options, &targets, n, start);
            wait_until(planned.scheduled_at);
            let (connections, sender) = (connections.clone(), sender.clone());
            let target = targets[planned.target].clone();
            runtime.spawn(async move {
                // The receiver outlives all senders.
                let _ = sender.send(send(&connections, &target, planned).await);
            });
        }
    });
    let mut all = Vec::new();
    while let Some(outcome) = outcomes.recv().await {
        all.push(outcome);
    }
    scheduler.join().expect("the scheduler thread panicked");
    all
}

/// Request number `n`: its target, time, API key, session and whether it is streamed.
fn plan_request(
    options: &LoadOptions,
    targets: &[Target],
    n: u64,
    start: Instant,
) -> PlannedRequest {
    let round = n / targets.len() as u64;
    PlannedRequest {
        target: n as usize % targets.len(),
        scheduled_at: start + Duration::from_secs(1) * n as u32 / options.rate as u32,
        key: options.key[round as usize % options.key.len()].clone(),
        session: (options.sessions > 0).then(|| format!("session-{}", round % options.sessions)),
        stream: round % 100 < options.streamed,
    }
}

/// Sleeps, then spins, until the given time.
fn wait_until(time: Instant) {
    let remaining = time.saturating_duration_since(Instant::now());
    std::thread::sleep(remaining.saturating_sub(SLEEP_PRECISION));
    while Instant::now() < time {
        std::hint::spin_loop();
    }
}
