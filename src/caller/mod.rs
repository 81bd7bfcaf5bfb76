//! The HTTP front for callers.

mod body;
mod front;
mod presence;
mod read;
mod respond;
mod service_path;

pub use front::serve;
pub use respond::json;
