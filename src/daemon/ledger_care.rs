//! The leaders' care for ledger groups: ledger time, and records whose router is gone.

use super::Node;
use crate::control::RouterId;
use crate::group::{Group, ReplicatedState, since_start};
use crate::ledger::{LedgerCommand, LedgerState, PinState};
use crate::peer::{OperatorCall, OperatorReply};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often ledgers are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How often ledger time is committed.
const TICK_EVERY: Duration = Duration::from_secs(10);

/// What this daemon measured of one group that it leads.
struct Measured {
    term: u64,
    at: Duration,
    time: Duration,
}

/// Looks after the ledger groups that this daemon leads, for ever.
pub async fn keep_ledgers(node: Arc<Node>) {
    let mut measured = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        for group in node.cluster.groups() {
            let leads = group.status().leading && group.may_serve_reads();
            if !leads || read(group, |_| ()).is_none() {
                measured.remove(&group.id());
                continue;
            }
            let last = measured.remove(&group.id());
            measured.insert(group.id(), tick(&node, group, last).await);
            settle_orphans(&node, group).await;
        }
    }
}

/// Commits the time since the last tick. A new leader counts from its first look, so that ledger
/// time is never faster than real time.
async fn tick(node: &Node, group: &Group, last: Option<Measured>) -> Measured {
    let term = group.status().term;
    let now = since_start();
    let time = read(group, LedgerState::time).unwrap_or_default();
    let fits = |last: &Measured| last.term == term && last.time == time;
    let Some(last) = last.filter(fits) else { return Measured { term, at: now, time } };
    let every = TICK_EVERY.min(node.settings.retention.shortest() / 4);
    if now < last.at + every {
        return last;
    }
    let (elapsed, retention) = (now - last.at, node.settings.retention);
    submit(group, &LedgerCommand::Tick { from: time, elapsed, retention }).await;
    Measured { term, at: now, time: read(group, LedgerState::time).unwrap_or_default() }
}

/// Gives an outcome to what routers left behind that have no lease any more. A router that is only
/// cut off may still record a better one later.
async fn settle_orphans(node: &Node, group: &Group) {
    let open = read(group, open_records).unwrap_or_default();
    if open.is_empty() {
        return;
    }
    let Ok(OperatorReply::LiveRouters(Some(live))) =
        node.ask_leader(OperatorCall::LiveRouters).await
    else {
        return;
    };
    for (owner, command) in open {
        if !live.contains(&owner) {
            log::info!("{}: settling a record that {} left behind", group.id(), owner.vm);
            submit(group, &command).await;
        }
    }
}

/// Every open record's owner, and the command that settles it without the owner.
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

fn read<F, T>(group: &Group, look: F) -> Option<T>
where
    F: FnOnce(&LedgerState) -> T,
{
    group.read(|state| match state {
        ReplicatedState::Ledger(state) => Some(look(state)),
        ReplicatedState::Control(_) => None,
    })
}

async fn submit(group: &Group, command: &LedgerCommand) {
    let bytes = postcard::to_stdvec(command).expect("commands always serialise");
    if let Err(error) = group.submit(bytes.into()).await {
        log::debug!("{}: not committed: {error}", group.id());
    }
}
