//! A ledger group's replicated state: session pins, claims on at-most-once calls with their stored
//! answers, and bills.

mod bill;
mod claim;
mod command;
mod expiry_queue;
mod organisation_records;
mod pin;
mod retention;
mod state;

pub use bill::{Bill, BillSum};
pub use claim::{Claim, ClaimState, StoredAnswer};
pub use command::{LedgerCommand, LedgerOutcome};
pub use pin::{Pin, PinState};
pub use retention::Retention;
pub use state::LedgerState;
