//! `found`, `drain` and `status`.

use super::Client;
use crate::error::Error;
use bytes::Bytes;
use serde_json::Value;

/// Founds a cluster.
pub fn found(client: &Client) -> Result<(), Error> {
    let answer = client.post("/v1/found", Bytes::new())?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("founded cluster {}", text(&answer["cluster"])),
    }
    Ok(())
}

/// Stops a daemon gracefully.
pub fn drain(client: &Client) -> Result<(), Error> {
    let answer = client.post("/v1/drain", Bytes::new())?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("the daemon finishes its requests and stops"),
    }
    Ok(())
}

/// Shows all daemons.
pub fn status(client: &Client) -> Result<(), Error> {
    let fleet = client.get("/v1/status")?;
    if client.wants_json() {
        println!("{fleet}");
        return Ok(());
    }
    for daemon in list(&fleet["daemons"]) {
        print_daemon(daemon);
    }
    for missing in list(&fleet["missing"]) {
        println!("{}: not reached", text(missing));
    }
    Ok(())
}

fn print_daemon(daemon: &Value) {
    let disk = if daemon["durable"] == true { "disk" } else { "diskless" };
    let state = if daemon["draining"] == true { "stopping" } else { "serving" };
    println!(
        "{} ({}, {disk}): {state}, revision {}, lease {} ms, {} requests",
        text(&daemon["vm"]),
        text(&daemon["data_centre"]),
        daemon["revision"],
        daemon["lease"],
        daemon["requests"],
    );
    for group in list(&daemon["groups"]) {
        let role = if group["leading"] == true { "leads" } else { "follows" };
        println!(
            "  {}: {role}, term {}, leader {}, commit {}, voters {}",
            group_name(&group["group"]),
            group["term"],
            text(&group["leader"]),
            group["commit"],
            names(&group["voters"]),
        );
    }
}

fn group_name(group: &Value) -> String {
    match group["Ledger"].as_u64() {
        Some(number) => format!("ledger-{number}"),
        None => "control".to_owned(),
    }
}

fn names(value: &Value) -> String {
    let names: Vec<&str> = list(value).iter().map(text).collect();
    names.join(", ")
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("none")
}
