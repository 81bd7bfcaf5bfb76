//! Real daemons and fakes as child processes, for integration tests and the demo.

#![allow(dead_code, missing_docs, unused_imports, reason = "each test uses a part of it")]

pub mod checker;
pub mod fleet;
pub mod http;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod scripted;
pub mod setup;
pub mod ticket;

pub use fleet::Fleet;
pub use plan::Plan;
