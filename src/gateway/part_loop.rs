//! Exchanges with the leader what is known of parts of prompts that end servers.

use super::Gateway;
use super::leader_loop::{LeaderConnection, await_leader, pause};
use super::part_watch::PartNews;
use crate::control::RouterId;
use crate::peer::{Dialed, PartReport, PartResponse, ProtocolVersion};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::watch;

/// Time limit for a response, which the leader may delay for a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Reports and asks in an endless loop.
pub async fn share_parts(
    gateway: Arc<Gateway>,
    router: RouterId,
    mut connection: watch::Receiver<LeaderConnection>,
) {
    while let Some(dialed) = await_leader(&mut connection, ProtocolVersion::DEADLY_PARTS).await {
        pause(share_once(&gateway, &router, &dialed, true).await).await;
    }
}

/// Sends one report. Returns whether the leader has counted it. With `wait`, and nothing to report,
/// the leader answers when it has news.
pub async fn share_once(gateway: &Gateway, router: &RouterId, dialed: &Dialed, wait: bool) -> bool {
    let PartNews { version, watched, ended, sound, sound_runs } = gateway.parts.take_news();
    let wait = wait && ended.is_empty() && sound.is_empty();
    let unreported = ended.clone();
    let router = router.clone();
    let report = PartReport { router, version, watched, ended, sound, sound_runs, wait };
    let mut context = context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    let response = dialed.client.share_parts(context, report);
    let response = tokio::select! {
        response = response => response,
        () = gateway.parts.news.notified(), if wait => return true,
    };
    match response {
        Ok(PartResponse::Known { blocked, watched }) => {
            if let Some(count) = gateway.parts.update(blocked, watched) {
                metrics::gauge!("samphireshift_blocked_parts").set(count as f64);
                log::info!("{count} parts of prompts are blocked");
            }
            true
        }
        Ok(PartResponse::NotLeader { .. }) => {
            gateway.parts.put_back(unreported);
            false
        }
        Err(error) => {
            log::info!("report on parts of prompts failed: {error}");
            gateway.parts.put_back(unreported);
            false
        }
    }
}
