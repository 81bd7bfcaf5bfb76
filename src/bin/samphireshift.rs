//! The command-line tool for operators.

use argh::{EarlyExit, FromArgs};
use samphireshift::cli::{self, Options};
use samphireshift::exit_codes::Exit;
use std::process::ExitCode;

const STDIN_PATH: &str = "/dev/stdin";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(|text| replace_dash(text)).collect();
    match Options::from_args(&["samphireshift"], &arguments) {
        Ok(options) => run(&options),
        Err(exit) => report_exit(&exit),
    }
}

/// Replaces the argument `-` (standard input) by its path, because `argh` parses `-` as an option.
fn replace_dash(text: &str) -> &str {
    match text {
        "-" => STDIN_PATH,
        _ => text,
    }
}

fn run(options: &Options) -> ExitCode {
    match cli::run(options) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("samphireshift: {error}");
            error.exit_code().into()
        }
    }
}

/// Prints the requested help, or the error in the command line.
fn report_exit(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            Exit::Success.into()
        }
        Err(()) => {
            eprintln!("{}\nrun `samphireshift --help` for usage", exit.output);
            Exit::Usage.into()
        }
    }
}
