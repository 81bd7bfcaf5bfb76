//! `timeline` and `explain`.

use super::Client;
use super::options::{Explain, Timeline as Options};
use crate::error::Error;
use crate::event::EventQuery;
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use crate::operator::Timeline;
use std::fmt::Write;

/// Shows events.
pub fn timeline(client: &Client, options: &Options) -> Result<(), Error> {
    let query = query_of(options)?;
    let json = serde_json::to_string(&query).expect("queries always serialise");
    let answer = client.get(&format!("/v1/timeline?filter={}", hex(&json)))?;
    if client.wants_json() {
        println!("{answer}");
        return Ok(());
    }
    let timeline: Timeline = serde_json::from_value(answer)
        .map_err(|cause| Error::Input { message: format!("events cannot be read: {cause}") })?;
    for record in &timeline.events {
        println!("{record}");
    }
    warn_missing(&timeline.missing);
    Ok(())
}

/// Explains a request.
pub fn explain(client: &Client, options: &Explain) -> Result<(), Error> {
    if RequestId::parse(&options.request).is_none() {
        let message = "a request has 32 hex digits; see the header x-request-id".to_owned();
        return Err(Error::Input { message });
    }
    let answer = client.get(&format!("/v1/explain/{}", options.request))?;
    if client.wants_json() {
        println!("{answer}");
        return Ok(());
    }
    let lines = answer["lines"].as_array().map_or(&[][..], Vec::as_slice);
    if lines.is_empty() {
        println!("no daemon that was reached remembers this request");
    }
    lines.iter().filter_map(|line| line.as_str()).for_each(|line| println!("{line}"));
    let missing = answer["missing"].as_array().map_or(&[][..], Vec::as_slice);
    let missing: Vec<_> = missing.iter().filter_map(|m| m.as_str().map(str::to_owned)).collect();
    warn_missing(&missing);
    Ok(())
}

fn query_of(options: &Options) -> Result<EventQuery, Error> {
    let bad = |message: &str| Error::Input { message: message.to_owned() };
    let request = match &options.request {
        Some(text) => {
            Some(RequestId::parse(text).ok_or_else(|| bad("--request has 32 hex digits"))?)
        }
        None => None,
    };
    let version = match &options.version {
        Some(text) => {
            Some(VersionKey::parse(text).ok_or_else(|| bad("--version is model/version"))?)
        }
        None => None,
    };
    Ok(EventQuery {
        request,
        ticket: options.ticket,
        version,
        session: options.session.clone().map(SessionName::new),
        vm: options.vm.clone().map(VmName::new),
        since: options.since,
    })
}

fn warn_missing(missing: &[String]) {
    for address in missing {
        println!("events of the daemon at {address} are missing: it was not reached");
    }
}

fn hex(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        write!(out, "{byte:02x}").expect("writing to a string cannot fail");
    }
    out
}
