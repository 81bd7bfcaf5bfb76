//! The leader's part in finding parts of prompts, and requests, that end servers: it collects what
//! the routers report, and has what is proved blocked on all of them.

use super::Node;
use super::wait::wait_for_news;
use crate::control::{BlockedParts, ControlCommand, RouterId, Suspect};
use crate::group::since_start;
use crate::peer::{BlockedSuspects, ProtocolVersion, SuspectReport, SuspectResponse};
use crate::policy::{Convict, PartSuspicion};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// The longest that the response to a report is delayed.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the evidence is weighed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a part or a request stays blocked until it is let through as a trial.
const BLOCK_TIME: Duration = Duration::from_secs(600);

/// How far back ends may lie that routers report. The time since the start of this process would be
/// too short for them.
const PAST: Duration = Duration::from_secs(3_600);

/// The present, with enough time before it.
fn now() -> Duration {
    PAST + since_start()
}

/// Evidence against parts and requests, of the newest term in which this daemon led the control group.
#[derive(Debug)]
pub struct LeaderParts {
    evidence: Mutex<TermEvidence>,
    /// Suspects that the routers are to watch.
    watched: watch::Sender<Vec<Suspect>>,
    /// Notified when servers have ended.
    ended: Notify,
}

#[derive(Debug, Default)]
struct TermEvidence {
    term: u64,
    suspicion: PartSuspicion,
    /// The sound runs that each router has reported.
    sound_runs: BTreeMap<RouterId, u64>,
    /// The number of the last end that each router has reported.
    counted: BTreeMap<RouterId, u64>,
    /// Since when this leader has known of what is blocked.
    blocked_since: BTreeMap<Suspect, Duration>,
}

impl Default for LeaderParts {
    fn default() -> Self {
        let (watched, ended) = (watch::Sender::new(Vec::new()), Notify::new());
        Self { evidence: Mutex::default(), watched, ended }
    }
}

impl LeaderParts {
    /// Runs `update` on the evidence of a term, and publishes the suspects to be watched.
    fn update<F, T>(&self, term: u64, update: F) -> T
    where
        F: FnOnce(&mut TermEvidence) -> T,
    {
        let mut evidence = self.evidence.lock().expect("part evidence lock");
        if evidence.term != term {
            *evidence = TermEvidence { term, ..TermEvidence::default() };
        }
        let result = update(&mut evidence);
        let watched: Vec<Suspect> = evidence.suspicion.watched().collect();
        self.watched.send_if_modified(|current| {
            let changed = *current != watched;
            *current = watched;
            changed
        });
        result
    }
}

impl TermEvidence {
    fn record(&mut self, report: &SuspectReport, now: Duration) {
        // Runs from before this term say nothing about the present.
        if let Some(before) = self.sound_runs.insert(report.router.clone(), report.sound_runs) {
            self.suspicion.record_sound_runs(now, report.sound_runs.saturating_sub(before));
        }
        let counted = self.counted.entry(report.router.clone()).or_default();
        for (number, end) in &report.ended {
            if *number == 0 || *number > *counted {
                self.suspicion.record_end(now, end);
                *counted = (*counted).max(*number);
            }
        }
        for (suspect, ago) in &report.sound {
            self.suspicion.record_sound(*suspect, now.saturating_sub(*ago));
        }
    }

    /// What has been blocked for long enough to be tried again.
    fn due_trials(&mut self, now: Duration, blocked: &BlockedParts) -> Vec<Suspect> {
        self.blocked_since.retain(|suspect, _| blocked.contains(*suspect));
        for (suspect, _) in blocked.all() {
            self.blocked_since.entry(suspect).or_insert(now);
        }
        let due = self.blocked_since.iter().filter(|(_, since)| now >= **since + BLOCK_TIME);
        let due: Vec<Suspect> = due.map(|(suspect, _)| *suspect).collect();
        due.iter().for_each(|suspect| self.suspicion.begin_trial(now, *suspect));
        due
    }
}

