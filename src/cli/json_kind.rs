use crate::check::{Finding, FindingKind, Place};
use serde_json::Value;

/// What a JSON text is, by the fields that only one format has.
#[derive(Debug)]
pub enum JsonKind {
    /// A ticket, though perhaps a wrong one.
    Ticket,
    /// A route table. Tickets have no routes.
    Routes,
    /// Neither, with what was found.
    Unknown(Finding),
}

impl JsonKind {
    /// Tells what a text is.
    pub fn of(text: &str) -> Self {
        let document: Value = match serde_json::from_str(text) {
            Ok(document) => document,
            Err(cause) => {
                let message =
                    format!("can be read neither as a ticket nor as a route table: {cause}");
                return Self::Unknown(Finding::unreadable(&cause, message));
            }
        };
        let has = |field: &str| document.get(field).is_some();
        match (has("routes"), has("number")) {
            (true, _) => Self::Routes,
            (false, true) => Self::Ticket,
            (false, false) => {
                let message = "can be read neither as a ticket, which has 'number', nor as a route table, which has 'routes'";
                Self::Unknown(Finding::new(FindingKind::Refused, Place::default(), message))
            }
        }
    }
}
