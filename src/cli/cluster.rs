//! The commands `found`, `drain` and `status`.

use super::Client;
use super::health::{describe_alarm, describe_health};
use crate::error::Error;
use crate::peer::HealthView;
use bytes::Bytes;
use serde_json::Value;

/// Founds a new cluster on the daemon at the operator address.
pub fn found_cluster(client: &Client) -> Result<(), Error> {
    let answer = client.post("/v1/found", Bytes::new())?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("founded cluster {}", text_or_none(&answer["cluster"])),
    }
    Ok(())
}

/// Tells the daemon at the operator address to complete its requests and stop.
pub fn drain_daemon(client: &Client) -> Result<(), Error> {
    let answer = client.post("/v1/drain", Bytes::new())?;
    match client.wants_json() {
        true => println!("{answer}"),
        false => println!("the daemon completes its requests and stops"),
    }
    Ok(())
}

/// Prints the status of all daemons, and warnings.
pub fn show_status(client: &Client) -> Result<(), Error> {
    let cluster = client.get("/v1/status")?;
    if client.wants_json() {
        println!("{cluster}");
        return Ok(());
    }
    for daemon in array_items(&cluster["daemons"]) {
        print_daemon(daemon);
    }
    for missing in array_items(&cluster["missing"]) {
        println!("{}: not reached; what it does is unknown", text_or_none(missing));
    }
    let health = group_health(&cluster);
    health.iter().for_each(|health| println!("{}", describe_health(health)));
    let alarms = health.iter().filter_map(describe_alarm);
    warnings(&cluster).into_iter().chain(alarms).for_each(|line| println!("attention: {line}"));
    Ok(())
}

/// The health of the groups; empty if the daemon is of a build that does not tell it.
fn group_health(cluster: &Value) -> Vec<HealthView> {
    serde_json::from_value(cluster["health"].clone()).unwrap_or_default()
}

/// Problems in the cluster that an operator should check.
fn warnings(cluster: &Value) -> Vec<String> {
    let daemons = array_items(&cluster["daemons"]);
    let newest = daemons.iter().filter_map(|daemon| daemon["revision"].as_u64()).max().unwrap_or(0);
    let mut warnings = Vec::new();
    for daemon in daemons {
        let name = text_or_none(&daemon["vm"]);
        if daemon["lease"] == 0 {
            warnings.push(format!("{name} has no lease and refuses requests"));
        } else if daemon["revision"].as_u64() < Some(newest) {
            warnings.push(format!(
                "{name} runs revision {}, others run revision {newest}",
                daemon["revision"]
            ));
        }
    }
    let leads_group = |daemon: &&Value| {
        array_items(&daemon["groups"]).iter().any(|group| group["leading"] == true)
    };
    if !daemons.iter().any(|daemon| leads_group(&daemon)) {
        warnings
            .push("no group has a leader among the daemons reached; check the voters".to_owned());
    }
    warnings
}

fn print_daemon(daemon: &Value) {
    let disk = if daemon["durable"] == true { "disk" } else { "diskless" };
    let state = if daemon["draining"] == true { "stopping" } else { "serving" };
    println!(
        "{} ({}, {disk}): {state}, revision {}, lease {} ms, {} requests",
        text_or_none(&daemon["vm"]),
        text_or_none(&daemon["data_centre"]),
        daemon["revision"],
        daemon["lease"],
        daemon["requests"],
    );
    for group in array_items(&daemon["groups"]) {
        let role = if group["leading"] == true { "leads" } else { "follows" };
        println!(
            "  {}: {role}, term {}, leader {}, commit {}, voters {}, learners {}",
            group_name(&group["group"]),
            group["term"],
            text_or_none(&group["leader"]),
            group["commit"],
            join_names(&group["voters"]),
            join_names(&group["learners"]),
        );
    }
}

fn group_name(group: &Value) -> String {
    match group["Ledger"].as_u64() {
        Some(number) => format!("ledger-{number}"),
        None => "control".to_owned(),
    }
}

fn join_names(value: &Value) -> String {
    let items: Vec<&str> = array_items(value).iter().map(text_or_none).collect();
    match items.is_empty() {
        true => "none".to_owned(),
        false => items.join(", "),
    }
}

/// The items of a JSON array; empty for other values.
fn array_items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// The text of a JSON string; `none` for other values.
fn text_or_none(value: &Value) -> &str {
    value.as_str().unwrap_or("none")
}
