//! An open-loop load: requests leave at fixed times, and latency counts from these, so that a slow
//! answer cannot hide the wait of those behind it (coordinated omission).

#[path = "../../tests/env/mod.rs"]
mod env;
mod options;
mod pace;
mod report;
mod svg;
mod target;
mod usage;

use env::{Fleet, FleetSpec, ticket};
use options::Options;
use report::Report;
use serde_json::json;
use std::time::Duration;
use target::Target;

/// The daemon that is measured: the one without a data folder, which only routes.
const MEASURED: usize = 2;
/// How long the processes are left alone to learn their idle use.
const IDLE: Duration = Duration::from_secs(5);
/// How long idle streams are given to settle.
const SETTLE: Duration = Duration::from_secs(2);

fn main() {
    let options: Options = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        match options.address {
            Some(address) => load(&options, &[Target { name: "target", address }]).await,
            None if options.idle.is_empty() => compare(&options).await,
            None => memory(&options).await,
        }
    });
}

async fn load(options: &Options, targets: &[Target]) {
    let outcomes = pace::run(options, targets).await;
    let reports = Report::gather(targets, &outcomes);
    match options.json {
        true => {
            let all: Vec<_> = reports.iter().map(Report::json).collect();
            println!("{}", json!(all));
        }
        false => reports.iter().for_each(Report::print),
    }
    if let Some(path) = &options.svg {
        std::fs::write(path, svg::draw(&reports)).expect("the picture can be written");
    }
}

async fn fleet(tokens: u64, delay: u64) -> Fleet {
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

/// Measures requests to the fake engine directly and through a daemon, in turn.
async fn compare(options: &Options) {
    let fleet = fleet(options.tokens, options.delay).await;
    let daemon = fleet.daemons[MEASURED].process.id();
    let before = usage::processor_seconds(daemon);
    tokio::time::sleep(IDLE).await;
    let idle = (usage::processor_seconds(daemon) - before) / IDLE.as_secs_f64();
    let targets = [
        Target { name: "direct", address: fleet.server_address("cheap") },
        Target { name: "routed", address: fleet.daemons[MEASURED].callers },
    ];
    let before = usage::processor_seconds(daemon);
    let started = std::time::Instant::now();
    load(options, &targets).await;
    let spent = usage::processor_seconds(daemon) - before - idle * started.elapsed().as_secs_f64();
    let requests = (options.rate * options.seconds / 2) as f64;
    let micros = spent * 1e6 / requests;
    let shown = json!({
        "idle_core": idle, "processor_us_per_request": micros, "tokens": options.tokens,
        "processor_us_per_token": micros / options.tokens as f64,
    });
    println!("daemon: {shown}");
}

/// Tells the daemon's memory while idle streams are open.
async fn memory(options: &Options) {
    const HOUR: u64 = 3_600_000_000;
    let fleet = fleet(2, HOUR).await;
    let daemon = &fleet.daemons[MEASURED];
    let connections = samphireshift::backend::ConnectionPool::new(SETTLE);
    let mut open = Vec::new();
    let empty = usage::resident_kib(daemon.process.id());
    println!("0 streams: {empty} KiB");
    for wanted in &options.idle {
        while (open.len() as u64) < *wanted {
            let body = json!({ "messages": [], "stream": true }).to_string();
            let request = http::Request::post("/v1/chat/completions")
                .header("authorization", format!("Bearer {}", options.key[0]))
                .body(http_body_util::Full::from(body))
                .expect("a request");
            let mut lent = connections.acquire(daemon.callers, true).await.expect("a connection");
            let response = lent.send(request).await.expect("an answer");
            assert_eq!(response.status(), 200, "after {} streams", open.len());
            open.push((lent, response));
        }
        tokio::time::sleep(SETTLE).await;
        let now = usage::resident_kib(daemon.process.id());
        let each = now.saturating_sub(empty) as f64 / *wanted as f64;
        println!("{wanted} streams: {now} KiB, {each:.1} KiB each");
    }
}
