//! Numbered events with a hybrid logical clock, kept in a bounded ring.
//!
//! The clock follows Kulkarni and others, "Logical Physical Clocks and Consistent Snapshots in
//! Globally Distributed Databases" (2014): a reading never runs behind one that it has seen.

mod clock;
mod journal;
mod kind;
mod query;
mod record;

pub use clock::{Clock, Stamp};
pub use journal::Journal;
pub use kind::Event;
pub use query::EventQuery;
pub use record::EventRecord;
