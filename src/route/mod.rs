//! The life of one request: admit, pin, claim, attempt, relay, bill, answer.

mod admission;
mod answer;
mod attempt;
mod budgets;
mod cascade;
mod chat;
mod claimed_call;
mod counters;
mod learned;
mod lease;
mod ledger_client;
mod permit;
mod rating_health;
mod refusal;
mod relay;
mod request;
mod router;
mod servers;
mod service_call;
mod unsent;

pub use admission::{Admission, Demand, Place};
pub use answer::{Answer, StreamItem, Whole};
pub use budgets::Budgets;
pub use counters::Counters;
pub use learned::{Learner, Seen};
pub use lease::RouterLease;
pub use ledger_client::LedgerClient;
pub use permit::{Work, WorkPermit};
pub use refusal::{Ran, Refusal, RefusalCode};
pub use request::{ChatRequest, Meta, ServiceRequest};
pub use router::Router;
pub use servers::{ServerCall, Servers};
pub use unsent::Unsent;
