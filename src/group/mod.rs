//! Runs one replicated group: a thread that drives the [`crate::consensus::Raft`] state machine,
//! sends its messages and applies committed entries, and a second thread that syncs its writes.

mod driver;
mod group_id;
mod handle;
mod replicated_state;
mod shared;
mod store_thread;
mod time;
mod write_retry;

pub use group_id::GroupId;
pub use handle::Group;
pub use replicated_state::{ReplicatedState, StateDecodeError};
pub use shared::{Envelope, GroupOptions, GroupStatus, SubmitError};
pub use time::since_start;
