//! Fakes of the servers that daemons depend on: `engine` (model engine), `service` (plain service),
//! `rating` (rating service) and `vms` (VM list).
//!
//! Each prints `listening ADDRESS` once it accepts connections. Arguments are the kind of fake and
//! `--name=value` options, among them `--port` (default: a free one).

mod engine;
mod http_server;
mod options;
mod rating;
mod service;
mod vms;

use options::FakeOptions;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = FakeOptions::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    let result = runtime.block_on(async {
        match options.kind.as_str() {
            "engine" => engine::run(options).await,
            "service" => service::run(options).await,
            "rating" => rating::run(options).await,
            "vms" => vms::run(options).await,
            other => Err(std::io::Error::other(format!(
                "unknown fake '{other}'; expected engine, service, rating or vms"
            ))),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake: {error}");
            ExitCode::FAILURE
        }
    }
}
