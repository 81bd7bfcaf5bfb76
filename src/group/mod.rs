//! Runs one replicated group: a thread that drives the [`crate::consensus::Raft`] state machine,
//! syncs its writes to disk, sends its messages and applies committed entries.

mod driver;
mod group_id;
mod handle;
mod replicated_state;
mod time;

pub use group_id::GroupId;
pub use handle::{Envelope, Group, GroupOptions, GroupStatus, SubmitError};
pub use replicated_state::{ReplicatedState, StateDecodeError};
pub use time::since_start;
