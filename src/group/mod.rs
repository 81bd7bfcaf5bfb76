//! Runs one replicated group: a thread that drives the [`crate::consensus::Raft`] state machine,
//! syncs its writes to disk, sends its messages and applies committed entries.

mod driver;
mod group_id;
mod handle;
mod replicated_state;
mod shared;
mod time;
mod write_retry;

pub use group_id::GroupId;
pub use handle::Group;
pub use replicated_state::{ReplicatedState, StateDecodeError};
pub use shared::{Envelope, GroupOptions, GroupStatus, SubmitError};
pub use time::since_start;
