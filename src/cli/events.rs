//! `timeline` and `explain`.

use super::options::{Explain, Timeline as Options};
use super::{Client, picture};
use crate::error::Error;
use crate::event::{EventQuery, EventRecord};
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use crate::operator::{Explanation, Timeline};
use crate::settings::parse_duration;
use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The pause between two looks of `--follow`.
const FOLLOW_EVERY: Duration = Duration::from_millis(500);

/// Shows events.
pub fn timeline(client: &Client, options: &Options) -> Result<(), Error> {
    let query = query_of(options)?;
    if options.follow {
        return follow(client, query, options.times);
    }
    let timeline = fetch(client, &query)?;
    if let Some(path) = &options.svg {
        let drawn = picture::draw(&timeline);
        let wrap = |cause| Error::File { path: path.clone(), cause };
        std::fs::write(path, drawn).map_err(wrap)?;
    }
    match client.wants_json() {
        true => println!("{}", serde_json::to_string(&timeline).expect("time lines serialise")),
        false => print(&timeline),
    }
    Ok(())
}

/// Prints events as they come; each daemon is asked for what is newer than what was shown.
fn follow(client: &Client, mut query: EventQuery, times: Option<u64>) -> Result<(), Error> {
    let mut missing = Vec::new();
    let mut round = 0;
    while times.is_none_or(|times| round < times) {
        if round > 0 {
            std::thread::sleep(FOLLOW_EVERY);
        }
        round += 1;
        let timeline = fetch(client, &query)?;
        for record in &timeline.events {
            query.after.insert(record.vm.clone(), record.at);
            print_record(client, record);
        }
        if timeline.missing != missing {
            missing = timeline.missing;
            warn(&missing, "not reached");
        }
        warn(&timeline.truncated, "left older events out");
    }
    Ok(())
}

fn fetch(client: &Client, query: &EventQuery) -> Result<Timeline, Error> {
    let json = serde_json::to_string(query).expect("queries always serialise");
    let answer = client.get(&format!("/v1/timeline?filter={}", hex(&json)))?;
    decode(answer, "events")
}

fn print(timeline: &Timeline) {
    timeline.events.iter().for_each(|record| println!("{record}"));
    warn(&timeline.missing, "not reached");
    warn(&timeline.truncated, "left older events out; narrow the query");
}

fn print_record(client: &Client, record: &EventRecord) {
    match client.wants_json() {
        true => println!("{}", serde_json::to_string(record).expect("events serialise")),
        false => println!("{record}"),
    }
}

/// Explains a request, a ticket or a version.
pub fn explain(client: &Client, options: &Explain) -> Result<(), Error> {
    let path = match (&options.request, options.ticket, &options.version) {
        (Some(text), None, None) => format!("/v1/explain/{}", request(text)?),
        (None, Some(number), None) => format!("/v1/explain/ticket/{number}"),
        (None, None, Some(text)) => format!("/v1/explain/version/{}", version(text)?),
        _ => return Err(bad("name one of: a request, --ticket NUMBER, --version MODEL/VERSION")),
    };
    let answer = client.get(&path)?;
    if client.wants_json() {
        println!("{answer}");
        return Ok(());
    }
    let explanation: Explanation = decode(answer, "the explanation")?;
    if explanation.lines.is_empty() {
        println!("no daemon that was reached remembers it");
    }
    explanation.lines.iter().for_each(|line| println!("{line}"));
    warn(&explanation.missing, "not reached");
    warn(&explanation.truncated, "left older events out");
    Ok(())
}

fn query_of(options: &Options) -> Result<EventQuery, Error> {
    let time = |text: &Option<String>| text.as_deref().map(moment).transpose();
    Ok(EventQuery {
        request: options.request.as_deref().map(request).transpose()?,
        ticket: options.ticket,
        version: options.version.as_deref().map(version).transpose()?,
        session: options.session.clone().map(SessionName::new),
        vm: options.vm.clone().map(VmName::new),
        since: time(&options.since)?,
        until: time(&options.until)?,
        number: options.number,
        name: options.name.clone(),
        limit: options.most,
        ..EventQuery::default()
    })
}

fn request(text: &str) -> Result<RequestId, Error> {
    let message = "a request has 32 hex digits; see the header x-request-id of its answer";
    RequestId::parse(text).ok_or_else(|| bad(message))
}

fn version(text: &str) -> Result<VersionKey, Error> {
    VersionKey::parse(text).ok_or_else(|| bad("a version is model/version"))
}

/// Milliseconds since 1970, given as such or as a time ago such as `5m`.
fn moment(text: &str) -> Result<u64, Error> {
    if let Ok(millis) = text.parse() {
        return Ok(millis);
    }
    let message = "a time is given in milliseconds since 1970 or as a time ago, such as 30s or 5m";
    let ago = parse_duration(text).ok_or_else(|| bad(message))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(now.saturating_sub(ago).as_millis() as u64)
}

fn decode<T>(answer: serde_json::Value, what: &str) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let text = |cause| format!("{what} cannot be read: {cause}; are both programs of one version?");
    serde_json::from_value(answer).map_err(|cause| bad(&text(cause)))
}

fn bad(message: &str) -> Error {
    Error::InvalidInput { message: message.to_owned() }
}

/// Says on the error output which daemons' events are incomplete.
fn warn(daemons: &[String], why: &str) {
    for daemon in daemons {
        eprintln!("incomplete: daemon {daemon}: {why}");
    }
}

fn hex(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        write!(out, "{byte:02x}").expect("writing to a string cannot fail");
    }
    out
}
