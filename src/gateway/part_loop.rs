//! Exchanges with the leader what is known of parts of prompts, and of requests, that end servers.

use super::Gateway;
use super::leader_loop::{LeaderConnection, await_leader, pause};
use super::part_watch::PartNews;
use crate::control::RouterId;
use crate::peer::{Dialed, ProtocolVersion, SuspectReport, SuspectResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context;
use tokio::sync::watch;

/// Time limit for a response, which the leader may delay for a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The leader has counted it, or there is more to report.
    Counted,
    /// It went to a voter that does not lead, which may know the leader's address.
    NotLeader(Option<SocketAddr>),
    /// No response.
    Failed,
}

/// Reports and asks in an endless loop.
pub async fn share_parts(
    gateway: Arc<Gateway>,
    router: RouterId,
    mut connection: watch::Receiver<LeaderConnection>,
) {
    while let Some(dialed) = await_leader(&mut connection, ProtocolVersion::DEADLY_PARTS).await {
        let result = share_once(&gateway, &router, &dialed, true).await;
        pause(result == ReportResult::Counted).await;
    }
}

/// Sends one report. With `wait`, and nothing to report, the leader answers when it has news.
pub async fn share_once(
    gateway: &Gateway,
    router: &RouterId,
    dialed: &Dialed,
    wait: bool,
) -> ReportResult {
    let PartNews { version, watched, ended, sound, sound_runs } = gateway.parts.take_news();
    let wait = wait && ended.is_empty() && sound.is_empty();
    let last = ended.iter().map(|(number, _)| *number).max().unwrap_or(0);
    let router = router.clone();
    let report = SuspectReport { router, version, watched, ended, sound, sound_runs, wait };
    let response = tokio::select! {
        response = send(dialed, report) => response,
        () = gateway.parts.news.notified(), if wait => return ReportResult::Counted,
    };
    match response {
        Ok(SuspectResponse::Known { blocked, watched }) => {
            gateway.parts.confirm(last);
            if let Some(count) = gateway.parts.update(blocked, watched) {
                metrics::gauge!("samphireshift_blocked_parts").set(count as f64);
                log::info!("{count} parts of prompts and requests are blocked");
            }
            ReportResult::Counted
        }
        Ok(SuspectResponse::NotLeader { address }) => {
            gateway.parts.report_anew();
            ReportResult::NotLeader(address)
        }
        Err(error) => {
            log::info!("report on parts of prompts and requests failed: {error}");
            gateway.parts.report_anew();
            ReportResult::Failed
        }
    }
}

/// Sends a report, in the form that the leader's build reads.
async fn send(dialed: &Dialed, report: SuspectReport) -> Result<SuspectResponse, RpcError> {
    let mut context = context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    if dialed.version >= ProtocolVersion::DEADLY_REQUESTS {
        return dialed.client.share_suspects(context, report).await;
    }
    dialed.client.share_parts(context, report.into()).await.map(SuspectResponse::from)
}
