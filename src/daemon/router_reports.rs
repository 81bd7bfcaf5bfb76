//! Aggregation of the statistics that routers report to the leader.

use super::Node;
use crate::peer::{EvidenceView, LeaseRequest, StoppedVersion};
use crate::policy::{FleetStatsChange, StatsAggregator};

impl Node {
    /// Merges a router's report unless it was merged before. Returns the number of the last merged
    /// report and the change of the statistics that the router lacks; defaults if this daemon does
    /// not lead.
    pub fn merge_report(&self, request: &LeaseRequest) -> (u64, Option<FleetStatsChange>) {
        let config = self.read_control(|state| state.config().clone());
        let merged = self.with_aggregator(|aggregator| {
            let report = request.report.as_ref();
            let counted =
                report.map_or(0, |report| aggregator.merge(&config, &request.router, report));
            (counted, aggregator.change_since(request.epoch))
        });
        merged.unwrap_or_default()
    }

    /// Statistics and test evidence of versions, for operators.
    pub fn evidence(&self) -> EvidenceView {
        let stopped = self.read_control(|state| {
            let to_view = |(version, evidence): (&crate::name::VersionKey, &str)| StoppedVersion {
                version: version.clone(),
                evidence: evidence.to_owned(),
            };
            state.stopped_versions().map(to_view).collect()
        });
        let current =
            self.with_aggregator(|aggregator| (aggregator.evidence(), aggregator.answer_stats()));
        let (evidence, answer_stats) = current.unwrap_or_default();
        EvidenceView { stopped, evidence, answer_stats }
    }

    /// Runs `update` on the aggregator of the current term, which starts from the committed
    /// summary; `None` if this daemon does not lead.
    pub(super) fn with_aggregator<F, T>(&self, update: F) -> Option<T>
    where
        F: FnOnce(&mut StatsAggregator) -> T,
    {
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            return None;
        }
        let mut aggregator = self.aggregator.lock().expect("aggregator lock");
        if aggregator.as_ref().is_none_or(|aggregator| aggregator.term() < status.term) {
            *aggregator =
                Some(self.read_control(|state| {
                    StatsAggregator::from_summary(status.term, state.summary())
                }));
        }
        aggregator.as_mut().filter(|aggregator| aggregator.term() == status.term).map(update)
    }
}
