//! The router's side of its lease: renewal by the leader of the control group.

use super::Node;
use crate::control::RouterId;
use crate::event::Event;
use crate::group::{GroupId, since_start};
use crate::peer::{LeaseRequest, LeaseResponse};
use crate::route::Router;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;

/// Time allowed for a response beyond the renewal interval, for which the leader may delay it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Delay after a request that was not granted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Renews the lease of this daemon's router forever.
pub async fn renew_lease(node: Arc<Node>, router: Arc<Router>) {
    let mut attempt = 0;
    let mut had_lease = false;
    loop {
        let asked_at = since_start();
        let renewed = match request_lease(&node, &router, attempt).await {
            Some(LeaseResponse::Granted { config, stamp, last_report, stats_change, .. }) => {
                node.journal.observe(stamp);
                router.selector.acknowledge(last_report);
                if let Some(change) = stats_change {
                    router.selector.apply_change(change);
                }
                if router.lease.renew(asked_at, node.settings.lease_duration, config) {
                    let revision = router.lease.revision().unwrap_or(0);
                    node.journal.record(Event::RevisionInstalled { revision });
                }
                true
            }
            Some(LeaseResponse::NotLeader { leader, .. }) => {
                node.cluster.set_leader_hint(GroupId::Control, leader);
                false
            }
            // It is taken apart as it arrives.
            Some(LeaseResponse::GrantedInEvacuation { .. }) | None => {
                node.cluster.set_leader_hint(GroupId::Control, None);
                false
            }
        };
        router.selector.release_expired();
        had_lease = record_lease_change(&node, &router, had_lease);
        if !renewed {
            attempt += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn request_lease(node: &Node, router: &Router, attempt: usize) -> Option<LeaseResponse> {
    let identity = node.identity();
    let ask = LeaseRequest {
        router: RouterId { vm: identity.vm, run: identity.run },
        revision: router.lease.revision().unwrap_or(0),
        stamp: node.journal.timestamp(),
        report: router.selector.next_report(),
        epoch: router.selector.epoch(),
        pool_report: None,
    };
    if node.cluster.control().status().leading {
        return Some(node.grant_lease(ask).await);
    }
    let client = node.cluster.leader_client(GroupId::Control, attempt)?;
    let mut context = context::current();
    context.deadline = Instant::now() + node.settings.renewal_interval + RESPONSE_MARGIN;
    client.lease(context, ask).await.ok().map(LeaseResponse::with_evacuations)
}

fn record_lease_change(node: &Node, router: &Router, had_lease: bool) -> bool {
    let has_lease = router.lease.config().is_some();
    match (had_lease, has_lease) {
        (false, true) => {
            let revision = router.lease.revision().unwrap_or(0);
            node.journal.record(Event::LeaseGained { revision });
        }
        (true, false) => node.journal.record(Event::LeaseLost),
        _ => {}
    }
    has_lease
}
