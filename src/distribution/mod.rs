//! Distribution of the configuration and the VM list from the leader to the routers.
//!
//! Both are sets of entries. The leader encodes each change once and keeps it in a log; a router
//! reads the log from the state that it has, in chunks, and verifies a digest of the result. Only a
//! router whose state the log does not reach back to reads a snapshot first.

mod change;
mod change_log;
mod config_entry;
mod config_set;
mod content_digest;
mod entry_set;
mod published;
mod publisher;
mod receiver;
mod router_state;

pub use change::Change;
pub use change_log::{CHUNK_BYTES, ChangeLog, Chunk, FIRST_CHUNK_BYTES, Position};
pub use config_entry::{ConfigEntry, ConfigHeader, ConfigKey, TableHeader};
pub use config_set::{ConfigSet, config_entries, config_from_entries};
pub use content_digest::ContentDigest;
pub use entry_set::{ApplyError, EntrySet};
pub use published::Published;
pub use publisher::Publisher;
pub use receiver::{Receiver, TransferError};
pub use router_state::{ReceiveError, RouterState, VmSet};
