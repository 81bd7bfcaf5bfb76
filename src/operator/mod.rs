//! The HTTP front for operators.

mod explain;
mod front;
mod timeline;

pub use explain::explain;
pub use front::serve;
pub use timeline::{Timeline, collect};
