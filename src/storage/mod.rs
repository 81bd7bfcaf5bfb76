//! Durable state in a daemon's data folder: identity, write-ahead logs and snapshots.
//!
//! A record is durable once [`GroupStore::sync`] has returned. An incomplete frame at the end of a
//! log is removed when the log is opened. An invalid frame before the end is an error, because
//! acknowledged entries may follow it.

mod error;
mod folder;
mod frame;
mod group_store;
mod identity;
mod log_writer;
mod recovery;

pub use error::StorageError;
pub use folder::DataFolder;
pub use group_store::{GroupStore, SnapshotFile};
pub use identity::StoredIdentity;
pub use log_writer::LogWriter;
pub use recovery::RecoveredState;
