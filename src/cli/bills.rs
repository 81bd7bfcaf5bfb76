//! `bills`.

use super::Client;
use super::options::Bills;
use crate::error::Error;

/// Shows bills.
pub fn run(client: &Client, options: &Bills) -> Result<(), Error> {
    let path = match &options.organisation {
        Some(name) => format!("/v1/bills/{name}"),
        None => "/v1/bills".to_owned(),
    };
    let bills = client.get(&path)?;
    if client.wants_json() {
        println!("{bills}");
        return Ok(());
    }
    for line in bills.as_array().into_iter().flatten() {
        match &options.organisation {
            Some(_) => println!(
                "{}: {}, {} + {} tokens, {} millionths",
                line["request"].as_str().unwrap_or(""),
                line["item"].as_str().unwrap_or(""),
                line["prompt"],
                line["answer"],
                line["cost"],
            ),
            None => println!(
                "{}: {} answers, {} + {} tokens, {} millionths",
                line[0].as_str().unwrap_or(""),
                line[1]["count"],
                line[1]["prompt"],
                line[1]["answer"],
                line[1]["cost"],
            ),
        }
    }
    Ok(())
}
