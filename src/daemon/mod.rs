//! The daemon: everything put together, its duties as leader, its start and its stop.

mod lead;
mod learn;
mod lease_loop;
mod ledger_care;
mod membership;
mod membership_plan;
mod node;
mod operate;
mod orders;
mod peer_server;
mod pool_rollouts;
mod pools;
mod rollouts;
mod start;
mod stop;
mod voter;

pub use membership_plan::{MembershipStep, MembershipView, Seen};
pub use node::Node;
pub use start::run;
pub use voter::run_voter;
