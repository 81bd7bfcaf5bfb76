use super::EventRecord;

/// Events of one daemon that match a query.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EventPage {
    /// The events, oldest first.
    pub events: Vec<EventRecord>,
    /// Whether older matching events were omitted because of the limit.
    pub truncated: bool,
}
