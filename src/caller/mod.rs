//! The HTTP front for callers.

mod body;
mod front;
mod read;
mod respond;

pub use front::serve;
pub use respond::json;
