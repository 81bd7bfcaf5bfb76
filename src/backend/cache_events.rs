use super::Connections;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What became of blocks of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// They are cached.
    Stored,
    /// They were dropped.
    Dropped,
}

/// One event of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one from event to event; a jump means that events are missing.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
    /// Hashes of the blocks, as [`crate::policy::PrefixKeys`] makes them.
    pub blocks: Vec<u64>,
}

/// Asks an engine for the cache events behind a number; `None` where it publishes none.
pub async fn cache_events(
    connections: &Connections,
    address: SocketAddr,
    after: u64,
) -> Option<Vec<CacheEvent>> {
    let bytes = connections.get(address, &format!("/v1/cache-events?after={after}")).await?;
    serde_json::from_slice(&bytes).ok()
}
