//! Measures the decisions on the two workloads, with fixed seeds: cost at the quality target, and
//! answers from a version between its turning bad and its stop. Prints tables and one line of JSON.
//!
//! `cargo run --example bench_decisions`

mod cost;
mod exposure;
mod speed;
mod window;
mod workload;

use serde_json::json;

fn main() {
    let costs = cost::run();
    let exposures = exposure::run();
    let speeds = speed::run();
    println!("{}", json!({ "cost": costs, "exposure": exposures, "speed": speeds }));
}
