//! Tells the leader of servers that turn cold, and learns the rates at which cold servers take calls.

use super::Gateway;
use super::leader_loop::{LeaderConnection, await_leader, pause};
use crate::control::RouterId;
use crate::group::since_start;
use crate::peer::{ColdReport, ColdResponse, Dialed, ProtocolVersion};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::watch;

/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a router asks for the rates and its place while it has nothing to report.
const ASK_INTERVAL: Duration = Duration::from_secs(2);

/// Reports and asks in an endless loop.
pub async fn share_cold(
    gateway: Arc<Gateway>,
    router: RouterId,
    mut connection: watch::Receiver<LeaderConnection>,
) {
    while let Some(dialed) = await_leader(&mut connection, ProtocolVersion::COLD_SERVERS).await {
        let counted = share_once(&gateway, &router, &dialed).await;
        pause(counted).await;
        if counted {
            // A timeout only means that nothing has been found.
            let _ =
                tokio::time::timeout(ASK_INTERVAL, gateway.limits.cold.changed.notified()).await;
        }
    }
}

/// Sends one report. Returns whether the leader has counted it.
pub async fn share_once(gateway: &Gateway, router: &RouterId, dialed: &Dialed) -> bool {
    let cold = &gateway.limits.cold;
    let asked_at = since_start();
    let (servers, rates_of) = (cold.take(asked_at), cold.rates_of());
    let report = ColdReport {
        router: router.clone(),
        data_centre: gateway.data_centre().clone(),
        servers: servers.clone(),
        rates_of,
    };
    let mut context = context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    match dialed.client.share_cold(context, report).await {
        Ok(ColdResponse::Known { rates, place, time }) => {
            if let Some(rates) = rates {
                cold.set_rates(rates);
            }
            gateway.limits.set_place(place);
            gateway.limits.hear_time(asked_at, time);
            true
        }
        Ok(ColdResponse::NotLeader { .. }) => {
            cold.put_back(asked_at, servers);
            false
        }
        Err(error) => {
            log::info!("report on cold servers failed: {error}");
            cold.put_back(asked_at, servers);
            false
        }
    }
}
