//! The command `parts`.

use super::Client;
use super::options::PartsArgs;
use crate::error::Error;

/// Prints the parts of prompts and the requests that are blocked, or lets calls with one through again.
pub fn run(client: &Client, args: &PartsArgs) -> Result<(), Error> {
    match &args.clear {
        Some(part) => clear_part(client, part),
        None => show_parts(client),
    }
}

fn show_parts(client: &Client) -> Result<(), Error> {
    let parts = client.get("/v1/blocked-parts")?;
    if client.wants_json() {
        println!("{parts}");
        return Ok(());
    }
    let parts = parts.as_array().map_or(&[][..], |parts| parts);
    if parts.is_empty() {
        println!("no part of a prompt is blocked, and no request");
    }
    for part in parts {
        let text = |key: &str| part[key].as_str().unwrap_or("");
        match text("request") {
            "" => println!("{}: {}", text("part"), text("evidence")),
            request => println!("request {request}: {}", text("evidence")),
        }
    }
    Ok(())
}

fn clear_part(client: &Client, part: &str) -> Result<(), Error> {
    let answer = client.delete(&format!("/v1/blocked-parts/{part}"))?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("calls with {part} are let through again"),
    }
    Ok(())
}
