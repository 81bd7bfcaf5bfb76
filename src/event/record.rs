use super::{Event, Stamp};
use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An event with the time and VM at which it happened.
///
/// Events travel between daemons as JSON text, since [`Event`] is internally tagged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The reading of the hybrid logical clock.
    pub at: Stamp,
    /// The VM on which it happened.
    pub vm: VmName,
    /// The event's number in docs/EVENTS.md.
    pub number: u16,
    /// What happened.
    pub event: Event,
}

impl fmt::Display for EventRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let body = serde_json::to_value(&self.event).unwrap_or_default();
        let kind = body.get("name").and_then(|name| name.as_str()).unwrap_or("unknown");
        write!(f, "{} {} {:03} {kind}", self.at, self.vm, self.number)?;
        let Some(fields) = body.as_object() else { return Ok(()) };
        for (key, value) in fields.iter().filter(|(key, _)| *key != "name") {
            match value.as_str() {
                Some(text) => write!(f, " {key}={text}")?,
                None => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}
