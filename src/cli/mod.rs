//! The command-line tool: options, the operator client, and a file for each command.

mod bills;
mod client;
mod events;
mod fleet;
mod options;
mod picture;
mod ticket;
mod versions;

pub use client::Client;
pub use options::Options;

use crate::control::KeyHash;
use crate::error::Error;
use crate::settings::Settings;
use options::Command;
use serde_json::Value;

/// Carries out one command.
///
/// # Errors
/// As [`Error`] says; its exit code tells scripts which kind.
pub fn run(options: &Options) -> Result<(), Error> {
    match &options.command {
        Command::Check(check) => {
            Settings::load(&check.settings)?;
            let file = check.settings.display().to_string();
            match options.json {
                true => println!("{}", serde_json::json!({ "file": file, "right": true })),
                false => println!("{file}: the settings are right"),
            }
            Ok(())
        }
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
        Command::Found(_) => fleet::found(&Client::open(options)?),
        Command::Drain(_) => fleet::drain(&Client::open(options)?),
        Command::Status(_) => fleet::status(&Client::open(options)?),
        Command::Ticket(command) => ticket::run(&Client::open(options)?, command),
        Command::Versions(_) => versions::run(&Client::open(options)?),
        Command::Rollouts(_) => versions::rollouts(&Client::open(options)?),
        Command::Bills(bills) => bills::run(&Client::open(options)?, bills),
        Command::Timeline(timeline) => events::timeline(&Client::open(options)?, timeline),
        Command::Explain(explain) => events::explain(&Client::open(options)?, explain),
    }
}
