//! The HTTP front for operators.

mod explain;
mod front;
mod order_front;
mod timeline;

pub use explain::{Explanation, Subject, explain};
pub use front::serve;
pub use order_front::{OperatorFormat, OrderFault, serve_orders};
pub use timeline::{Timeline, collect};
