//! The commands `ticket apply`, `ticket show` and `ticket list`.

use super::Client;
use super::options::{TicketApplyArgs, TicketArgs, TicketCommand};
use crate::control::{Ticket, TicketAnswer, TicketRecord};
use crate::error::Error;
use bytes::Bytes;
use serde_json::Value;
use std::time::Duration;

const MS_PER_SECOND: u64 = 1_000;
/// Maximum number of times that a ticket is sent again without a response.
const MAX_RESENDS: usize = 3;
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Runs a ticket command and prints its result.
pub fn run(client: &Client, args: &TicketArgs) -> Result<(), Error> {
    match &args.command {
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
            let tickets: Vec<(u64, TicketRecord)> = decode_response(tickets)?;
            for (number, record) in tickets {
                println!("{number}: by {}, revision {}", record.author, record.revision);
            }
            Ok(())
        }
    }
}

/// Applies a ticket and waits until its revision is in force everywhere.
fn apply(client: &Client, args: &TicketApplyArgs) -> Result<(), Error> {
    let path = &args.file;
    let bytes = std::fs::read(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
    let ticket = Ticket::from_json(&bytes).map_err(|error| {
        let message = format!("{}: {error}; see docs/OPERATIONS.md", path.display());
        Error::InvalidInput { message }
    })?;
    let query = if args.dry_run { "?dry_run=true" } else { "" };
    let answer = send_with_retry(client, &format!("/v1/tickets{query}"), bytes.into())?;
    let decoded: TicketAnswer = decode_response(answer.clone())?;
    let revision = match decoded {
        TicketAnswer::Accepted { revision } => revision,
        TicketAnswer::Refused(refusal) => {
            return Err(Error::Refused { message: refusal.to_string() });
        }
    };
    if args.dry_run {
        return print_result(
            client,
            &answer,
            &format!("ticket {} would be accepted", ticket.number),
        );
    }
    await_in_force(client, &ticket, revision, args.wait)
}

/// Sends a ticket, and again if there is no response. Resending is safe: the same ticket gets the
/// same answer.
fn send_with_retry(client: &Client, path: &str, bytes: Bytes) -> Result<Value, Error> {
    let mut last = client.post(path, bytes.clone());
    for _ in 0..MAX_RESENDS {
        if !matches!(last, Err(Error::Unreachable { .. })) {
            return last;
        }
        std::thread::sleep(RESEND_DELAY);
        last = client.post(path, bytes.clone());
    }
    match last {
        Err(Error::Unreachable { address, cause }) => {
            let cause = format!(
                "{cause} (it is unknown whether the ticket was accepted; apply the same ticket again, if need be through another daemon)"
            );
            Err(Error::Unreachable { address, cause })
        }
        last => last,
    }
}

fn await_in_force(
    client: &Client,
    ticket: &Ticket,
    revision: u64,
    wait_s: u64,
) -> Result<(), Error> {
    let number = ticket.number;
    let path = format!("/v1/in-force/{revision}?wait={}", wait_s * MS_PER_SECOND);
    let status = client.get(&path)?;
    if status["in_force"] == true {
        let text = format!("ticket {number} is in force everywhere, revision {revision}");
        let json = serde_json::json!({ "ticket": number, "revision": revision, "in_force": true });
        return print_result(client, &json, &text);
    }
    let message = format!(
        "ticket {number} was accepted as revision {revision} and will not be reverted, but is not yet in force on: {}; apply the same ticket again to check",
        status["lagging"]
    );
    Err(Error::NotInForce { message })
}

fn print_record(client: &Client, number: u64, value: &Value) -> Result<(), Error> {
    let record: TicketRecord = decode_response(value.clone())?;
    let objects: Vec<String> = record.objects.iter().map(ToString::to_string).collect();
    let text = format!(
        "ticket {number}: by {}, revision {}, objects {}",
        record.author,
        record.revision,
        objects.join(", ")
    );
    print_result(client, value, &text)
}

/// Prints `json` or `text`, as the operator chose.
fn print_result(client: &Client, json: &Value, text: &str) -> Result<(), Error> {
    match client.wants_json() {
        true => println!("{json}"),
        false => println!("{text}"),
    }
    Ok(())
}

fn decode_response<T>(value: Value) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(value).map_err(|cause| {
        let message = format!(
            "cannot decode the response: {cause}; are the tool and the daemon of the same version?"
        );
        Error::InvalidInput { message }
    })
}
