//! The daemon: everything put together, its duties as leader, its start and its stop.

mod lead;
mod learn;
mod lease_loop;
mod ledger_care;
mod membership;
mod node;
mod operate;
mod peer_server;
mod rollouts;
mod start;
mod stop;

pub use node::Node;
pub use start::run;
