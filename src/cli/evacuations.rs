//! The command `evacuations`.

use super::Client;
use super::options::{EvacuationOrder, EvacuationsArgs};
use crate::error::Error;
use bytes::Bytes;

/// Prints the data centres that are evacuated, or begins or finishes an evacuation.
pub fn run(client: &Client, args: &EvacuationsArgs) -> Result<(), Error> {
    match &args.order {
        None => show(client),
        Some(EvacuationOrder::Begin(begin)) => {
            let text = "is evacuated: its servers get no new calls";
            order(client, &begin.data_centre, "begin", text)
        }
        Some(EvacuationOrder::Finish(finish)) => {
            order(client, &finish.data_centre, "finish", "is taken back: its servers get calls")
        }
    }
}

fn show(client: &Client) -> Result<(), Error> {
    let evacuated = client.get("/v1/evacuations")?;
    if client.wants_json() {
        println!("{evacuated}");
        return Ok(());
    }
    let names = evacuated.as_array().map_or(&[][..], |names| names);
    if names.is_empty() {
        println!("no data centre is evacuated");
    }
    names.iter().filter_map(|name| name.as_str()).for_each(|name| println!("{name}"));
    Ok(())
}

fn order(client: &Client, data_centre: &str, what: &str, done: &str) -> Result<(), Error> {
    let answer = client.post(&format!("/v1/evacuations/{data_centre}/{what}"), Bytes::new())?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("data centre {data_centre} {done}"),
    }
    Ok(())
}
