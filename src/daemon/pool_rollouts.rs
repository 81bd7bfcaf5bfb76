//! Advances the roll-outs of pools as leader, and rolls back those whose target performs badly.

use super::Node;
use crate::control::{ControlCommand, ControlOutcome, PoolRollout, PoolRolloutStatus};
use crate::event::Event;
use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::{next_pool_rollout, rollback_reason, rollout_evidence};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which roll-outs are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the elapsed time of a roll-out is committed, for the next leader.
const ELAPSED_COMMIT_INTERVAL: Duration = Duration::from_secs(3);

/// A running roll-out as tracked by this voter, also while it does not lead. A new leader thus
/// knows the elapsed time, even though the previous leader last committed it a while ago.
struct TrackedRollout {
    state: PoolRollout,
    /// Start of the roll-out, as time since this process started.
    started_at: Duration,
    /// When `state` last changed, as time since this process started.
    changed_at: Duration,
}

impl TrackedRollout {
    fn elapsed(&self) -> Duration {
        since_start().saturating_sub(self.started_at)
    }

    /// Adopts a committed state. For the same target, the earliest start seen is kept.
    fn update(&mut self, rollout: &PoolRollout) {
        let now = since_start();
        let started_at = now.saturating_sub(rollout.elapsed);
        let same = self.state.target == rollout.target;
        self.started_at = if same { self.started_at.min(started_at) } else { started_at };
        if self.state != *rollout {
            self.state = rollout.clone();
            self.changed_at = now;
        }
    }
}

/// Tracks roll-outs forever, and advances them while this daemon leads the control group.
pub async fn manage_pool_rollouts(node: Arc<Node>) {
    let mut tracked: BTreeMap<PoolName, TrackedRollout> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let control = node.cluster.control();
        let leads = control.status().leading && control.may_serve_reads();
        let config = node.read_control(|state| state.config().clone());
        let running = |rollout: &&PoolRollout| rollout.status == PoolRolloutStatus::Running;
        for rollout in config.pool_rollouts.values().filter(running) {
            let now = since_start();
            let started_at = now.saturating_sub(rollout.elapsed);
            let new_entry =
                || TrackedRollout { state: rollout.clone(), started_at, changed_at: now };
            let entry = tracked.entry(rollout.pool.clone()).or_insert_with(new_entry);
            entry.update(rollout);
            if leads {
                advance(&node, entry).await;
            }
        }
    }
}

async fn advance(node: &Node, entry: &TrackedRollout) {
    let (before, elapsed) = (&entry.state, entry.elapsed());
    let tallies = node.pools.tallies();
    let exposure = node.settings.fleet_limits.max_exposure;
    let after = match next_pool_rollout(before, &tallies, elapsed, exposure) {
        Some(after) => after,
        None if since_start() >= entry.changed_at + ELAPSED_COMMIT_INTERVAL => {
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
    log::info!("roll-out of pool {rollout} at {share}: {}", rollout_evidence(before, &tallies));
    let evidence = rollback_reason(before, &tallies);
    node.journal.record(Event::PoolShifted { rollout, share, evidence });
}
