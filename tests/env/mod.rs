//! Runs real daemons and fake backend servers as child processes, for integration tests, the demo
//! and the benchmarks.

#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test or example uses only a part of this module"
)]

pub mod checker;
pub mod fleet;
pub mod fleet_spec;
pub mod http;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod scripted;
pub mod setup;
pub mod ticket;

pub use fleet::Fleet;
pub use fleet_spec::FleetSpec;
