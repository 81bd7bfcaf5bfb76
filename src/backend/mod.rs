//! Calls to engines, plain services and the rating service.

mod connections;
mod engine;
mod event_stream;
mod guard;
mod load;
mod rating;

pub use connections::{Connections, SendError};
pub use engine::{EngineCall, Usage, usage_of};
pub use event_stream::EventStream;
pub use guard::{Guard, GuardedStream, Permit};
pub use load::{LoadReport, LoadTable};
pub use rating::{Rating, rate};
