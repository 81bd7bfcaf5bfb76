//! `ticket apply`, `ticket show` and `ticket list`.

use super::Client;
use super::options::{Ticket as TicketOptions, TicketApply, TicketCommand};
use crate::control::{Ticket, TicketAnswer, TicketRecord};
use crate::error::Error;
use bytes::Bytes;
use serde_json::Value;
use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1_000;
/// How often a ticket is sent again after a lost answer.
const RESENDS: usize = 3;
const RESEND_AFTER: Duration = Duration::from_millis(300);

/// Carries out a ticket command.
pub fn run(client: &Client, options: &TicketOptions) -> Result<(), Error> {
    match &options.command {
        TicketCommand::Apply(apply) => self::apply(client, apply),
        TicketCommand::Show(show) => {
            let record = client.get(&format!("/v1/tickets/{}", show.number))?;
            print_record(client, show.number, &record)
        }
        TicketCommand::List(_) => {
            let tickets = client.get("/v1/tickets")?;
            if client.wants_json() {
                println!("{tickets}");
                return Ok(());
            }
            let tickets: Vec<(u64, TicketRecord)> = decode(tickets)?;
            for (number, record) in tickets {
                println!("{number}: by {}, revision {}", record.author, record.revision);
            }
            Ok(())
        }
    }
}

fn apply(client: &Client, options: &TicketApply) -> Result<(), Error> {
    let path = &options.file;
    let bytes = std::fs::read(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
    let ticket: Ticket = serde_json::from_slice(&bytes).map_err(|cause| {
        let message = format!("{}: not a ticket: {cause}; see docs/OPERATING.md", path.display());
        Error::InvalidInput { message }
    })?;
    let query = if options.dry_run { "?dry_run=true" } else { "" };
    let answer = send(client, &format!("/v1/tickets{query}"), bytes.into())?;
    let decoded: TicketAnswer = decode(answer.clone())?;
    let revision = match decoded {
        TicketAnswer::Accepted { revision } => revision,
        TicketAnswer::Refused(refusal) => {
            return Err(Error::Refused { message: refusal.to_string() });
        }
    };
    if options.dry_run {
        return say(client, &answer, &format!("ticket {} would be accepted", ticket.number));
    }
    await_in_force(client, &ticket, revision, options.wait)
}

/// Sends a ticket again where its answer was lost; the same ticket gets the same answer.
fn send(client: &Client, path: &str, bytes: Bytes) -> Result<Value, Error> {
    let mut last = client.post(path, bytes.clone());
    for _ in 0..RESENDS {
        if !matches!(last, Err(Error::Unreachable { .. })) {
            return last;
        }
        std::thread::sleep(RESEND_AFTER);
        last = client.post(path, bytes.clone());
    }
    match last {
        Err(Error::Unreachable { address, cause }) => {
            let cause = format!(
                "{cause} (whether the ticket was accepted is unknown; send the same ticket again, also through another daemon)"
            );
            Err(Error::Unreachable { address, cause })
        }
        last => last,
    }
}

fn await_in_force(client: &Client, ticket: &Ticket, revision: u64, wait: u64) -> Result<(), Error> {
    let number = ticket.number;
    let path = format!("/v1/in-force/{revision}?wait={}", wait * MILLIS_PER_SECOND);
    let seen = client.get(&path)?;
    if seen["in_force"] == true {
        let text = format!("ticket {number} is in force everywhere, revision {revision}");
        let json = serde_json::json!({ "ticket": number, "revision": revision, "in_force": true });
        return say(client, &json, &text);
    }
    let message = format!(
        "ticket {number} is accepted at revision {revision} and will never revert, but not yet in force on: {}; ask again with the same ticket",
        seen["lagging"]
    );
    Err(Error::NotInForce { message })
}

fn print_record(client: &Client, number: u64, value: &Value) -> Result<(), Error> {
    let record: TicketRecord = decode(value.clone())?;
    let objects: Vec<String> = record.objects.iter().map(ToString::to_string).collect();
    let text = format!(
        "ticket {number}: by {}, revision {}, touched {}",
        record.author,
        record.revision,
        objects.join(", ")
    );
    say(client, value, &text)
}

fn say(client: &Client, json: &Value, text: &str) -> Result<(), Error> {
    match client.wants_json() {
        true => println!("{json}"),
        false => println!("{text}"),
    }
    Ok(())
}

fn decode<T>(value: Value) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(value).map_err(|cause| {
        let message = format!(
            "the daemon's answer cannot be read: {cause}; are both programs of one version?"
        );
        Error::InvalidInput { message }
    })
}
