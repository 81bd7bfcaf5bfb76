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
        println!("{}: not reached; what it does is unknown", text(missing));
    }
    faults(&fleet).iter().for_each(|fault| println!("attention: {fault}"));
    Ok(())
}

/// What an operator should look at.
fn faults(fleet: &Value) -> Vec<String> {
    let daemons = list(&fleet["daemons"]);
    let newest = daemons.iter().filter_map(|daemon| daemon["revision"].as_u64()).max().unwrap_or(0);
    let mut out = Vec::new();
    for daemon in daemons {
        let name = text(&daemon["vm"]);
        if daemon["lease"] == 0 {
            out.push(format!("{name} has no lease and refuses requests"));
        } else if daemon["revision"].as_u64() < Some(newest) {
            out.push(format!("{name} works under {}, others under {newest}", daemon["revision"]));
        }
    }
    let leads =
        |daemon: &&Value| list(&daemon["groups"]).iter().any(|group| group["leading"] == true);
    if !daemons.iter().any(|daemon| leads(&daemon)) {
        out.push("no group has a leader among the daemons reached".to_owned());
    }
    out
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
            "  {}: {role}, term {}, leader {}, commit {}, voters {}, learners {}",
            group_name(&group["group"]),
            group["term"],
            text(&group["leader"]),
            group["commit"],
            names(&group["voters"]),
            names(&group["learners"]),
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
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("none")
}
