//! The decisions, as pure code: which version, which replica, whom to admit.

mod choose;
mod replica;

pub use choose::{Choice, ChooseError, Wish, choose, share_point};
pub use replica::{Candidate, pick_replica};
