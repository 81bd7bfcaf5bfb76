//! Durable state under one data folder: identity, write-ahead logs and snapshots.
//!
//! A record lasts once [`GroupStore::sync`] has returned. A torn tail is cut at open; a bad record
//! before the tail is refused, since entries that were acknowledged may lie behind it.

mod error;
mod folder;
mod frame;
mod group_store;
mod identity;
mod media;
mod recovery;

pub use error::StorageError;
pub use folder::DataFolder;
pub use group_store::{GroupStore, SnapshotFile};
pub use identity::Identity;
pub use media::Media;
pub use recovery::Recovered;
