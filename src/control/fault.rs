use super::ObjectName;
use thiserror::Error;

/// An entry of a route table, by its place in its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableEntry {
    /// A route.
    Route(usize),
    /// A pool.
    Pool(usize),
    /// An organisation.
    Organisation(usize),
    /// The limits on callers.
    Limits,
}

/// A reason why a route table is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text}")]
pub struct TableFault {
    /// The entry that is wrong.
    pub entry: TableEntry,
    /// What is wrong, and what to try.
    pub text: String,
}

/// What shows that a ticket is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultBasis {
    /// The ticket alone.
    Ticket,
    /// The ticket together with objects that it does not hold.
    OtherObjects,
}

/// A reason why a ticket is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text}")]
pub struct TicketFault {
    /// The object that is wrong; `None` for the ticket itself.
    pub object: Option<ObjectName>,
    /// What shows it.
    pub basis: FaultBasis,
    /// What is wrong.
    pub text: String,
}
