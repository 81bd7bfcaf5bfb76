//! Tasks of the leader of the control group: stopping bad versions, advancing roll-outs of
//! versions, and committing the aggregated statistics.

use super::Node;
use crate::control::{Config, ControlCommand, ControlOutcome, Rollout};
use crate::event::Event;
use crate::policy::BadVersion;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which the test results of versions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which changes of the aggregated statistics are committed.
const SUMMARY_COMMIT_INTERVAL: Duration = Duration::from_secs(5);

/// Runs these tasks forever; they have no effect while this daemon does not lead.
pub async fn manage_rollouts(node: Arc<Node>) {
    let mut last_commit = Instant::now();
    let mut reported = BTreeSet::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let config = node.read_control(|state| state.config().clone());
        let bad_versions =
            node.with_aggregator(|aggregator| aggregator.bad_versions(&config)).unwrap_or_default();
        for bad_version in bad_versions {
            if !bad_version.last_resort {
                stop_version(&node, bad_version).await;
            } else if reported.insert(bad_version.version.clone()) {
                let BadVersion { version, evidence, .. } = bad_version;
                node.journal.record(Event::VersionKept { version, evidence });
            }
        }
        let rated = node.settings.rating_address.is_some() && node.settings.sample_permille > 0;
        let steps = node
            .with_aggregator(|aggregator| aggregator.rollout_steps(&config, rated))
            .unwrap_or_default();
        for (before, after) in steps {
            advance_rollout(&node, before, after).await;
        }
        if last_commit.elapsed() >= SUMMARY_COMMIT_INTERVAL {
            last_commit = Instant::now();
            commit_summary(&node, &config).await;
        }
    }
}

async fn stop_version(node: &Node, bad_version: BadVersion) {
    let BadVersion { version, evidence, .. } = bad_version;
    let command =
        ControlCommand::StopVersion { version: version.clone(), evidence: evidence.clone() };
    let Some(outcome) = submit(node, &command).await else { return };
    node.with_aggregator(|aggregator| aggregator.drop_evidence(&version));
    if let ControlOutcome::Changed(_) = outcome {
        node.journal.record(Event::VersionStopped { version, evidence });
    }
}

async fn advance_rollout(node: &Node, before: Rollout, after: Rollout) {
    let (rollout, share) = (after.name.clone(), after.share());
    let command = ControlCommand::AdvanceRollout { before, after };
    if let Some(ControlOutcome::Changed(_)) = submit(node, &command).await {
        node.journal.record(Event::RolloutStepped { rollout, share });
    }
}

async fn commit_summary(node: &Node, config: &Config) {
    let change = node.with_aggregator(|aggregator| {
        node.read_control(|state| aggregator.summary_change(config, state.summary()))
    });
    if let Some(Some(change)) = change {
        submit(node, &ControlCommand::UpdateStats(change)).await;
    }
}

async fn submit(node: &Node, command: &ControlCommand) -> Option<ControlOutcome> {
    let bytes = postcard::to_stdvec(command).expect("commands always serialise");
    let outcome = node.cluster.control().submit(bytes.into()).await.ok()?;
    postcard::from_bytes(&outcome).ok()
}
