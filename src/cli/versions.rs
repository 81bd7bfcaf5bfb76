//! The commands `versions` and `rollouts`.

use super::Client;
use crate::error::Error;
use serde_json::Value;

/// Prints the configured versions and roll-outs. Prices are for 1,000 prompt tokens and 1,000
/// answer tokens, in millionths of the billing currency.
pub fn show_versions(client: &Client) -> Result<(), Error> {
    let config = client.get("/v1/config")?;
    if client.wants_json() {
        println!("{config}");
        return Ok(());
    }
    println!("revision {}", config["revision"]);
    for version in config["versions"].as_array().into_iter().flatten() {
        println!(
            "{}/{}: {}, pool {}, quality {}, price {}/{}",
            version["model"].as_str().unwrap_or(""),
            version["version"].as_str().unwrap_or(""),
            version["state"].as_str().unwrap_or(""),
            version["pool"].as_str().unwrap_or(""),
            version["quality"],
            version["price"]["prompt"],
            version["price"]["answer"],
        );
    }
    print_rollouts(&config);
    Ok(())
}

/// Prints the configured roll-outs.
pub fn show_rollouts(client: &Client) -> Result<(), Error> {
    let config = client.get("/v1/config")?;
    match client.wants_json() {
        true => println!("{}", config["rollouts"]),
        false => print_rollouts(&config),
    }
    Ok(())
}

fn print_rollouts(config: &Value) {
    for rollout in config["rollouts"].as_array().into_iter().flatten() {
        println!(
            "roll-out {} from {} to {}: {}, step {} of {}",
            rollout["name"].as_str().unwrap_or(""),
            rollout["from"].as_str().unwrap_or(""),
            rollout["to"].as_str().unwrap_or(""),
            rollout["status"].as_str().unwrap_or(""),
            rollout["step"],
            rollout["steps"],
        );
    }
}
