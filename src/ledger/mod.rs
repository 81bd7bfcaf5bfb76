//! A ledger group's replicated state: session pins, claims, bills and stored answers.

mod bill;
mod claim;
mod command;
mod state;

pub use bill::{Bill, BillSum};
pub use claim::{Claim, ClaimState, StoredAnswer};
pub use command::{LedgerCommand, LedgerOutcome};
pub use state::LedgerState;