impl Node {
    /// Counts a router's report, and answers once there is something that the router does not know,
    /// or after `MAX_WAIT`.
    pub async fn share_suspects(&self, report: SuspectReport) -> SuspectResponse {
        let term = self.cluster.control().status().term;
        self.parts.update(term, |evidence| evidence.record(&report, now()));
        if !report.ended.is_empty() {
            self.parts.ended.notify_one();
        }
        if report.wait {
            self.wait_for_parts(&report).await;
        }
        if !self.cluster.control().may_serve_reads() {
            return SuspectResponse::NotLeader { address: self.leader_address() };
        }
        let blocked = self.read_control(|state| {
            let blocked = state.blocked_parts();
            (report.version != Some(blocked.version)).then(|| BlockedSuspects::from(blocked))
        });
        SuspectResponse::Known { blocked, watched: self.parts.watched.borrow().clone() }
    }

    async fn wait_for_parts(&self, report: &SuspectReport) {
        let mut applied = self.cluster.control().applied();
        let mut watched = self.parts.watched.subscribe();
        let has_news = || {
            let version = self.read_control(|state| state.blocked_parts().version);
            report.version != Some(version) || report.watched != *self.parts.watched.borrow()
        };
        wait_for_news(&mut applied, &mut watched, MAX_WAIT, has_news).await;
    }

    /// Whether a voter cannot read the commands for a suspect, so that one would stop it.
    fn has_older_voter(&self, suspect: Suspect) -> bool {
        let needed = match suspect {
            Suspect::Part(_) => ProtocolVersion::DEADLY_PARTS,
            Suspect::Request(_) => ProtocolVersion::DEADLY_REQUESTS,
        };
        self.has_voter_before(needed)
    }

    /// Whether a voter was last heard of with an earlier protocol version.
    pub(super) fn has_voter_before(&self, needed: ProtocolVersion) -> bool {
        let older = self.cluster.peers().members_before(needed);
        let members = self.cluster.control().status().members;
        members.all().any(|member| older.contains(&member.id))
    }

    async fn block(&self, convict: Convict) {
        let Convict { suspect, evidence } = convict;
        if self.has_older_voter(suspect) {
            log::warn!(
                "{suspect} ends servers, but a voter of an earlier build is left; \
                 upgrade it, then it is found again: {evidence}"
            );
            return;
        }
        log::warn!("{suspect} ends servers, calls with it are refused: {evidence}");
        self.submit_block(match suspect {
            Suspect::Part(part) => ControlCommand::BlockPart { part, evidence },
            Suspect::Request(request) => ControlCommand::BlockRequest { request, evidence },
        })
        .await;
    }

    async fn let_through(&self, suspect: Suspect) {
        log::info!(
            "{suspect} was blocked for {BLOCK_TIME:?}, calls with it are let through on trial"
        );
        self.submit_block(match suspect {
            Suspect::Part(part) => ControlCommand::ClearPart(part),
            Suspect::Request(request) => ControlCommand::ClearRequest(request),
        })
        .await;
    }

    async fn submit_block(&self, command: ControlCommand) {
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        if let Err(error) = self.cluster.control().submit(bytes.into()).await {
            log::warn!("{command:?} is not known to be in force: {error}");
        }
    }
}

/// Has proved parts and requests blocked while this daemon leads the control group, forever.
pub async fn block_deadly_parts(node: Arc<Node>) {
    loop {
        // A timeout means that no server has ended; evidence may still have come with time.
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.parts.ended.notified()).await;
        let control = node.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let convict = |evidence: &mut TermEvidence| evidence.suspicion.convict(now());
        while let Some(convict) = node.parts.update(status.term, convict) {
            node.block(convict).await;
        }
        let blocked = node.read_control(|state| state.blocked_parts().clone());
        metrics::gauge!("samphireshift_blocked_parts").set(blocked.len() as f64);
        let due = |evidence: &mut TermEvidence| evidence.due_trials(now(), &blocked);
        for suspect in node.parts.update(status.term, due) {
            node.let_through(suspect).await;
        }
    }
}
