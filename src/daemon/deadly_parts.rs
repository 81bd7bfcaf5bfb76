//! The leader's part in finding parts of prompts that end servers: it collects what the routers
//! report, and has a proved part blocked on all of them.

use super::Node;
use super::wait::wait_for_news;
use crate::control::{ControlCommand, RouterId};
use crate::group::since_start;
use crate::peer::{PartReport, PartResponse, ProtocolVersion};
use crate::policy::{DeadlyPart, PartSuspicion};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// The longest that the response to a report is delayed.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the evidence is weighed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Evidence against parts, of the newest term in which this daemon led the control group.
#[derive(Debug)]
pub struct LeaderParts {
    evidence: Mutex<TermEvidence>,
    /// Parts that the routers are to watch.
    watched: watch::Sender<Vec<u64>>,
}

#[derive(Debug, Default)]
struct TermEvidence {
    term: u64,
    suspicion: PartSuspicion,
    /// The sound runs that each router has reported.
    sound_runs: BTreeMap<RouterId, u64>,
}

impl Default for LeaderParts {
    fn default() -> Self {
        Self { evidence: Mutex::default(), watched: watch::Sender::new(Vec::new()) }
    }
}

impl LeaderParts {
    /// Runs `update` on the evidence of a term, and publishes the parts to be watched.
    fn update<F, T>(&self, term: u64, update: F) -> T
    where
        F: FnOnce(&mut TermEvidence) -> T,
    {
        let mut evidence = self.evidence.lock().expect("part evidence lock");
        if evidence.term != term {
            *evidence = TermEvidence { term, ..TermEvidence::default() };
        }
        let result = update(&mut evidence);
        let watched: Vec<u64> = evidence.suspicion.watched().collect();
        self.watched.send_if_modified(|current| {
            let changed = *current != watched;
            *current = watched;
            changed
        });
        result
    }
}

impl TermEvidence {
    fn record(&mut self, report: &PartReport, now: Duration) {
        // Runs from before this term say nothing about the present.
        if let Some(before) = self.sound_runs.insert(report.router.clone(), report.sound_runs) {
            self.suspicion.record_sound_runs(now, report.sound_runs.saturating_sub(before));
        }
        for end in &report.ended {
            self.suspicion.record_end(now, end);
        }
        for (part, age) in &report.sound {
            self.suspicion.record_sound(*part, now.saturating_sub(*age));
        }
    }
}

impl Node {
    /// Counts a router's report, and answers once there is something that the router does not know,
    /// or after `MAX_WAIT`.
    pub async fn share_parts(&self, report: PartReport) -> PartResponse {
        let term = self.cluster.control().status().term;
        self.parts.update(term, |evidence| evidence.record(&report, since_start()));
        if report.wait {
            self.wait_for_parts(&report).await;
        }
        if !self.cluster.control().may_serve_reads() {
            return PartResponse::NotLeader { address: self.leader_address() };
        }
        let blocked = self.read_control(|state| {
            let blocked = state.blocked_parts();
            (report.version != Some(blocked.version)).then(|| blocked.clone())
        });
        PartResponse::Known { blocked, watched: self.parts.watched.borrow().clone() }
    }

    async fn wait_for_parts(&self, report: &PartReport) {
        let mut applied = self.cluster.control().applied();
        let mut watched = self.parts.watched.subscribe();
        let has_news = || {
            let version = self.read_control(|state| state.blocked_parts().version);
            report.version != Some(version) || report.watched != *self.parts.watched.borrow()
        };
        wait_for_news(&mut applied, &mut watched, MAX_WAIT, has_news).await;
    }

    /// Whether a voter cannot read the commands for parts, so that one would stop it.
    fn has_older_voter(&self) -> bool {
        let older = self.cluster.peers().members_before(ProtocolVersion::DEADLY_PARTS);
        let members = self.cluster.control().status().members;
        members.all().any(|member| older.contains(&member.id))
    }

    async fn block_part(&self, deadly: DeadlyPart) {
        let DeadlyPart { part, evidence } = deadly;
        if self.has_older_voter() {
            log::warn!(
                "part {part:x} of prompts ends servers, but a voter of an earlier build is left; \
                 upgrade it, then the part is found again: {evidence}"
            );
            return;
        }
        log::warn!("part {part:x} of prompts ends servers, calls with it are refused: {evidence}");
        let command = ControlCommand::BlockPart { part, evidence };
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        if let Err(error) = self.cluster.control().submit(bytes.into()).await {
            log::warn!("part {part:x} is not known to be blocked: {error}");
        }
    }
}

/// Has proved parts blocked while this daemon leads the control group, forever.
pub async fn block_deadly_parts(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let control = node.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            continue;
        }
        let convict = |evidence: &mut TermEvidence| evidence.suspicion.convict(since_start());
        while let Some(deadly) = node.parts.update(status.term, convict) {
            node.block_part(deadly).await;
        }
        let count = node.read_control(|state| state.blocked_parts().parts.len());
        metrics::gauge!("samphireshift_blocked_parts").set(count as f64);
    }
}
