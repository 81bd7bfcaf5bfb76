//! One consensus group as a pure state machine: no I/O, no clock, no threads.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote
//! (section 9.6), a leader lease (section 6.4.1) and one-at-a-time membership changes (section 4.2).
//! Inputs are messages, ticks, proposals and [`Core::persisted`]; outputs are gathered by
//! [`Core::take_output`]. Time is a duration since the process started.

mod core;
mod election;
mod entry;
mod leader;
mod log;
mod member;
mod message;
mod output;
mod progress;
mod replication;
mod snapshot_part;
mod timing;

pub use core::{Core, ProposeError, Role, Yielding};
pub use entry::{Entry, HardState, Payload, Snapshot};
pub use log::Log;
pub use member::{Member, MemberId, Members};
pub use message::{Body, Message};
pub use output::Output;
pub use progress::{Installing, Progress};
pub use snapshot_part::SnapshotPart;
pub use timing::Timing;
