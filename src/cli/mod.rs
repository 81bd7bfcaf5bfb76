//! The command-line tool for operators: options, client of the operator API, and commands.

mod bills;
mod client;
mod cluster;
mod config;
mod config_options;
mod evacuations;
mod events;
mod health;
mod json_kind;
mod options;
mod parts;
mod ticket;
mod timeline_svg;
mod versions;

pub use client::Client;
pub use options::Options;

use crate::control::KeyHash;
use crate::error::Error;
use crate::settings::Settings;
use options::Command;
use serde_json::Value;

/// Runs one command and prints its result.
///
/// # Errors
/// Fails if the input is invalid, or the daemon cannot be reached or refuses the request. The exit
/// code of the [`Error`] tells scripts which.
pub fn run(options: &Options) -> Result<(), Error> {
    match &options.command {
        Command::Check(check) => {
            Settings::load(&check.settings)?;
            let file = check.settings.display().to_string();
            match options.json {
                true => println!("{}", serde_json::json!({ "file": file, "right": true })),
                false => println!("{file}: the settings are valid"),
            }
            Ok(())
        }
        Command::Config(args) => config::run(options, args),
        Command::HashKey(hash) => {
            let Ok(Value::String(text)) = serde_json::to_value(KeyHash::of(&hash.key)) else {
                return Err(Error::InvalidInput { message: "the key cannot be hashed".to_owned() });
            };
            match options.json {
                true => println!("{}", serde_json::json!({ "hash": text })),
                false => println!("{text}"),
            }
            Ok(())
        }
        Command::Found(_) => cluster::found_cluster(&Client::new(options)?),
        Command::Drain(_) => cluster::drain_daemon(&Client::new(options)?),
        Command::Status(_) => cluster::show_status(&Client::new(options)?),
        Command::Ticket(command) => ticket::run(&Client::new(options)?, command),
        Command::Versions(_) => versions::show_versions(&Client::new(options)?),
        Command::Rollouts(_) => versions::show_rollouts(&Client::new(options)?),
        Command::Bills(bills) => bills::show_bills(&Client::new(options)?, bills),
        Command::Parts(args) => parts::run(&Client::new(options)?, args),
        Command::Evacuations(args) => evacuations::run(&Client::new(options)?, args),
        Command::Timeline(timeline) => events::show_timeline(&Client::new(options)?, timeline),
        Command::Explain(explain) => events::explain(&Client::new(options)?, explain),
    }
}
