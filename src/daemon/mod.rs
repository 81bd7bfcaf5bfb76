//! The daemon process: startup, shutdown, the server for other daemons, and the background tasks of
//! routers and leaders.

mod bills;
mod connection_parts;
mod deadly_parts;
mod departures;
mod evacuations;
mod formation;
mod group_health;
mod health_watch;
mod helpers;
mod leader_leases;
mod leader_pools;
mod leader_question;
mod lease_renewal;
mod ledger_maintenance;
mod membership;
mod membership_plan;
mod no_answer;
mod node;
mod operator_requests;
mod orders;
mod peer_server;
mod pool_rollouts;
mod refused_routers;
mod renewals;
mod rollouts;
mod router_reports;
mod server_limits;
mod start;
mod stop;
mod voter;
mod wait;
mod warm_up_rates;

pub use formation::Formation;
pub use group_health::{GroupHealth, MembershipPlan, SeenDaemon, SilentVoter};
pub use health_watch::HealthWatch;
pub use leader_question::Patience;
pub use membership_plan::{KnownVm, MembershipStep, MembershipView, voter_heard};
pub use no_answer::NoAnswer;
pub use node::Node;
pub use refused_routers::RefusedRouters;
pub use start::run;
pub use voter::run_voter;
