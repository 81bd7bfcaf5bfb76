//! Tasks of the leaders of ledger groups: advancing ledger time, and resolving records whose router
//! no longer holds a lease.

use super::Node;
use crate::control::RouterId;
use crate::group::{Group, ReplicatedState, since_start};
use crate::ledger::{LedgerCommand, LedgerState, PinState};
use crate::peer::{OperatorRequest, OperatorResponse};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which each ledger group is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval between commits of ledger time; a quarter of the shortest retention if that is
/// less.
const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Ledger time of a group that this daemon leads, and when it was read.
struct LedgerClock {
    term: u64,
    measured_at: Duration,
    ledger_time: Duration,
}

/// Advances ledger time and resolves orphaned records in the ledger groups that this daemon leads,
/// forever.
pub async fn maintain_ledgers(node: Arc<Node>) {
    let mut clocks = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for group in node.cluster.groups() {
            let leads = group.status().leading && group.may_serve_reads();
            if !leads || read_ledger(group, |_| ()).is_none() {
                clocks.remove(&group.id());
                continue;
            }
            let last = clocks.remove(&group.id());
            clocks.insert(group.id(), tick(&node, group, last).await);
            resolve_orphans(&node, group).await;
        }
    }
}

/// Commits the time elapsed since the last tick. A new leader counts from its first check, so
/// ledger time never runs faster than real time.
async fn tick(node: &Node, group: &Group, last: Option<LedgerClock>) -> LedgerClock {
    let term = group.status().term;
    let now = since_start();
    let ledger_time = read_ledger(group, LedgerState::time).unwrap_or_default();
    let is_current = |last: &LedgerClock| last.term == term && last.ledger_time == ledger_time;
    let Some(last) = last.filter(is_current) else {
        return LedgerClock { term, measured_at: now, ledger_time };
    };
    let interval = TICK_INTERVAL.min(node.settings.retention.shortest() / 4);
    if now < last.measured_at + interval {
        return last;
    }
    let (elapsed, retention) = (now - last.measured_at, node.settings.retention);
    submit(group, &LedgerCommand::Tick { from: ledger_time, elapsed, retention }).await;
    LedgerClock {
        term,
        measured_at: now,
        ledger_time: read_ledger(group, LedgerState::time).unwrap_or_default(),
    }
}

/// Resolves the open records of routers that hold no lease any more. A router that is only
/// partitioned may still record a better outcome later.
async fn resolve_orphans(node: &Node, group: &Group) {
    let open = read_ledger(group, open_records).unwrap_or_default();
    if open.is_empty() {
        return;
    }
    let Ok(OperatorResponse::LiveRouters(Some(live))) =
        node.ask_leader(OperatorRequest::LiveRouters).await
    else {
        return;
    };
    for (owner, command) in open {
        if !live.contains(&owner) {
            log::info!(
                "{}: resolving an open record of router {}, which holds no lease",
                group.id(),
                owner.vm
            );
            submit(group, &command).await;
        }
    }
}

/// The owner of each open record (running claim or tentative pin), and the command that resolves
/// the record without its owner.
fn open_records(state: &LedgerState) -> Vec<(RouterId, LedgerCommand)> {
    let claims = state.running().map(|(organisation, key, claim)| {
        let (organisation, key, request) = (organisation.clone(), key.clone(), claim.request);
        let command =
            LedgerCommand::RecordOutcome { organisation, key, request, answer: None, bill: None };
        (claim.owner.clone(), command)
    });
    let pins = state.tentative().filter_map(|(organisation, session, pin)| {
        let PinState::Tentative { owner, request } = &pin.state else { return None };
        let (organisation, session) = (organisation.clone(), session.clone());
        let (request, version) = (*request, pin.version.clone());
        let command = LedgerCommand::FinalisePin { organisation, session, request, version };
        Some((owner.clone(), command))
    });
    claims.chain(pins).collect()
}

fn read_ledger<F, T>(group: &Group, read: F) -> Option<T>
where
    F: FnOnce(&LedgerState) -> T,
{
    group.read(|state| match state {
        ReplicatedState::Ledger(state) => Some(read(state)),
        ReplicatedState::Control(_) => None,
    })
}

async fn submit(group: &Group, command: &LedgerCommand) {
    let bytes = postcard::to_stdvec(command).expect("commands always serialise");
    if let Err(error) = group.submit(bytes.into()).await {
        log::debug!("{}: command not committed: {error}", group.id());
    }
}
