//! Servers that say how many calls they can turn away in a second before they fall.
//!
//! One that turns a call away counts as one that names a limit, as long as it does: all routers keep to
//! that together. Then even if it turned away everything, it could bear it.

use super::server_table::ServerState;
use super::{NamedLimit, ResponseHead};
use http::StatusCode;
use std::time::Duration;

/// The rate of a server without room, as a fraction of what it can turn away. The rest is for calls
/// that were on their way.
const LIMIT_FRACTION: f64 = 0.5;
/// How long the limit holds after a call was turned away.
const HOLD: Duration = Duration::from_secs(1);

/// What a response says of the rate of calls that its server takes.
pub fn named_limit(server: &ServerState, head: &ResponseHead, status: StatusCode) -> NamedLimit {
    let Some(bears) = head.brittle else { return head.limit };
    let turned_away = head.not_executed && status == StatusCode::SERVICE_UNAVAILABLE;
    if turned_away {
        server.record_turned_away();
    }
    match (turned_away, head.limit) {
        (true, NamedLimit::PerSecond(limit)) => {
            NamedLimit::PerSecond(limit.min(bears * LIMIT_FRACTION))
        }
        (true, _) => NamedLimit::PerSecond(bears * LIMIT_FRACTION),
        (false, NamedLimit::Absent) if server.has_turned_away(HOLD) => NamedLimit::Unchanged,
        (false, limit) => limit,
    }
}
