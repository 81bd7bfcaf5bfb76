//! Routing decisions without I/O: choice of model and version, cascades, tests of versions, server
//! choice, admission and retry budgets.

mod choose;
mod circuit_breaker;
mod concurrency_limit;
mod escalation;
mod fair_queue;
mod fleet_stats;
mod geometric_mean;
mod kind_key;
mod limit_report;
mod local_limits;
mod model_ref;
mod own_share;
mod paced_bucket;
mod part_suspicion;
mod pick_server;
mod pool_retry_budget;
mod pool_rollout;
mod prefix_table;
mod quality_estimate;
mod retry_budget;
mod return_schedule;
mod rollout_step;
mod routing_plan;
mod server_stats;
mod server_view;
mod service_rate;
mod shared_limits;
mod signal_test;
mod silent_server;
mod stat_delta;
mod stats_aggregator;
mod tally;
mod version_monitor;
mod warm_up;
mod weights;

pub use choose::{ChooseError, ShareDraw, VersionChoice, choose, rollout_point};
pub use circuit_breaker::CircuitBreaker;
pub use concurrency_limit::ConcurrencyLimit;
pub use escalation::accepts_answer;
pub use fair_queue::{FairQueue, PushOutcome};
pub use fleet_stats::{Epoch, FleetStats, FleetStatsChange, SamplingParams, VersionFlags};
pub use geometric_mean::GeometricMean;
pub use kind_key::KindKey;
pub use limit_report::{
    HeardLimit, KnownLimit, LimitAsk, LimitDemand, LimitNews, LimitPosition, ServerPace,
    TokenCount, TurnPlace, WarmingServers,
};
pub use local_limits::{Admission, LocalLimits, SendToken};
pub use model_ref::ModelRef;
pub use own_share::OwnShare;
pub use paced_bucket::PacedBucket;
pub use part_suspicion::{Convict, PartSuspicion, RunEnd};
pub use pick_server::{BalancePolicy, ServerCandidate, pick_server};
pub use pool_retry_budget::PoolRetryBudget;
pub use pool_rollout::{is_canary, next_pool_rollout, rollback_reason, rollout_evidence};
pub use prefix_table::{PrefixKeys, PrefixTable};
pub use quality_estimate::QualityEstimate;
pub use retry_budget::RetryBudget;
pub use return_schedule::ReturnSchedule;
pub use rollout_step::{StepStart, next_step};
pub use routing_plan::{ChoiceContext, RoutingPlan};
pub use server_stats::{LoadEstimate, ServerStats};
pub use server_view::ServerView;
pub use service_rate::ServiceRate;
pub use shared_limits::{SILENT_AFTER, SharedLimits};
pub use signal_test::ObservationBatch;
pub use silent_server::{ResponseTimes, SilenceBudget};
pub use stat_delta::{CountReport, StatDelta};
pub use stats_aggregator::{BadVersion, StatsAggregator};
pub use tally::Tally;
pub use version_monitor::{Baseline, VersionMonitor};
pub use warm_up::WarmUps;
pub use weights::Weights;
