//! The command-line tool.

use argh::{EarlyExit, FromArgs};
use samphireshift::cli::{self, Options};
use samphireshift::exit_codes::Exit;
use std::process::ExitCode;

const STANDARD_INPUT: &str = "/dev/stdin";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(|text| file_name(text)).collect();
    match Options::from_args(&["samphireshift"], &arguments) {
        Ok(options) => run(&options),
        Err(exit) => explain(&exit),
    }
}

/// `-` stands for the standard input; `argh` would take it for an option.
fn file_name(text: &str) -> &str {
    match text {
        "-" => STANDARD_INPUT,
        _ => text,
    }
}

fn run(options: &Options) -> ExitCode {
    match cli::run(options) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("samphireshift: {error}");
            error.exit().into()
        }
    }
}

/// Prints help that was asked for, or what is wrong with the command line.
fn explain(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            Exit::Success.into()
        }
        Err(()) => {
            eprintln!("{}\nsee samphireshift --help", exit.output);
            Exit::Usage.into()
        }
    }
}
