//! A leader's duty: moves roll-outs of pools on, and takes back those whose target is bad.

use super::Node;
use crate::control::{ControlCommand, ControlOutcome, PoolRollout, PoolRolloutStatus};
use crate::event::Event;
use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::{next_pool_rollout, rollback_reason};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often roll-outs are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often the time that has passed is committed, for a leader that comes after.
const KEEP_EVERY: Duration = Duration::from_secs(3);

/// A roll-out as this voter has followed it, whoever led: a new leader then knows how much of its
/// time has passed, although the last one committed that a while ago.
struct Followed {
    state: PoolRollout,
    /// When it began, on this voter's clock.
    begun: Duration,
    /// When its newest state was seen first.
    kept: Duration,
}

impl Followed {
    fn elapsed(&self) -> Duration {
        since_start().saturating_sub(self.begun)
    }

    /// Takes a newer state in.
    fn update(&mut self, rollout: &PoolRollout) {
        let now = since_start();
        let begun = now.saturating_sub(rollout.elapsed);
        let same = self.state.target == rollout.target;
        self.begun = if same { self.begun.min(begun) } else { begun };
        if self.state != *rollout {
            self.state = rollout.clone();
            self.kept = now;
        }
    }
}

/// Follows roll-outs for ever, and does the duty while this daemon leads.
pub async fn keep_pool_rollouts(node: Arc<Node>) {
    let mut followed: BTreeMap<PoolName, Followed> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let control = node.cluster.control();
        let leads = control.status().leading && control.may_serve_reads();
        let config = node.control(|state| state.config().clone());
        let running = |rollout: &&PoolRollout| rollout.status == PoolRolloutStatus::Running;
        for rollout in config.pool_rollouts.values().filter(running) {
            let now = since_start();
            let begun = now.saturating_sub(rollout.elapsed);
            let fresh = || Followed { state: rollout.clone(), begun, kept: now };
            let known = followed.entry(rollout.pool.clone()).or_insert_with(fresh);
            known.update(rollout);
            if leads {
                look_after(&node, known).await;
            }
        }
    }
}

async fn look_after(node: &Node, known: &Followed) {
    let (before, elapsed) = (&known.state, known.elapsed());
    let tallies = node.pools.tallies();
    let exposure = node.settings.promises.exposure;
    let after = match next_pool_rollout(before, &tallies, elapsed, exposure) {
        Some(after) => after,
        None if since_start() >= known.kept + KEEP_EVERY => {
            PoolRollout { elapsed, ..before.clone() }
        }
        None => return,
    };
    let (rollout, share, status) = (before.pool.to_string(), after.share, after.status);
    let command = ControlCommand::AdvancePoolRollout { before: before.clone(), after };
    let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
    let Ok(outcome) = node.cluster.control().submit(bytes.into()).await else { return };
    let changed = matches!(postcard::from_bytes(&outcome), Ok(ControlOutcome::Changed(_)));
    if !changed || (share == before.share && status == before.status) {
        return;
    }
    let evidence = rollback_reason(before, &tallies);
    node.journal.record(Event::PoolShifted { rollout, share, evidence });
}
