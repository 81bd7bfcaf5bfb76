//! The command `bills`.

use super::Client;
use super::options::BillsArgs;
use crate::error::Error;

/// Prints the totals of all organisations, or the bills of one. Costs are in millionths of the
/// billing currency.
pub fn show_bills(client: &Client, args: &BillsArgs) -> Result<(), Error> {
    let path = match &args.organisation {
        Some(name) => format!("/v1/bills/{name}"),
        None => "/v1/bills".to_owned(),
    };
    let bills = client.get(&path)?;
    if client.wants_json() {
        println!("{bills}");
        return Ok(());
    }
    for entry in bills.as_array().into_iter().flatten() {
        match &args.organisation {
            Some(_) => println!(
                "{}: {}, {} + {} tokens, {} millionths",
                entry["request"].as_str().unwrap_or(""),
                entry["item"].as_str().unwrap_or(""),
                entry["prompt"],
                entry["answer"],
                entry["cost"],
            ),
            None => println!(
                "{}: {} answers, {} + {} tokens, {} millionths",
                entry[0].as_str().unwrap_or(""),
                entry[1]["count"],
                entry[1]["prompt"],
                entry[1]["answer"],
                entry[1]["cost"],
            ),
        }
    }
    Ok(())
}
