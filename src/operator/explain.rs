use super::{Timeline, collect_timeline};
use crate::daemon::Node;
use crate::event::{Event, EventQuery, EventRecord};
use crate::name::{RequestId, VersionKey, VmName};
use crate::peer::{OperatorRequest, OperatorResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an operator wants explained.
#[derive(Debug, Clone, PartialEq)]
pub enum ExplainTarget {
    /// The path of a request through the cluster and its outcome.
    Request(RequestId),
    /// Whether a ticket was accepted, and which daemons have installed its revision.
    Ticket(u64),
    /// Choices, ratings and stops of a version.
    Version(VersionKey),
}

/// A history in sentences for people.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// One sentence per event, in causal order. The last line on a version states whether it is
    /// stopped.
    pub lines: Vec<String>,
    /// Daemons that did not answer; their events are missing.
    pub missing: Vec<String>,
    /// Daemons that omitted older events because more matched than one daemon returns.
    pub truncated: Vec<String>,
}

/// Explains a target from the events of all daemons that can be reached.
pub async fn explain(node: &Node, target: &ExplainTarget) -> Explanation {
    let timeline = collect_timeline(node, &build_query(target)).await;
    let events = match target {
        ExplainTarget::Ticket(_) => with_installations(node, &timeline).await,
        _ => timeline.events.clone(),
    };
    let mut lines: Vec<String> = events.iter().filter_map(describe_event).collect();
    if let ExplainTarget::Version(version) = target {
        lines.extend(describe_stop(node, version).await);
    }
    Explanation { lines, missing: timeline.missing, truncated: timeline.truncated }
}

fn build_query(target: &ExplainTarget) -> EventQuery {
    let all = EventQuery::default();
    match target {
        ExplainTarget::Request(request) => EventQuery { request: Some(*request), ..all },
        ExplainTarget::Ticket(ticket) => EventQuery { ticket: Some(*ticket), ..all },
        ExplainTarget::Version(version) => EventQuery { version: Some(version.clone()), ..all },
    }
}

/// The ticket's events and, for each VM, the first installation of its revision or a later one.
async fn with_installations(node: &Node, timeline: &Timeline) -> Vec<EventRecord> {
    let mut events = timeline.events.clone();
    let accepted = events.iter().find_map(|record| match record.event {
        Event::TicketAccepted { revision, .. } => Some((revision, record.at)),
        _ => None,
    });
    let Some((ticket_revision, at)) = accepted else { return events };
    let name = Some("revision_installed".to_owned());
    let query = EventQuery { name, since: Some(at.millis), ..EventQuery::default() };
    let mut installed: BTreeSet<VmName> = BTreeSet::new();
    for record in collect_timeline(node, &query).await.events {
        let includes_ticket = matches!(record.event, Event::RevisionInstalled { revision } if revision >= ticket_revision);
        if includes_ticket && installed.insert(record.vm.clone()) {
            events.push(record);
        }
    }
    events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    events
}

/// States whether the leader's replicated state lists the version as stopped. The event of the stop
/// may have been discarded by then; the replicated state keeps the stop.
async fn describe_stop(node: &Node, version: &VersionKey) -> Option<String> {
    let response = node.ask_leader(OperatorRequest::Evidence).await;
    let Ok(OperatorResponse::Evidence(view)) = response else {
        return Some(
            "Whether it is stopped is unknown because no leader answers; try again.".to_owned(),
        );
    };
    let stop = view.stopped.iter().find(|stop| stop.version == *version);
    Some(match stop {
        Some(stop) => format!("Version {version} is stopped on evidence: {}.", stop.evidence),
        None => format!("No stop on evidence is recorded for version {version}."),
    })
}

/// A sentence on an event; `None` for events that no explanation includes.
fn describe_event(record: &EventRecord) -> Option<String> {
    let vm = &record.vm;
    let text = match &record.event {
        Event::RequestAdmitted { organisation, kind, .. } => {
            format!("{vm} admitted it for organisation {organisation}, task kind {kind}.")
        }
        Event::RequestRefused { code, ran, .. } => {
            format!("It was refused with code {code}; executed by a backend server: {ran}.")
        }
        Event::VersionChosen { version, reason, .. } => {
            format!("Version {version} was chosen: {reason}.")
        }
        Event::SessionPinned { session, version, .. } => {
            format!("Session {session} is pinned to version {version}.")
        }
        Event::ClaimCommitted { service, .. } => {
            format!("Its claim on the idempotency key for service {service} was committed.")
        }
        Event::ClaimRepeated { first, .. } => {
            format!("It repeats request {first} and gets the outcome of that request.")
        }
        Event::AttemptStarted { server, attempt, .. } => {
            format!("Attempt {attempt} was sent to {server}.")
        }
        Event::AttemptFailed { server, reason, .. } => {
            format!("The attempt at {server} failed: {reason}.")
        }
        Event::SessionJoined { session, .. } => format!("It belongs to session {session}."),
        Event::AnswerEscalated { version, quality: Some(quality), .. } => {
            format!(
                "The answer was rated only {quality:.2}, so the request escalated to version {version}."
            )
        }
        Event::AnswerEscalated { version, .. } => {
            format!("The answer could not be rated, so the request escalated to version {version}.")
        }
        Event::VersionHeld { version, evidence } => {
            format!("{vm} excluded version {version} on its own counts: {evidence}.")
        }
        Event::VersionKept { version, evidence } => {
            format!("{vm}, the leader, kept version {version} in use despite evidence: {evidence}.")
        }
        Event::AnswerRated { quality, .. } => format!("The answer was rated {quality:.2}."),
        Event::AnswerBilled { cost, .. } => format!("It was billed once, at {cost} millionths."),
        Event::AnswerRelayed { tokens, .. } => {
            format!("The complete answer was relayed: {tokens} events.")
        }
        Event::CallerLeft { .. } => {
            "The caller disconnected before the answer was complete.".to_owned()
        }
        Event::TicketAccepted { ticket, revision } => {
            format!("{vm}, the leader, accepted ticket {ticket} as revision {revision}.")
        }
        Event::TicketRefused { ticket, reason } => {
            format!("{vm}, the leader, refused the whole ticket {ticket}: {reason}.")
        }
        Event::TicketInForce { ticket, revision } => {
            format!("Ticket {ticket} was observed in force everywhere at revision {revision}.")
        }
        Event::RevisionInstalled { revision } => format!("{vm} installed revision {revision}."),
        Event::VersionStopped { version, evidence } => {
            format!("Version {version} was stopped on evidence: {evidence}.")
        }
        _ => return None,
    };
    Some(text)
}
