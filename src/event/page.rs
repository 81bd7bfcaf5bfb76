use super::EventRecord;

/// Events that one daemon selected.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EventPage {
    /// The events, oldest first.
    pub events: Vec<EventRecord>,
    /// Whether older ones were left out because there are too many.
    pub truncated: bool,
}
