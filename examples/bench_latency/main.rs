//! Compares the ways to pick a server, on real daemons and fake engines, side by side in one run.
//!
//! `bench_latency [SECONDS] [SCENARIO] [BALANCE]` prints a table and a line of JSON for each cell. Every way
//! gets the same arrivals and prompts.

mod driver;
#[path = "../../tests/env/mod.rs"]
mod env;
mod scenario;

use driver::Outcome;
use env::{Fleet, FleetSpec, ticket};
use samphireshift::control::KeyHash;
use scenario::{ENGINE, ENGINES, Fault, SCENARIOS, Scenario};
use serde_json::json;
use std::time::Duration;

const BALANCES: [&str; 3] = ["round_robin", "least_connections", "expected"];
const SEED: u64 = 11;
const WARM_UP: Duration = Duration::from_secs(3);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seconds = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(8);
    let only = arguments.next();
    let wanted = arguments.next();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
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
    for scenario in SCENARIOS.iter().filter(|s| only.as_ref().is_none_or(|name| s.name == name)) {
        for balance in BALANCES.into_iter().filter(|b| wanted.as_deref().is_none_or(|w| w == *b)) {
            let outcome = runtime.block_on(run(scenario, balance, Duration::from_secs(seconds)));
            print(scenario, balance, &outcome, seconds);
        }
    }
}

async fn run(scenario: &Scenario, balance: &'static str, time: Duration) -> Outcome {
    let engine: Vec<_> = ENGINE.iter().copied().chain(scenario.extra).collect();
    let mut plan = FleetSpec { cheap: vec![engine; ENGINES], ..FleetSpec::default() };
    plan.settings = vec![("routing", "balance", balance), ("rating", "sample", "0")];
    let mut fleet = Fleet::start(&plan).await;
    fleet.apply(&first_ticket()).await;
    driver::drive(&fleet, scenario.rate, WARM_UP, SEED).await;
    let callers: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let load = tokio::spawn(driver::drive_at(callers, scenario.rate, time, SEED + 1));
    tokio::time::sleep(time / 4).await;
    match scenario.fault {
        Fault::None => {}
        Fault::Slow => {
            for server in fleet.servers.iter().filter(|s| s.pool == "cheap").take(2) {
                fleet
                    .configure_fake(
                        server.address,
                        &json!({ "first_us": 400_000, "delay_us": 20_000 }),
                    )
                    .await;
            }
        }
        Fault::Loss => fleet.servers.iter_mut().take(3).for_each(|server| server.process.kill()),
    }
    load.await.expect("the load ends")
}

fn first_ticket() -> serde_json::Value {
    let mut first = ticket::initial(1);
    let names = (0..driver::ORGANISATIONS).map(driver::key);
    let organisation = |key: String| {
        let mut organisation = ticket::organisation(&key, &key);
        organisation["keys"] = json!([KeyHash::of(&key)]);
        organisation
    };
    first["organisations"] = names.map(organisation).collect();
    first
}

fn print(scenario: &Scenario, balance: &str, outcome: &Outcome, seconds: u64) {
    let millis = |histogram: &hdrhistogram::Histogram<u64>, share: f64| {
        histogram.value_at_quantile(share) as f64 / 1_000.0
    };
    let (p50, p95) = (millis(&outcome.first, 0.5), millis(&outcome.first, 0.95));
    let (p99, whole) = (millis(&outcome.first, 0.99), millis(&outcome.all, 0.95));
    let rate = outcome.tokens / seconds.max(1);
    println!(
        "{:<10} {:<18} {:>6} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>9} {:>7.3}",
        scenario.name,
        balance,
        outcome.whole,
        outcome.refused,
        p50,
        p95,
        p99,
        whole,
        rate,
        outcome.small_share(),
    );
    println!(
        "{}",
        json!({
            "scenario": scenario.name, "balance": balance, "whole": outcome.whole,
            "refused": outcome.refused, "broken": outcome.broken, "first_p50_ms": p50,
            "first_p95_ms": p95, "first_p99_ms": p99, "whole_p95_ms": whole, "tokens_s": rate,
            "small_share": outcome.small_share(),
        })
    );
}
