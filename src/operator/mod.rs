//! HTTP APIs for operators, timelines of events, and explanations of them.

mod explain;
mod http_server;
mod operator_format;
mod order_body;
mod timeline;

pub use explain::{ExplainTarget, Explanation, explain};
pub use http_server::serve;
pub use operator_format::{OperatorError, OperatorFormat, serve_with_format};
pub use timeline::{Timeline, collect_timeline};
