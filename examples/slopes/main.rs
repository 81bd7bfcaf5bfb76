//! Measures how CPU time, memory and traffic grow with size on this machine; the capacity figures
//! in docs/CAPACITY.md are derived from the results.
//!
//! `cargo run --example slopes -- MODE SIZE...` with one of the modes `daemons`, `replicas`,
//! `tickets`, `requests`, `tokens`, `state`, `events`, `distribution`.

mod distribution;
#[path = "../../tests/env/mod.rs"]
mod env;
mod events;
mod fleet;
mod linear_fit;
mod resource_usage;
mod state;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((mode, sizes)) = arguments.split_first() else { return usage() };
    let Ok(sizes) = sizes.iter().map(|text| text.parse()).collect::<Result<Vec<usize>, _>>() else {
        return usage();
    };
    let (first, largest) = (sizes.first().copied().unwrap_or(1), sizes.iter().copied().max());
    println!("{mode}, {} build", if cfg!(debug_assertions) { "dev" } else { "release" });
    match mode.as_str() {
        "daemons" => fleet::daemons(&sizes).await,
        "replicas" => fleet::replicas(&sizes).await,
        "tickets" => fleet::tickets(&sizes).await,
        "requests" => fleet::requests(&sizes).await,
        "tokens" => fleet::tokens(&sizes).await,
        "state" => state::run(largest.unwrap_or(first)),
        "distribution" => distribution::run(&sizes),
        "events" => events::run(largest.unwrap_or(first)),
        _ => return usage(),
    }
    ExitCode::SUCCESS
}

fn usage() -> ExitCode {
    eprintln!(
        "usage: slopes daemons|replicas|tickets|requests|tokens|state|events|distribution SIZE..."
    );
    ExitCode::from(2)
}
