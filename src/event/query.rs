use super::{EventPage, EventRecord, Stamp};
use crate::name::{RequestId, SessionName, VersionKey, VmName};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::{BTreeMap, HashSet};

/// Events that one daemon gives at most.
const PAGE_EVENTS: usize = 5_000;

/// Which events to select; an unset field selects all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventQuery {
    /// Events of one request.
    pub request: Option<RequestId>,
    /// Events of one ticket.
    pub ticket: Option<u64>,
    /// Events of one version.
    pub version: Option<VersionKey>,
    /// Events of one session, with all events of its requests.
    pub session: Option<SessionName>,
    /// Events of one VM.
    pub vm: Option<VmName>,
    /// Events at or after this time, in milliseconds since the epoch.
    pub since: Option<u64>,
    /// Events before this time, in milliseconds since the epoch.
    pub until: Option<u64>,
    /// Events of one number of the catalogue.
    pub number: Option<u16>,
    /// Events of one name of the catalogue.
    pub name: Option<String>,
    /// At most this many of the newest.
    pub most: Option<u32>,
    /// For each VM, only events behind this stamp.
    pub after: BTreeMap<VmName, Stamp>,
}

impl EventQuery {
    /// The selected ones of a daemon's records, oldest first, at most 5,000 of the newest.
    pub fn select<R>(&self, records: &[R]) -> EventPage
    where
        R: Borrow<EventRecord>,
    {
        let requests = self.requests_of_session(records);
        let chosen = records.iter().map(Borrow::borrow).filter(|r| self.selects(r, &requests));
        let chosen: Vec<&EventRecord> = chosen.collect();
        let most = self.most.map_or(PAGE_EVENTS, |most| PAGE_EVENTS.min(most as usize));
        let skipped = chosen.len().saturating_sub(most);
        let events = chosen.into_iter().skip(skipped).cloned().collect();
        EventPage { events, truncated: skipped > 0 }
    }

    fn requests_of_session<R>(&self, records: &[R]) -> HashSet<RequestId>
    where
        R: Borrow<EventRecord>,
    {
        if self.session.is_none() {
            return HashSet::new();
        }
        let events = records.iter().map(|record| &record.borrow().event);
        let own = events.filter(|event| event.session() == self.session.as_ref());
        own.filter_map(|event| event.request()).collect()
    }

    fn selects(&self, record: &EventRecord, requests: &HashSet<RequestId>) -> bool {
        self.selects_place(record) && self.selects_event(record, requests)
    }

    fn selects_place(&self, record: &EventRecord) -> bool {
        let millis = record.at.millis;
        self.since.is_none_or(|since| millis >= since)
            && self.until.is_none_or(|until| millis < until)
            && self.vm.as_ref().is_none_or(|vm| *vm == record.vm)
            && self.after.get(&record.vm).is_none_or(|stamp| record.at > *stamp)
    }

    fn selects_event(&self, record: &EventRecord, requests: &HashSet<RequestId>) -> bool {
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
