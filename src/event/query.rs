use super::EventRecord;
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use serde::{Deserialize, Serialize};

/// Which events to select; an unset field selects all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EventQuery {
    /// Events of one request.
    pub request: Option<RequestId>,
    /// Events of one ticket.
    pub ticket: Option<u64>,
    /// Events of one version.
    pub version: Option<VersionKey>,
    /// Events of one session.
    pub session: Option<SessionName>,
    /// Events of one VM.
    pub vm: Option<VmName>,
    /// Events at or after this time, in milliseconds since the epoch.
    pub since: Option<u64>,
}

impl EventQuery {
    /// Whether the record is selected.
    pub fn selects(&self, record: &EventRecord) -> bool {
        let event = &record.event;
        if self.request.is_some() && event.request() != self.request {
            return false;
        }
        if self.ticket.is_some() && event.ticket() != self.ticket {
            return false;
        }
        if self.version.is_some() && event.version() != self.version.as_ref() {
            return false;
        }
        if self.session.is_some() && event.session() != self.session.as_ref() {
            return false;
        }
        if self.vm.as_ref().is_some_and(|vm| *vm != record.vm) {
            return false;
        }
        self.since.is_none_or(|since| record.at.millis >= since)
    }
}
