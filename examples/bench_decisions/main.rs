//! Measures routing decisions on simulated workloads with fixed seeds: cost at the quality target,
//! answers of a bad version before it is stopped, and time per decision. Prints tables and one line
//! of JSON.
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
