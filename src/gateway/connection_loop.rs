//! Tells the leader what this router uses and needs of the connections that servers accept, and
//! learns its parts of them.

use super::Gateway;
use super::leader_loop::{LeaderConnection, await_leader, pause};
use crate::control::RouterId;
use crate::group::since_start;
use crate::peer::{ConnectionReport, ConnectionResponse, Dialed, ProtocolVersion};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::watch;

/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a router reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval of reports, while calls wait for connections.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);
/// How often connections beyond the parts are looked for: a part may end without a word.
const TRIM_INTERVAL: Duration = Duration::from_millis(250);

/// Reports in an endless loop.
pub async fn share_connections(
    gateway: Arc<Gateway>,
    router: RouterId,
    mut connection: watch::Receiver<LeaderConnection>,
) {
    while let Some(dialed) = await_leader(&mut connection, ProtocolVersion::CONNECTION_PARTS).await
    {
        let counted = !gateway.limits_connections() || share_once(&gateway, &router, &dialed).await;
        pause(counted).await;
        if counted {
            tokio::time::sleep(URGENT_INTERVAL).await;
            // A timeout only means that no call has waited.
            let waited = gateway.shares.wanted.notified();
            let _ = tokio::time::timeout(REPORT_INTERVAL - URGENT_INTERVAL, waited).await;
        }
    }
}

/// Keeps to the parts in an endless loop.
pub async fn keep_to_parts(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(TRIM_INTERVAL).await;
        gateway.trim_connections();
    }
}

/// Sends one report. Returns whether the leader has counted it.
pub async fn share_once(gateway: &Gateway, router: &RouterId, dialed: &Dialed) -> bool {
    let asked_at = since_start();
    // Not the newest number: a new leader that has counted few routers would be told its own low count again.
    let fleet = gateway.shares.fleet();
    let pools = gateway.connection_use();
    let report = ConnectionReport { router: router.clone(), fleet, pools };
    let mut context = context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    match dialed.client.share_connections(context, report).await {
        Ok(ConnectionResponse::Known { parts }) => {
            gateway.set_connection_parts(asked_at, parts);
            true
        }
        Ok(ConnectionResponse::NotLeader { .. }) => false,
        Err(error) => {
            log::info!("report on connections failed: {error}");
            false
        }
    }
}
