//! A leader's duty: moves roll-outs of pools on, and takes back those whose target is bad.

use super::Node;
use crate::control::{ControlCommand, ControlOutcome, PoolRollout, PoolRolloutStatus};
use crate::event::Event;
use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::{blame, next_shift};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often roll-outs are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often the time that has passed is committed, for a leader that comes after.
const KEEP_EVERY: Duration = Duration::from_secs(3);

/// A roll-out as this leader has followed it.
struct Followed {
    term: u64,
    state: PoolRollout,
    /// When it would have begun had this leader led from the beginning.
    begun: Duration,
    /// When it was committed last.
    kept: Duration,
}

impl Followed {
    fn elapsed(&self) -> Duration {
        since_start().saturating_sub(self.begun)
    }
}

/// Does the duty for ever, while this daemon leads.
pub async fn keep_pool_rollouts(node: Arc<Node>) {
    let mut followed: BTreeMap<PoolName, Followed> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let control = node.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve() {
            followed.clear();
            continue;
        }
        let config = node.control(|state| state.config().clone());
        let running = |rollout: &&PoolRollout| rollout.status == PoolRolloutStatus::Running;
        for rollout in config.shifts.values().filter(running) {
            let now = since_start();
            let begun = now.saturating_sub(rollout.elapsed);
            let fresh = || Followed { term: status.term, state: rollout.clone(), begun, kept: now };
            let known = followed.entry(rollout.pool.clone()).or_insert_with(fresh);
            if known.term != status.term || known.state.target != rollout.target {
                *known = fresh();
            }
            if known.state != *rollout {
                known.state = rollout.clone();
                known.kept = now;
            }
            look_after(&node, known).await;
        }
    }
}

async fn look_after(node: &Node, known: &Followed) {
    let (before, elapsed) = (&known.state, known.elapsed());
    let tallies = node.pools.tallies();
    let exposure = node.settings.promises.exposure;
    let after = match next_shift(before, &tallies, elapsed, exposure) {
        Some(after) => after,
        None if since_start() >= known.kept + KEEP_EVERY => {
            PoolRollout { elapsed, ..before.clone() }
        }
        None => return,
    };
    let (rollout, share, status) = (before.pool.to_string(), after.share, after.status);
    let command = ControlCommand::Shift { before: before.clone(), after };
    let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
    let Ok(outcome) = node.cluster.control().submit(bytes.into()).await else { return };
    let changed = matches!(postcard::from_bytes(&outcome), Ok(ControlOutcome::Changed(_)));
    if !changed || (share == before.share && status == before.status) {
        return;
    }
    let evidence = blame(before, &tallies);
    node.journal.record(Event::PoolShifted { rollout, share, evidence });
}
