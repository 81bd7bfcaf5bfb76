use super::{Timeline, collect};
use crate::daemon::Node;
use crate::event::{Event, EventQuery, EventRecord};
use crate::name::{RequestId, VersionKey, VmName};
use crate::peer::{OperatorRequest, OperatorResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What is explained.
#[derive(Debug, Clone, PartialEq)]
pub enum Subject {
    /// What became of a request.
    Request(RequestId),
    /// What became of a ticket.
    Ticket(u64),
    /// What happened to a version.
    Version(VersionKey),
}

/// An explanation in words.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// One sentence an event, in causal order.
    pub lines: Vec<String>,
    /// Daemons that did not answer; what they know is missing.
    pub missing: Vec<String>,
    /// Daemons that left older events out.
    pub truncated: Vec<String>,
}

/// Explains a subject from the events of all daemons.
pub async fn explain(node: &Node, subject: &Subject) -> Explanation {
    let timeline = collect(node, &query_of(subject)).await;
    let events = match subject {
        Subject::Ticket(_) => with_installations(node, &timeline).await,
        _ => timeline.events.clone(),
    };
    let mut lines: Vec<String> = events.iter().filter_map(sentence).collect();
    if let Subject::Version(version) = subject {
        lines.extend(stop_on_record(node, version).await);
    }
    Explanation { lines, missing: timeline.missing, truncated: timeline.truncated }
}

fn query_of(subject: &Subject) -> EventQuery {
    let all = EventQuery::default();
    match subject {
        Subject::Request(request) => EventQuery { request: Some(*request), ..all },
        Subject::Ticket(ticket) => EventQuery { ticket: Some(*ticket), ..all },
        Subject::Version(version) => EventQuery { version: Some(version.clone()), ..all },
    }
}

/// The ticket's events and, for each VM, the first installation of its revision or a later one.
async fn with_installations(node: &Node, timeline: &Timeline) -> Vec<EventRecord> {
    let mut events = timeline.events.clone();
    let accepted = events.iter().find_map(|record| match record.event {
        Event::TicketAccepted { revision, .. } => Some((revision, record.at)),
        _ => None,
    });
    let Some((wanted, at)) = accepted else { return events };
    let name = Some("revision_installed".to_owned());
    let query = EventQuery { name, since: Some(at.millis), ..EventQuery::default() };
    let mut seen: BTreeSet<VmName> = BTreeSet::new();
    for record in collect(node, &query).await.events {
        let reached =
            matches!(record.event, Event::RevisionInstalled { revision } if revision >= wanted);
        if reached && seen.insert(record.vm.clone()) {
            events.push(record);
        }
    }
    events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    events
}

/// Whether the version is stopped, as the leader's state has it: events may be forgotten, that not.
async fn stop_on_record(node: &Node, version: &VersionKey) -> Option<String> {
    let reply = node.ask_leader(OperatorRequest::Evidence).await;
    let Ok(OperatorResponse::Evidence(view)) = reply else {
        return Some("Whether it is stopped is unknown: no leader answers.".to_owned());
    };
    let stop = view.stopped.iter().find(|stop| stop.version == *version);
    Some(match stop {
        Some(stop) => format!("Version {version} stands stopped on evidence: {}.", stop.evidence),
        None => format!("No stop on evidence is on record for version {version}."),
    })
}

fn sentence(record: &EventRecord) -> Option<String> {
    let vm = &record.vm;
    let text = match &record.event {
        Event::RequestAdmitted { organisation, kind, .. } => {
            format!("{vm} admitted it for organisation {organisation}, kind {kind}.")
        }
        Event::RequestRefused { code, ran, .. } => format!("It was refused: {code}; ran: {ran}."),
        Event::VersionChosen { version, reason, .. } => {
            format!("Version {version} was chosen: {reason}.")
        }
        Event::SessionPinned { session, version, .. } => {
            format!("Session {session} is bound to version {version}.")
        }
        Event::ClaimCommitted { service, .. } => {
            format!("The sole right to call service {service} was committed.")
        }
        Event::ClaimRepeated { first, .. } => {
            format!("It repeats request {first}, whose outcome it gets.")
        }
        Event::AttemptStarted { server, attempt, .. } => {
            format!("Attempt {attempt} went to {server}.")
        }
        Event::AttemptFailed { server, reason, .. } => {
            format!("The attempt at {server} failed: {reason}.")
        }
        Event::SessionJoined { session, .. } => format!("It belongs to session {session}."),
        Event::AnswerEscalated { version, quality: Some(quality), .. } => {
            format!("The answer was rated {quality:.2} only, so version {version} is asked.")
        }
        Event::AnswerEscalated { version, .. } => {
            format!("The answer could not be rated, so version {version} is asked.")
        }
        Event::VersionHeld { version, evidence } => {
            format!("{vm} holds version {version} back: {evidence}.")
        }
        Event::VersionKept { version, evidence } => {
            format!("{vm}, the leader, kept version {version}: {evidence}.")
        }
        Event::AnswerRated { quality, .. } => format!("The answer was rated {quality:.2}."),
        Event::AnswerBilled { cost, .. } => format!("It was billed once, at {cost} millionths."),
        Event::AnswerRelayed { tokens, .. } => {
            format!("The whole answer went out: {tokens} events.")
        }
        Event::CallerLeft { .. } => "The caller left before the answer was whole.".to_owned(),
        Event::TicketAccepted { ticket, revision } => {
            format!("{vm}, the leader, accepted ticket {ticket} as revision {revision}.")
        }
        Event::TicketRefused { ticket, reason } => {
            format!("{vm}, the leader, refused ticket {ticket} whole: {reason}.")
        }
        Event::TicketInForce { ticket, revision } => {
            format!("Ticket {ticket} was seen in force everywhere at revision {revision}.")
        }
        Event::RevisionInstalled { revision } => format!("{vm} works under revision {revision}."),
        Event::VersionStopped { version, evidence } => {
            format!("Version {version} was stopped on evidence: {evidence}.")
        }
        _ => return None,
    };
    Some(text)
}
