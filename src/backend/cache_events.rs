use super::ConnectionPool;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How blocks of an engine's prefix cache have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were evicted.
    Dropped,
}

/// A change of an engine's prefix cache, as the engine publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, one more than that of the previous event; a gap means lost events.
    pub number: u64,
    /// Whether the blocks were added or evicted.
    pub change: CacheChange,
    /// Hashes of the blocks, computed as by [`crate::policy::PrefixKeys`].
    pub blocks: Vec<u64>,
}

/// Fetches an engine's cache events with numbers above `after`; `None` if the engine publishes none
/// or does not answer.
pub async fn fetch_cache_events(
    connections: &ConnectionPool,
    address: SocketAddr,
    after: u64,
) -> Option<Vec<CacheEvent>> {
    let bytes = connections.get(address, &format!("/v1/cache-events?after={after}")).await?;
    serde_json::from_slice(&bytes).ok()
}
