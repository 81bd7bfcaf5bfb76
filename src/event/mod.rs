//! Numbered events, ordered by a hybrid logical clock and kept in memory and on disk in bounded
//! space.
//!
//! The clock follows Kulkarni and others, "Logical Physical Clocks and Consistent Snapshots in
//! Globally Distributed Databases" (2014): a new timestamp is later than all that the clock has
//! seen.

mod event_file;
mod hybrid_clock;
mod journal;
mod kind;
mod log_loop;
mod page;
mod query;
mod record;
mod ring_buffer;
mod timestamp;

pub use event_file::EventFile;
pub use hybrid_clock::{ClockDriftError, HybridClock, MAX_DRIFT_MS};
pub use journal::Journal;
pub use kind::Event;
pub use log_loop::{run_log_loop, stall_duration};
pub use page::EventPage;
pub use query::EventQuery;
pub use record::EventRecord;
pub use timestamp::Timestamp;
