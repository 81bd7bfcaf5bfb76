//! Small stand-ins for what the daemons meet: `engine`, `service`, `rating` and `vms`.
//!
//! Each prints `listening ADDRESS` once it serves. Arguments are `--name=value`.

mod engine;
mod http_server;
mod options;
mod rating;
mod service;
mod vms;

use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = Options::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    let done = runtime.block_on(async {
        match options.kind.as_str() {
            "engine" => engine::run(options).await,
            "service" => service::run(options).await,
            "rating" => rating::run(options).await,
            "vms" => vms::run(options).await,
            other => Err(std::io::Error::other(format!("unknown fake '{other}'"))),
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake: {error}");
            ExitCode::FAILURE
        }
    }
}
