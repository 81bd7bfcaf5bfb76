//! Exchanges with the leader of the control group, on the connection that the lease is renewed on.

use crate::peer::{Dialed, ProtocolVersion};
use std::time::Duration;
use tokio::sync::watch;

/// Delay after a report that was not counted.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The shortest interval between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// The connection to the leader; `None` without one.
pub type LeaderConnection = Option<Dialed>;

/// Waits for a leader of this version or a newer one; `None` once the daemon ends.
pub async fn await_leader(
    connection: &mut watch::Receiver<LeaderConnection>,
    version: ProtocolVersion,
) -> Option<Dialed> {
    let is_usable =
        |dialed: &LeaderConnection| dialed.as_ref().is_some_and(|peer| peer.version >= version);
    connection.wait_for(is_usable).await.ok()?.clone()
}

/// Waits until the next report may be sent, longer if the last one was not `counted`.
pub async fn pause(counted: bool) {
    let delay = if counted { MIN_INTERVAL } else { MIN_INTERVAL + RETRY_DELAY };
    tokio::time::sleep(delay).await;
}
