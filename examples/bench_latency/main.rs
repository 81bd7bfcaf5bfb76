//! Compares the load balancing policies with real daemons and fake engines.
//!
//! `bench_latency [SECONDS] [SCENARIO] [BALANCE]` prints a table row and a line of JSON for each
//! scenario and policy. All policies get the same arrival times and prompts.

mod driver;
#[path = "../../tests/env/mod.rs"]
mod env;
mod scenario;

use driver::RunStats;
use env::{Fleet, FleetSpec, ticket};
use samphireshift::control::KeyHash;
use scenario::{ENGINE_ARGUMENTS, ENGINE_COUNT, InjectedFault, SCENARIOS, Scenario};
use serde_json::json;
use std::time::Duration;

/// Values of the setting `balance` to compare.
const BALANCES: [&str; 3] = ["round_robin", "least_connections", "expected"];
const SEED: u64 = 11;
/// Duration of the load before the measurement, which is not counted.
const WARM_UP: Duration = Duration::from_secs(3);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seconds = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(8);
    let only_scenario = arguments.next();
    let only_balance = arguments.next();
    let runtime = tokio::runtime::Runtime::new().expect("failed to start the Tokio runtime");
    println!(
        "{:<10} {:<18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7}",
        "scenario",
        "balance",
        "whole",
        "refuse",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "whole p95",
        "tokens/s",
        "small"
    );
    for scenario in
        SCENARIOS.iter().filter(|s| only_scenario.as_ref().is_none_or(|name| s.name == name))
    {
        for balance in
            BALANCES.into_iter().filter(|b| only_balance.as_deref().is_none_or(|w| w == *b))
        {
            let stats = runtime.block_on(run(scenario, balance, Duration::from_secs(seconds)));
            print(scenario, balance, &stats, seconds);
        }
    }
}

async fn run(scenario: &Scenario, balance: &'static str, duration: Duration) -> RunStats {
    let engine: Vec<_> = ENGINE_ARGUMENTS.iter().copied().chain(scenario.extra_argument).collect();
    let mut plan = FleetSpec { cheap: vec![engine; ENGINE_COUNT], ..FleetSpec::default() };
    plan.settings = vec![("routing", "balance", balance), ("rating", "sample", "0")];
    let mut fleet = Fleet::start(&plan).await;
    fleet.apply(&first_ticket()).await;
    driver::run_load(&fleet, scenario.rate, WARM_UP, SEED).await;
    let callers: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let load = tokio::spawn(driver::run_load_at(callers, scenario.rate, duration, SEED + 1));
    tokio::time::sleep(duration / 4).await;
    match scenario.fault {
        InjectedFault::None => {}
        InjectedFault::SlowEngines => {
            for server in fleet.servers.iter().filter(|s| s.pool == "cheap").take(2) {
                fleet
                    .configure_fake(
                        server.address,
                        &json!({ "first_us": 400_000, "delay_us": 20_000 }),
                    )
                    .await;
            }
        }
        InjectedFault::KilledEngines => {
            fleet.servers.iter_mut().take(3).for_each(|server| server.process.kill())
        }
    }
    load.await.expect("the load task panicked")
}

fn first_ticket() -> serde_json::Value {
    let mut first = ticket::initial(1);
    let names = (0..driver::ORGANISATION_COUNT).map(driver::organisation_key);
    let organisation = |key: String| {
        let mut organisation = ticket::organisation(&key, &key);
        organisation["keys"] = json!([KeyHash::of(&key)]);
        organisation
    };
    first["organisations"] = names.map(organisation).collect();
    first
}

fn print(scenario: &Scenario, balance: &str, stats: &RunStats, seconds: u64) {
    let millis = |histogram: &hdrhistogram::Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    let (p50, p95) = (millis(&stats.first_event, 0.5), millis(&stats.first_event, 0.95));
    let (p99, total_p95) = (millis(&stats.first_event, 0.99), millis(&stats.total, 0.95));
    let tokens_per_second = stats.tokens / seconds.max(1);
    println!(
        "{:<10} {:<18} {:>6} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>9} {:>7.3}",
        scenario.name,
        balance,
        stats.completed,
        stats.rejected,
        p50,
        p95,
        p99,
        total_p95,
        tokens_per_second,
        stats.small_completed_share(),
    );
    println!(
        "{}",
        json!({
            "scenario": scenario.name, "balance": balance, "whole": stats.completed,
            "refused": stats.rejected, "broken": stats.failed, "first_p50_ms": p50,
            "first_p95_ms": p95, "first_p99_ms": p99, "whole_p95_ms": total_p95,
            "tokens_s": tokens_per_second, "small_share": stats.small_completed_share(),
        })
    );
}
