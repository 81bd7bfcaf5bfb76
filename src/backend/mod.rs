//! Calls to engines, plain services and the rating service.

mod cache_events;
mod chunk;
mod connections;
mod engine;
mod event_stream;
mod guard;
mod load;
mod rating;

pub use cache_events::{CacheChange, CacheEvent, cache_events};
pub use connections::{Connections, Lent, SendError};
pub use engine::{EngineCall, Usage, WholeAnswer, estimate_tokens};
pub use event_stream::{Cut, EventStream, StreamError};
pub use guard::{Guard, GuardedStream, Permit};
pub use load::{LoadReport, LoadSink, LoadTable};
pub use rating::{Rating, rate};
