//! A ledger group's replicated state: session pins, claims, bills and stored answers.

mod ages;
mod bill;
mod book;
mod claim;
mod command;
mod pin;
mod retention;
mod state;

pub use bill::{Bill, BillSum};
pub use claim::{Claim, ClaimState, StoredAnswer};
pub use command::{LedgerCommand, LedgerOutcome};
pub use pin::{Pin, PinState};
pub use retention::Retention;
pub use state::LedgerState;
