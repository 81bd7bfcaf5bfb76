use super::{Event, Timestamp};
use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An event with its time and VM.
///
/// Daemons exchange events as JSON text, because [`Event`] is internally tagged, which postcard
/// cannot decode.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Timestamp of the hybrid logical clock.
    pub at: Timestamp,
    /// VM on which the event happened.
    pub vm: VmName,
    /// Number of the event in docs/EVENTS.md.
    pub number: u16,
    /// The event with its fields.
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
