//! The control group's replicated state (configuration, tickets, fencing numbers, statistics) and
//! the leader's table of router leases.

mod answer_stats;
mod blocked_parts;
mod call_kind;
mod caller_limits;
mod command;
mod config;
mod configured_route;
mod evidence;
mod fault;
mod lease_table;
mod model;
mod operator_order;
mod order;
mod order_log;
mod organisation;
mod pool_rollout;
mod pool_spec;
mod pool_versions;
mod region_rules;
mod rollout;
mod route_organisation;
mod route_table;
mod service;
mod state;
mod stats_summary;
mod suspect;
mod ticket;
mod ticket_history;
mod validate;
mod version;

pub use answer_stats::{AnswerStats, AnswerStatsEntry, StatKey};
pub use blocked_parts::{BlockedPart, BlockedParts};
pub use call_kind::CallKind;
pub use caller_limits::CallerLimits;
pub use command::{ControlCommand, ControlOutcome};
pub use config::Config;
pub use configured_route::{ConfiguredRoute, PoolShare};
pub use evidence::{BET_COUNT, Evidence, Signal, SignalTest};
pub use fault::{FaultBasis, TableEntry, TableFault, TicketFault};
pub use lease_table::{LeaseTable, RouterId};
pub use model::Model;
pub use operator_order::OperatorOrder;
pub use order::{EngineState, Order, OrderKind, plan_orders};
pub use organisation::{FallbackPolicy, KeyHash, KindRule, ModelGrant, Organisation, RoutingMode};
pub use pool_rollout::{PoolRollout, PoolRolloutStatus};
pub use pool_spec::{EngineSpec, PoolSpec, PricedModel};
pub use pool_versions::PoolVersions;
pub use region_rules::{AllowedRegions, RegionRules, RegionScope};
pub use rollout::{Rollout, RolloutStatus};
pub use route_organisation::RouteOrganisation;
pub use route_table::RouteTable;
pub use service::{RetryPolicy, Service};
pub use state::ControlState;
pub use stats_summary::{LastReport, MAX_STAT_KEYS, StatsSummary, StatsSummaryChange};
pub use suspect::Suspect;
pub use ticket::{
    ObjectName, Ticket, TicketAnswer, TicketDigest, TicketFormatError, TicketRecord, TicketRefusal,
};
pub use ticket_history::MAX_TICKET_RECORDS;
pub use version::{Price, Version, VersionState};
