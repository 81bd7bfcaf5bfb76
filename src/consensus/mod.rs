//! One member of a consensus group as a pure state machine: no I/O, no clock, no threads.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote
//! (section 9.6), leader leases (section 6.4.1) and single-server membership changes (section 4.2).
//!
//! The caller passes in messages, ticks and proposals, reports completed syncs with
//! [`Raft::on_persisted`], and collects the resulting work with [`Raft::take_output`]. Points in
//! time are durations since process start.

mod election;
mod entry;
mod leader;
mod log;
mod member;
mod message;
mod output;
mod progress;
mod raft;
mod replication;
mod snapshot_chunk;
mod timing;
mod write_queue;

pub use entry::{Entry, HardState, Payload, Snapshot};
pub use log::Log;
pub use member::{Member, MemberId, Members};
pub use message::{Message, MessageBody};
pub use output::Output;
pub use progress::{OutgoingSnapshot, Progress};
pub use raft::{LeadershipTransfer, ProposeError, Raft, Role};
pub use snapshot_chunk::SnapshotChunk;
pub use timing::Timing;
pub use write_queue::WriteNumber;
use write_queue::WriteQueue;
