use crate::options::Options;
use crate::target::{Outcome, Shot, Target, send};
use samphireshift::backend::ConnectionPool;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The sleep of the system is this coarse; the rest is waited out.
const COARSE: Duration = Duration::from_micros(200);
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// Sends requests at their scheduled times, whether or not earlier ones were answered, to each
/// target in turn, and returns all outcomes.
pub async fn run(options: &Options, targets: &[Target]) -> Vec<Outcome> {
    let connections = Arc::new(ConnectionPool::new(CONNECT_LIMIT));
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Handle::current();
    let (options, targets) = (options.clone(), targets.to_vec());
    let pacer = std::thread::spawn(move || {
        let start = Instant::now() + Duration::from_millis(100);
        for n in 0..options.rate * options.seconds {
            let shot = shot(&options, &targets, n, start);
            wait_until(shot.scheduled);
            let (connections, sender) = (connections.clone(), sender.clone());
            let target = targets[shot.target].clone();
            runtime.spawn(async move {
                // The receiver stays until all outcomes are in.
                let _ = sender.send(send(&connections, &target, shot).await);
            });
        }
    });
    let mut all = Vec::new();
    while let Some(outcome) = outcomes.recv().await {
        all.push(outcome);
    }
    pacer.join().expect("the pacer ends");
    all
}

fn shot(options: &Options, targets: &[Target], n: u64, start: Instant) -> Shot {
    let turn = n / targets.len() as u64;
    Shot {
        target: n as usize % targets.len(),
        scheduled: start + Duration::from_secs(1) * n as u32 / options.rate as u32,
        key: options.key[turn as usize % options.key.len()].clone(),
        session: (options.sessions > 0).then(|| format!("session-{}", turn % options.sessions)),
        stream: turn % 100 < options.streamed,
    }
}

fn wait_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    std::thread::sleep(left.saturating_sub(COARSE));
    while Instant::now() < time {
        std::hint::spin_loop();
    }
}
