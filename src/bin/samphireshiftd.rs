//! The daemon that routes, votes and serves operators in one process.

use argh::FromArgs;
use samphireshift::daemon;
use samphireshift::error::Error;
use samphireshift::exit_codes::Exit;
use samphireshift::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes requests to model versions and plain services, together with its peers.
#[derive(Debug, FromArgs)]
struct Options {
    /// path of the INI file with this daemon's settings
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match start(&options) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("samphireshiftd: {error}");
            error.exit_code().into()
        }
    }
}

fn start(options: &Options) -> Result<(), Error> {
    let settings = Settings::load(&options.settings)?;
    start_logs();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build();
    let wrap = |cause| Error::Bind { address: "runtime".to_owned(), cause };
    runtime.map_err(wrap)?.block_on(daemon::run(settings))
}

fn start_logs() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            let layout = logforth::layout::JsonLayout::default();
            d.filter(log_level()).append(logforth::append::Stderr::default().with_layout(layout))
        })
        .apply();
}

fn log_level() -> logforth::filter::env_filter::EnvFilter {
    logforth::filter::env_filter::EnvFilterBuilder::from_default_env_or("info").build()
}
