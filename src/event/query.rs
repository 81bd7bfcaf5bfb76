use super::{EventPage, EventRecord, Timestamp};
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::{BTreeMap, HashSet};

/// Largest number of events that one daemon returns.
const MAX_PAGE_EVENTS: usize = 5_000;

/// Conditions that events must meet; an unset field matches all events.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventQuery {
    /// Events of one request.
    pub request: Option<RequestId>,
    /// Events of one ticket.
    pub ticket: Option<u64>,
    /// Events of one version.
    pub version: Option<VersionKey>,
    /// Events of one session, including all events of its requests.
    pub session: Option<SessionName>,
    /// Events of one VM.
    pub vm: Option<VmName>,
    /// Events at or after this time, in milliseconds since the Unix epoch.
    pub since: Option<u64>,
    /// Events before this time, in milliseconds since the Unix epoch.
    pub until: Option<u64>,
    /// Events with this number of docs/EVENTS.md.
    pub number: Option<u16>,
    /// Events with this name of docs/EVENTS.md.
    pub name: Option<String>,
    /// Return only the newest events, at most this many.
    #[serde(rename = "most")]
    pub limit: Option<u32>,
    /// For each VM, only events after this timestamp.
    pub after: BTreeMap<VmName, Timestamp>,
}

impl EventQuery {
    /// Returns the matching ones of a daemon's records, oldest first, at most the newest 5,000.
    pub fn select<R>(&self, records: &[R]) -> EventPage
    where
        R: Borrow<EventRecord>,
    {
        let requests = self.session_requests(records);
        let matching = records.iter().map(Borrow::borrow).filter(|r| self.matches(r, &requests));
        let matching: Vec<&EventRecord> = matching.collect();
        let limit = self.limit.map_or(MAX_PAGE_EVENTS, |limit| MAX_PAGE_EVENTS.min(limit as usize));
        let skipped = matching.len().saturating_sub(limit);
        let events = matching.into_iter().skip(skipped).cloned().collect();
        EventPage { events, truncated: skipped > 0 }
    }

    /// Returns the requests of the session in the query; empty if it specifies none.
    fn session_requests<R>(&self, records: &[R]) -> HashSet<RequestId>
    where
        R: Borrow<EventRecord>,
    {
        if self.session.is_none() {
            return HashSet::new();
        }
        let events = records.iter().map(|record| &record.borrow().event);
        let session_events = events.filter(|event| event.session() == self.session.as_ref());
        session_events.filter_map(|event| event.request()).collect()
    }

    fn matches(&self, record: &EventRecord, requests: &HashSet<RequestId>) -> bool {
        self.matches_time_and_vm(record) && self.matches_event(record, requests)
    }

    fn matches_time_and_vm(&self, record: &EventRecord) -> bool {
        let millis = record.at.millis;
        self.since.is_none_or(|since| millis >= since)
            && self.until.is_none_or(|until| millis < until)
            && self.vm.as_ref().is_none_or(|vm| *vm == record.vm)
            && self.after.get(&record.vm).is_none_or(|stamp| record.at > *stamp)
    }

    fn matches_event(&self, record: &EventRecord, requests: &HashSet<RequestId>) -> bool {
        let event = &record.event;
        if self.number.is_some_and(|number| number != record.number) {
            return false;
        }
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
            let belongs = event.request().is_some_and(|request| requests.contains(&request));
            if !belongs {
                return false;
            }
        }
        self.name.as_ref().is_none_or(|name| *name == event.name())
    }
}
