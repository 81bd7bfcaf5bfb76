//! Open-loop load generator: requests are sent at fixed times, and latency counts from these, so
//! that a slow response doesn't hide the waiting time of later requests (coordinated omission).

#[path = "../../tests/env/mod.rs"]
mod env;
mod latency_report;
mod open_loop;
mod options;
mod svg;
mod target;
mod usage;

use env::{Fleet, FleetSpec, ticket};
use latency_report::LatencyReport;
use options::LoadOptions;
use serde_json::json;
use std::time::Duration;
use target::Target;

/// Index of the measured daemon: the one without a data folder, which only routes.
const MEASURED_DAEMON: usize = 2;
/// Time without load, to measure the CPU use of the idle daemon.
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Wait between opening idle streams and measuring memory; also the connect timeout.
const SETTLE_TIME: Duration = Duration::from_secs(2);

fn main() {
    let options: LoadOptions = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("failed to start the Tokio runtime");
    runtime.block_on(async {
        match options.address {
            Some(address) => run_load(&options, &[Target { name: "target", address }]).await,
            None if options.idle.is_empty() => compare_with_direct(&options).await,
            None => measure_stream_memory(&options).await,
        }
    });
}

async fn run_load(options: &LoadOptions, targets: &[Target]) {
    let outcomes = open_loop::run(options, targets).await;
    let reports = LatencyReport::from_outcomes(targets, &outcomes);
    match options.json {
        true => {
            let all: Vec<_> = reports.iter().map(LatencyReport::json).collect();
            println!("{}", json!(all));
        }
        false => reports.iter().for_each(LatencyReport::print),
    }
    if let Some(path) = &options.svg {
        std::fs::write(path, svg::render(&reports)).expect("failed to write the SVG file");
    }
}

async fn start_fleet(tokens: u64, delay: u64) -> Fleet {
    let engine = [
        "--versions=cheap/v1".to_owned(),
        "--slots=100000".to_owned(),
        format!("--tokens={tokens}"),
        format!("--delay-us={delay}"),
    ];
    let engine: Vec<&'static str> = engine.into_iter().map(|text| &*text.leak()).collect();
    let settings = vec![("limits", "token_gap", "5m"), ("limits", "first_token", "5m")];
    let plan = FleetSpec { cheap: vec![engine], settings, ..FleetSpec::default() };
    let fleet = Fleet::start(&plan).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet
}

/// Sends requests alternately to the fake engine and to a daemon; prints latencies and the CPU time
/// of the daemon, less its idle use.
async fn compare_with_direct(options: &LoadOptions) {
    let fleet = start_fleet(options.tokens, options.delay).await;
    let daemon = fleet.daemons[MEASURED_DAEMON].process.id();
    let before = usage::cpu_seconds(daemon);
    tokio::time::sleep(IDLE_PERIOD).await;
    let idle = (usage::cpu_seconds(daemon) - before) / IDLE_PERIOD.as_secs_f64();
    let targets = [
        Target { name: "direct", address: fleet.server_address("cheap") },
        Target { name: "routed", address: fleet.daemons[MEASURED_DAEMON].callers },
    ];
    let before = usage::cpu_seconds(daemon);
    let started = std::time::Instant::now();
    run_load(options, &targets).await;
    let spent = usage::cpu_seconds(daemon) - before - idle * started.elapsed().as_secs_f64();
    let requests = (options.rate * options.seconds / 2) as f64;
    let micros = spent * 1e6 / requests;
    let summary = json!({
        "idle_core": idle, "processor_us_per_request": micros, "tokens": options.tokens,
        "processor_us_per_token": micros / options.tokens as f64,
    });
    println!("daemon: {summary}");
}

/// Prints the daemon's resident memory for several numbers of open, idle streams.
async fn measure_stream_memory(options: &LoadOptions) {
    const HOUR_US: u64 = 3_600_000_000;
    let fleet = start_fleet(2, HOUR_US).await;
    let daemon = &fleet.daemons[MEASURED_DAEMON];
    let connections = samphireshift::backend::ConnectionPool::new(SETTLE_TIME);
    let mut open = Vec::new();
    let baseline_kib = usage::resident_kib(daemon.process.id());
    println!("0 streams: {baseline_kib} KiB");
    for stream_count in &options.idle {
        while (open.len() as u64) < *stream_count {
            let body = json!({ "messages": [], "stream": true }).to_string();
            let request = http::Request::post("/v1/chat/completions")
                .header("authorization", format!("Bearer {}", options.key[0]))
                .body(http_body_util::Full::from(body))
                .expect("failed to build the request");
            let mut connection = connections
                .acquire(daemon.callers, true)
                .await
                .expect("failed to connect to the daemon");
            let response = connection.send(request).await.expect("the daemon sent no response");
            assert_eq!(response.status(), 200, "after {} streams", open.len());
            open.push((connection, response));
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let current_kib = usage::resident_kib(daemon.process.id());
        let per_stream_kib = current_kib.saturating_sub(baseline_kib) as f64 / *stream_count as f64;
        println!("{stream_count} streams: {current_kib} KiB, {per_stream_kib:.1} KiB each");
    }
}
