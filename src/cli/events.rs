//! The commands `timeline` and `explain`.

use super::options::{ExplainArgs, TimelineArgs};
use super::{Client, timeline_svg};
use crate::error::Error;
use crate::event::{EventQuery, EventRecord};
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use crate::operator::{Explanation, Timeline};
use crate::settings::parse_duration;
use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between two queries with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the events that the arguments select, and draws them if `--svg` is given.
pub fn show_timeline(client: &Client, args: &TimelineArgs) -> Result<(), Error> {
    let query = build_query(args)?;
    if args.follow {
        return follow(client, query, args.times);
    }
    let timeline = fetch_timeline(client, &query)?;
    if let Some(path) = &args.svg {
        let svg = timeline_svg::render(&timeline);
        let wrap = |cause| Error::File { path: path.clone(), cause };
        std::fs::write(path, svg).map_err(wrap)?;
    }
    match client.wants_json() {
        true => {
            println!("{}", serde_json::to_string(&timeline).expect("timelines always serialise"))
        }
        false => print_timeline(&timeline),
    }
    Ok(())
}

/// Prints events as they happen. Each query selects, for each VM, only events newer than the last
/// one printed. Ends after `times` queries, if given.
fn follow(client: &Client, mut query: EventQuery, times: Option<u64>) -> Result<(), Error> {
    let mut missing = Vec::new();
    let mut round = 0;
    while times.is_none_or(|times| round < times) {
        if round > 0 {
            std::thread::sleep(FOLLOW_INTERVAL);
        }
        round += 1;
        let timeline = fetch_timeline(client, &query)?;
        for record in &timeline.events {
            query.after.insert(record.vm.clone(), record.at);
            print_record(client, record);
        }
        if timeline.missing != missing {
            missing = timeline.missing;
            print_incomplete(&missing, "not reached");
        }
        print_incomplete(&timeline.truncated, "omitted older events");
    }
    Ok(())
}

fn fetch_timeline(client: &Client, query: &EventQuery) -> Result<Timeline, Error> {
    let json = serde_json::to_string(query).expect("queries always serialise");
    let response = client.get(&format!("/v1/timeline?filter={}", encode_hex(&json)))?;
    decode_response(response, "events")
}

fn print_timeline(timeline: &Timeline) {
    timeline.events.iter().for_each(|record| println!("{record}"));
    print_incomplete(&timeline.missing, "not reached");
    print_incomplete(&timeline.truncated, "omitted older events; narrow the query");
}

fn print_record(client: &Client, record: &EventRecord) {
    match client.wants_json() {
        true => println!("{}", serde_json::to_string(record).expect("events always serialise")),
        false => println!("{record}"),
    }
}

/// Prints the explanation of a request, a ticket or a version.
pub fn explain(client: &Client, args: &ExplainArgs) -> Result<(), Error> {
    let path = match (&args.request, args.ticket, &args.version) {
        (Some(text), None, None) => format!("/v1/explain/{}", parse_request_id(text)?),
        (None, Some(number), None) => format!("/v1/explain/ticket/{number}"),
        (None, None, Some(text)) => format!("/v1/explain/version/{}", parse_version(text)?),
        _ => {
            return Err(invalid_input(
                "name one of: a request ID, --ticket NUMBER, --version MODEL/VERSION",
            ));
        }
    };
    let response = client.get(&path)?;
    if client.wants_json() {
        println!("{response}");
        return Ok(());
    }
    let explanation: Explanation = decode_response(response, "the explanation")?;
    if explanation.lines.is_empty() {
        println!("no daemon that was reached has events about it");
    }
    explanation.lines.iter().for_each(|line| println!("{line}"));
    print_incomplete(&explanation.missing, "not reached");
    print_incomplete(&explanation.truncated, "omitted older events");
    Ok(())
}

fn build_query(args: &TimelineArgs) -> Result<EventQuery, Error> {
    let time = |text: &Option<String>| text.as_deref().map(parse_time).transpose();
    Ok(EventQuery {
        request: args.request.as_deref().map(parse_request_id).transpose()?,
        ticket: args.ticket,
        version: args.version.as_deref().map(parse_version).transpose()?,
        session: args.session.clone().map(SessionName::new),
        vm: args.vm.clone().map(VmName::new),
        since: time(&args.since)?,
        until: time(&args.until)?,
        number: args.number,
        name: args.name.clone(),
        limit: args.most,
        ..EventQuery::default()
    })
}

fn parse_request_id(text: &str) -> Result<RequestId, Error> {
    let message = "a request ID has 32 hex digits; see the header x-request-id of its response";
    RequestId::parse(text).ok_or_else(|| invalid_input(message))
}

fn parse_version(text: &str) -> Result<VersionKey, Error> {
    VersionKey::parse(text).ok_or_else(|| invalid_input("a version must be MODEL/VERSION"))
}

/// Parses a time to milliseconds since the Unix epoch, from such a number or from a duration before
/// now such as `5m`.
fn parse_time(text: &str) -> Result<u64, Error> {
    if let Ok(millis) = text.parse() {
        return Ok(millis);
    }
    let message =
        "a time is given in milliseconds since 1970 or as a duration before now such as 30s";
    let ago = parse_duration(text).ok_or_else(|| invalid_input(message))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(now.saturating_sub(ago).as_millis() as u64)
}

/// Decodes the response of a daemon; `what` names its content in the error.
fn decode_response<T>(response: serde_json::Value, what: &str) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let text = |cause| {
        format!("cannot decode {what}: {cause}; are the tool and the daemon of the same version?")
    };
    serde_json::from_value(response).map_err(|cause| invalid_input(&text(cause)))
}

fn invalid_input(message: &str) -> Error {
    Error::InvalidInput { message: message.to_owned() }
}

/// Prints the daemons whose events are incomplete to standard error.
fn print_incomplete(daemons: &[String], why: &str) {
    for daemon in daemons {
        eprintln!("incomplete: daemon {daemon}: {why}");
    }
}

fn encode_hex(text: &str) -> String {
    let mut hex = String::new();
    for byte in text.bytes() {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
    }
    hex
}
