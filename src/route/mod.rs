//! The life of one request: admission, session pinning, claiming, attempts at backend servers,
//! relaying, billing and the answer to the caller.

mod admission;
mod answer;
mod attempt;
mod cascade;
mod chat;
mod claimed_call;
mod evacuation_check;
mod lease;
mod ledger_client;
mod permit;
mod rating_health;
mod refusal;
mod relay;
mod request;
mod request_counter;
mod retry_budgets;
mod router;
mod server_tracker;
mod service_call;
mod unsent;
mod version_selector;

pub use admission::{Admission, AdmissionPermit, AdmissionRequest};
pub use answer::{Answer, BufferedAnswer, StreamItem};
pub use evacuation_check::EvacuationCheck;
pub use lease::RouterLease;
pub use ledger_client::LedgerClient;
pub use permit::{WorkPermit, WorkTarget};
pub use refusal::{Ran, Refusal, RefusalCode};
pub use request::{ChatRequest, RequestMeta, ServiceRequest};
pub use request_counter::RequestCounter;
pub use retry_budgets::RetryBudgets;
pub use router::Router;
pub use server_tracker::{ServerCall, ServerTracker};
pub use unsent::Unsent;
pub use version_selector::{AttemptOutcome, VersionSelector};
