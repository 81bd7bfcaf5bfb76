//! A router's side of its lease.

use super::Node;
use crate::control::RouterId;
use crate::event::Event;
use crate::group::{GroupId, since_start};
use crate::peer::{LeaseAnswer, LeaseAsk};
use crate::route::Router;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;

/// How long an answer may take beyond the time that the leader may hold it.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// The pause after a question that brought no lease.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// Renews this daemon's lease for ever.
pub async fn keep_lease(node: Arc<Node>, router: Arc<Router>) {
    let mut round = 0;
    let mut held = false;
    loop {
        let asked = since_start();
        let renewed = match ask(&node, &router, round).await {
            Some(LeaseAnswer::Granted { config, stamp, counted, learned, .. }) => {
                node.journal.observe(stamp);
                router.selector.acknowledge(counted);
                if let Some(change) = learned {
                    router.selector.apply_change(change);
                }
                if router.lease.renew(asked, node.settings.lease, config) {
                    let revision = router.lease.revision().unwrap_or(0);
                    node.journal.record(Event::RevisionInstalled { revision });
                }
                true
            }
            Some(LeaseAnswer::NotLeader { leader, .. }) => {
                node.cluster.hint(GroupId::Control, leader);
                false
            }
            None => {
                node.cluster.hint(GroupId::Control, None);
                false
            }
        };
        router.selector.release_expired();
        held = note(&node, &router, held);
        if !renewed {
            round += 1;
            tokio::time::sleep(RETRY_AFTER).await;
        }
    }
}

async fn ask(node: &Node, router: &Router, round: usize) -> Option<LeaseAnswer> {
    let identity = node.identity();
    let ask = LeaseAsk {
        router: RouterId { vm: identity.vm, run: identity.run },
        revision: router.lease.revision().unwrap_or(0),
        stamp: node.journal.stamp(),
        report: router.selector.next_report(),
        epoch: router.selector.epoch(),
        pools: None,
    };
    if node.cluster.control().status().leading {
        return Some(node.grant(ask).await);
    }
    let client = node.cluster.way_to_leader(GroupId::Control, round)?;
    let mut context = context::current();
    context.deadline = Instant::now() + node.settings.renew + ANSWER_LIMIT;
    client.lease(context, ask).await.ok()
}

fn note(node: &Node, router: &Router, held: bool) -> bool {
    let holds = router.lease.config().is_some();
    match (held, holds) {
        (false, true) => {
            let revision = router.lease.revision().unwrap_or(0);
            node.journal.record(Event::LeaseGained { revision });
        }
        (true, false) => node.journal.record(Event::LeaseLost),
        _ => {}
    }
    holds
}
