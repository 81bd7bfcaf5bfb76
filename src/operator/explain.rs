use crate::event::{Event, EventRecord};

/// Says in words what happened to a request, one sentence an event.
pub fn explain(events: &[EventRecord]) -> Vec<String> {
    events.iter().filter_map(sentence).collect()
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
        Event::AnswerRated { quality, .. } => format!("The answer was rated {quality:.2}."),
        Event::AnswerBilled { cost, .. } => format!("It was billed once, at {cost} millionths."),
        Event::AnswerRelayed { tokens, .. } => {
            format!("The whole answer went out: {tokens} events.")
        }
        Event::CallerLeft { .. } => "The caller left before the answer was whole.".to_owned(),
        _ => return None,
    };
    Some(text)
}
