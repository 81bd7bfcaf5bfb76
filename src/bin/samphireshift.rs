//! The command-line tool.

use samphireshift::cli::{self, Options};
use samphireshift::exit_codes::Exit;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match cli::run(&options) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("samphireshift: {error}");
            error.exit().into()
        }
    }
}
