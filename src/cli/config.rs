//! The command `config check`.

use super::config_options::{ConfigArgs, ConfigCheckArgs, ConfigCommand};
use super::json_kind::JsonKind;
use super::{Client, Options};
use crate::check::{
    Change, ConfigFormat, Difference, ListSpec, Report, TicketCheck, cannot_compare,
    check_settings, compare_lists,
};
use crate::control::{Ticket, TicketAnswer};
use crate::error::Error;
use bytes::Bytes;
use serde_json::Value;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// The program that checks route tables. Only adapters know their documents, so an adapter brings it.
const ROUTES_PROGRAM: &str = "samphireshift-check-routes";

/// Where the standard input can be opened as a file.
const STDIN_PATH: &str = "/dev/stdin";

/// The lists of a ticket whose contents in force a daemon tells.
const TOLD_LISTS: [ListSpec; 3] = [
    ListSpec { list: "versions", what: "version", keys: &["model", "version"], secret: &[] },
    ListSpec { list: "services", what: "service", keys: &["name"], secret: &[] },
    ListSpec { list: "rollouts", what: "roll-out", keys: &["name"], secret: &[] },
];

/// Runs a command on configurations.
pub fn run(options: &Options, args: &ConfigArgs) -> Result<(), Error> {
    match &args.command {
        ConfigCommand::Check(check) => check_file(options, check),
    }
}

fn check_file(options: &Options, args: &ConfigCheckArgs) -> Result<(), Error> {
    let path = &args.file;
    let text =
        std::fs::read_to_string(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
    if args.same && args.offline {
        let message = "--same compares with the version in force; leave out --offline".to_owned();
        return Err(Error::InvalidInput { message });
    }
    let file = path.display().to_string();
    let report = match text.trim_start().chars().next() {
        Some('{') => match JsonKind::of(&text) {
            JsonKind::Ticket => check_ticket(options, args, file, &text)?,
            JsonKind::Routes if args.file == Path::new(STDIN_PATH) => {
                let message = "a route table is read from a file only; write it to one".to_owned();
                return Err(Error::CannotCheck { message });
            }
            JsonKind::Routes => return Err(run_adapter(options, args)),
            JsonKind::Unknown(finding) => Report::new(file, ConfigFormat::Unknown, vec![finding]),
        },
        Some('[' | ';' | '#') if args.same => {
            let message = format!("{file}: daemons do not tell their settings; leave out --same");
            return Err(Error::CannotCheck { message });
        }
        Some('[' | ';' | '#') => {
            let findings = check_settings(&file, &text);
            Report::new(file, ConfigFormat::Settings, findings)
        }
        _ => {
            let message = format!(
                "{file} is neither a ticket or route table (JSON) nor settings (INI); see docs/OPERATIONS.md"
            );
            return Err(Error::CannotCheck { message });
        }
    };
    report.print(options.json);
    report.conclude(args.same)
}

/// Becomes the adapter's program, which lies beside this one; returns only if that fails.
fn run_adapter(options: &Options, args: &ConfigCheckArgs) -> Error {
    let beside = std::env::current_exe().map(|tool| tool.with_file_name(ROUTES_PROGRAM));
    let program = beside.unwrap_or_else(|_| ROUTES_PROGRAM.into());
    let mut command = Command::new(&program);
    command.arg("--operator").arg(options.operator.to_string());
    let switches = [(options.json, "--json"), (args.offline, "--offline"), (args.same, "--same")];
    command.args(switches.into_iter().filter(|(is_set, _)| *is_set).map(|(_, switch)| switch));
    if let Some(settings) = &args.settings {
        command.arg("--settings").arg(settings);
    }
    if let Some(routers) = args.routers {
        command.arg("--routers").arg(routers.to_string());
    }
    let cause = command.arg("--").arg(&args.file).exec();
    let message = format!(
        "route tables are checked by {}: {cause}; install it beside this tool",
        program.display()
    );
    Error::CannotCheck { message }
}

/// Checks a ticket. One that cannot be read is not sent to a daemon.
fn check_ticket(
    options: &Options,
    args: &ConfigCheckArgs,
    file: String,
    text: &str,
) -> Result<Report, Error> {
    let mut check = match TicketCheck::new(text) {
        Ok(check) => check,
        Err(finding) => return Ok(Report::new(file, ConfigFormat::Ticket, vec![finding])),
    };
    if args.offline {
        return Ok(Report::new(file, ConfigFormat::Ticket, check.findings));
    }
    let client = Client::new(options).map_err(cannot_compare)?;
    check.take_answer(&dry_run(&client, text).map_err(cannot_compare)?);
    let config = client.get("/v1/config").map_err(cannot_compare)?;
    Ok(Report {
        differences: Some(differences(&check.ticket, &config)),
        in_force: config["revision"].as_u64().filter(|revision| *revision > 0),
        ..Report::new(file, ConfigFormat::Ticket, check.findings)
    })
}

fn dry_run(client: &Client, text: &str) -> Result<TicketAnswer, Error> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let answer = client.post("/v1/tickets?dry_run=true", bytes)?;
    serde_json::from_value(answer).map_err(|cause| {
        let message = format!("cannot decode the response: {cause}");
        Error::InvalidInput { message }
    })
}

/// The objects of the ticket that differ from those in force. A ticket removes none.
fn differences(ticket: &Ticket, config: &Value) -> Vec<Difference> {
    let document = serde_json::to_value(ticket).expect("tickets always serialise");
    let mut found = Vec::new();
    let known = config["organisations"].as_array().map_or(&[][..], |names| names);
    for organisation in &ticket.organisations {
        let name = organisation.name.as_str();
        let change = match known.iter().any(|known| known == name) {
            true => Change::Unknown,
            false => Change::Added,
        };
        found.push(Difference::whole(format!("organisation {name}"), change));
    }
    let model = |name: &str| Difference::whole(format!("model {name}"), Change::Unknown);
    found.extend(ticket.models.iter().map(|one| model(one.name.as_str())));
    let told = TOLD_LISTS.iter().flat_map(|spec| compare_lists(spec, config, &document));
    found.extend(told.filter(|difference| difference.change != Change::Removed));
    found
}
