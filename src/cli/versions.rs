//! `versions`.

use super::Client;
use crate::error::Error;

/// Shows versions and roll-outs.
pub fn run(client: &Client) -> Result<(), Error> {
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
    for rollout in config["rollouts"].as_array().into_iter().flatten() {
        println!(
            "roll-out {}: {}, step {} of {}",
            rollout["name"].as_str().unwrap_or(""),
            rollout["status"].as_str().unwrap_or(""),
            rollout["step"],
            rollout["steps"],
        );
    }
    Ok(())
}
