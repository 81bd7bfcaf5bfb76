//! The decisions, as pure code: which version, which replica, whom to admit.

mod choose;
mod fair_queue;
mod health;
mod limit;
mod prefix;
mod replica;
mod retry_budget;
mod server_stats;
mod service_rate;

pub use choose::{Choice, ChooseError, Wish, choose, share_point};
pub use fair_queue::{FairQueue, Queued};
pub use health::Health;
pub use limit::Limit;
pub use prefix::{PrefixKeys, PrefixTable};
pub use replica::{Balance, Candidate, pick_replica};
pub use retry_budget::RetryBudget;
pub use server_stats::ServerStats;
pub use service_rate::ServiceRate;
