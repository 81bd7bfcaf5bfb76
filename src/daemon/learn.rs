//! What the leader learns from the reports of all routers.

use super::Node;
use crate::peer::{EvidenceView, LeaseAsk, StoppedVersion};
use crate::policy::{FleetStatsChange, StatsAggregator};

impl Node {
    /// Takes a router's report in, once; tells the last one taken in and what is new to the router.
    pub fn take_report(&self, ask: &LeaseAsk) -> (u64, Option<FleetStatsChange>) {
        let config = self.control(|state| state.config().clone());
        let taken = self.with_board(|board| {
            let report = ask.report.as_ref();
            let counted = report.map_or(0, |report| board.merge(&config, &ask.router, report));
            (counted, board.change_since(ask.epoch))
        });
        taken.unwrap_or_default()
    }

    /// What is known of versions, for operators.
    pub fn evidence(&self) -> EvidenceView {
        let stopped = self.control(|state| {
            let stop = |(version, evidence): (&crate::name::VersionKey, &str)| StoppedVersion {
                version: version.clone(),
                evidence: evidence.to_owned(),
            };
            state.stopped_versions().map(stop).collect()
        });
        let known = self.with_board(|board| (board.evidence(), board.answer_stats()));
        let (evidence, learned) = known.unwrap_or_default();
        EvidenceView { stopped, evidence, learned }
    }

    /// Works on the board of the current term, which goes on from the committed summary; `None`
    /// where this daemon does not lead.
    pub(super) fn with_board<F, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce(&mut StatsAggregator) -> T,
    {
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            return None;
        }
        let mut board = self.board.lock().expect("board lock");
        if board.as_ref().is_none_or(|board| board.term() < status.term) {
            *board = Some(
                self.control(|state| StatsAggregator::from_summary(status.term, state.summary())),
            );
        }
        board.as_mut().filter(|board| board.term() == status.term).map(work)
    }
}
