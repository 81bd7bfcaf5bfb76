//! Runs one consensus group: a thread that steps the pure core, syncs, sends and applies.

mod driver;
mod group_id;
mod handle;
mod replicated;
mod time;

pub use group_id::GroupId;
pub use handle::{Envelope, Group, GroupOptions, GroupStatus, SubmitError};
pub use replicated::{Replicated, ReplicatedError};
pub use time::since_start;
