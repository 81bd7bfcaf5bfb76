//! A leader's duty: stops versions on evidence, moves roll-outs on, keeps what was learned.

use super::Node;
use crate::control::{Config, ControlCommand, ControlOutcome, Rollout};
use crate::event::Event;
use crate::policy::BadVersion;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often evidence is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often what was learned is committed.
const KEEP_EVERY: Duration = Duration::from_secs(5);

/// Does the duty for ever, while this daemon leads.
pub async fn keep_rollouts(node: Arc<Node>) {
    let mut kept = Instant::now();
    let mut told = BTreeSet::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let config = node.control(|state| state.config().clone());
        let verdicts = node.with_board(|board| board.bad_versions(&config)).unwrap_or_default();
        for verdict in verdicts {
            if !verdict.last_resort {
                stop(&node, verdict).await;
            } else if told.insert(verdict.version.clone()) {
                let BadVersion { version, evidence, .. } = verdict;
                node.journal.record(Event::VersionKept { version, evidence });
            }
        }
        let rated = node.settings.rating.is_some() && node.settings.sample > 0;
        let steps =
            node.with_board(|board| board.rollout_steps(&config, rated)).unwrap_or_default();
        for (before, after) in steps {
            step(&node, before, after).await;
        }
        if kept.elapsed() >= KEEP_EVERY {
            kept = Instant::now();
            keep(&node, &config).await;
        }
    }
}

async fn stop(node: &Node, verdict: BadVersion) {
    let BadVersion { version, evidence, .. } = verdict;
    let command =
        ControlCommand::StopVersion { version: version.clone(), evidence: evidence.clone() };
    let Some(outcome) = submit(node, &command).await else { return };
    node.with_board(|board| board.forget(&version));
    if let ControlOutcome::Changed(_) = outcome {
        node.journal.record(Event::VersionStopped { version, evidence });
    }
}

async fn step(node: &Node, before: Rollout, after: Rollout) {
    let (rollout, share) = (after.name.clone(), after.share());
    let command = ControlCommand::AdvanceRollout { before, after };
    if let Some(ControlOutcome::Changed(_)) = submit(node, &command).await {
        node.journal.record(Event::RolloutStepped { rollout, share });
    }
}

async fn keep(node: &Node, config: &Config) {
    let change = node
        .with_board(|board| node.control(|state| board.summary_change(config, state.summary())));
    if let Some(Some(change)) = change {
        submit(node, &ControlCommand::UpdateStats(change)).await;
    }
}

async fn submit(node: &Node, command: &ControlCommand) -> Option<ControlOutcome> {
    let bytes = postcard::to_stdvec(command).expect("commands always serialise");
    let outcome = node.cluster.control().submit(bytes.into()).await.ok()?;
    postcard::from_bytes(&outcome).ok()
}
