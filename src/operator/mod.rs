//! The HTTP front for operators.

mod explain;
mod front;
mod timeline;

pub use explain::{Explanation, Subject, explain};
pub use front::serve;
pub use timeline::{Timeline, collect};
