//! The control group's replicated state: configuration, tickets, fencing numbers, router leases.

mod command;
mod config;
mod evidence;
mod learned;
mod lease_table;
mod model;
mod order;
mod organisation;
mod rollout;
mod service;
mod state;
mod summary;
mod ticket;
mod ticket_book;
mod validate;
mod version;

pub use command::{ControlCommand, ControlOutcome};
pub use config::Config;
pub use evidence::{BETS, Evidence, Signal, SignalTest};
pub use learned::{Learned, LearnedEntry, StatKey};
pub use lease_table::{LeaseTable, Router};
pub use model::Model;
pub use order::{EngineState, Order, OrderKind, plan_orders};
pub use organisation::{Exhausted, KeyHash, KindRoute, KindRule, ModelGrant, Organisation};
pub use rollout::{Rollout, RolloutStatus};
pub use service::{Repeat, Service};
pub use state::ControlState;
pub use summary::{Counted, KEYS, Summary, SummaryChange};
pub use ticket::{ObjectName, Ticket, TicketAnswer, TicketDigest, TicketRecord, TicketRefusal};
pub use ticket_book::TICKETS_KEPT;
pub use version::{Price, Version, VersionState};
