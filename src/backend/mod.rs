//! HTTP clients of the engines, the plain services and the rating service.

mod backend_body;
mod byte_budget;
mod cache_events;
mod chat_stream_parser;
mod chunk;
mod connection_pool;
mod engine;
mod gathered_bytes;
mod load;
mod rating;
mod server_room;
mod write_permit;

pub use backend_body::{BackendBody, BodyError};
pub use byte_budget::{ByteBudget, ByteShare};
pub use cache_events::{CacheChange, CacheEvent, fetch_cache_events};
pub use chat_stream_parser::{ChatStreamParser, ParsedEvents, StreamError};
pub use connection_pool::{ConnectionPool, PooledConnection, SendError};
pub use engine::{ChatCompletion, EngineCall, REQUEST_ID_HEADER, Usage, estimate_tokens};
pub use gathered_bytes::{GatheredBytes, NoRoom};
pub use load::{LoadReport, LoadSink, LoadedVersions};
pub use rating::{RatingRequest, request_rating};
pub use server_room::{ConnectionProof, ConnectionSlot, ServerRoom, ServerRooms};
pub use write_permit::{ExchangeState, PermitCheckedStream, WritePermit};

use http::StatusCode;

/// Whether a status can be that of an answer. A server in trouble may send others that have three digits, too.
pub fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The shard of a server's connections.
fn shard_of(server: std::net::SocketAddr, shards: usize) -> usize {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    (hasher.finish() % shards as u64) as usize
}
