//! Exchanges with the leader what servers say of their limits, and gets tokens for these servers.

use super::Gateway;
use super::leader_loop::{LeaderConnection, await_leader, pause};
use crate::control::RouterId;
use crate::group::since_start;
use crate::peer::{Dialed, LimitReport, LimitResponse, ProtocolVersion};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::watch;

/// Time limit for a response, which the leader may delay for a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often calls that wait for a token are looked at while no leader answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reports and asks in an endless loop.
pub async fn share_limits(
    gateway: Arc<Gateway>,
    router: RouterId,
    mut connection: watch::Receiver<LeaderConnection>,
) {
    while let Some(dialed) = await_leader(&mut connection, ProtocolVersion::SERVER_LIMITS).await {
        pause(share_once(&gateway, &router, &dialed, true).await).await;
    }
}

/// Hands this router's own parts of limits to waiting calls in an endless loop.
pub async fn serve_waiting_calls(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if gateway.limits.is_any() {
            gateway.limits.hand_out();
        }
    }
}

/// Sends one report. Returns whether the leader has counted it. With `wait`, the leader answers when it
/// has tokens or news.
pub async fn share_once(gateway: &Gateway, router: &RouterId, dialed: &Dialed, wait: bool) -> bool {
    let asked_at = since_start();
    let demand = gateway.limits.report();
    let known = gateway.limits.position();
    // Tokens may be on their way to a router that asks for some; a new report would lose them.
    let is_idle = demand.asks.is_empty();
    let wait = wait && (demand.heard.is_empty() || !is_idle);
    let report = LimitReport { router: router.clone(), known, demand, wait };
    let mut context = context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    let response = tokio::select! {
        response = dialed.client.share_limits(context, report) => response,
        () = gateway.limits.news.notified(), if wait && is_idle => return true,
    };
    match response {
        Ok(LimitResponse::Known(news)) => {
            gateway.limits.apply(asked_at, &news);
            true
        }
        Ok(LimitResponse::NotLeader { .. }) => false,
        Err(error) => {
            log::info!("report on limits of servers failed: {error}");
            false
        }
    }
}
