//! Orders to evacuate data centres and to take them back, as the control group's leader handles them.

use super::Node;
use super::operator_requests::ACCEPT_TIMEOUT;
use crate::control::{ControlState, OperatorOrder};
use crate::event::Event;
use crate::name::DataCentre;
use crate::peer::{OperatorResponse, ProtocolVersion};
use std::time::Instant;

impl Node {
    /// Evacuates a data centre. The order is accepted when no router can send calls there for longer than
    /// promised, at once or by the end of its lease; an operator who gets `OutcomeUnknown` asks again.
    pub(super) async fn begin_evacuation(
        &self,
        data_centre: DataCentre,
        after: Option<u64>,
    ) -> OperatorResponse {
        let deadline = Instant::now() + ACCEPT_TIMEOUT;
        let order = OperatorOrder::BeginEvacuation(data_centre.clone());
        let is_done = |state: &ControlState| state.config().is_evacuated(&data_centre);
        let committed = self.commit_evacuation(&data_centre, order, after, is_done).await;
        if !matches!(committed, OperatorResponse::Committed) {
            return committed;
        }
        let lag = self.settings.fleet_limits.max_evacuation_lag();
        self.accept_change(&format!("evacuation of {data_centre}"), lag, deadline).await
    }

    /// Takes a data centre back. That is accepted when it is committed: no rule depends on how soon its servers
    /// get calls again.
    pub(super) async fn finish_evacuation(
        &self,
        data_centre: DataCentre,
        after: Option<u64>,
    ) -> OperatorResponse {
        let order = OperatorOrder::FinishEvacuation(data_centre.clone());
        let is_done = |state: &ControlState| {
            state.ordered_centres().contains(&data_centre)
                && !state.config().is_evacuated(&data_centre)
        };
        self.commit_evacuation(&data_centre, order, after, is_done).await
    }

    /// Commits an order for a data centre that is known, unless what it orders is so already.
    async fn commit_evacuation<F>(
        &self,
        data_centre: &DataCentre,
        order: OperatorOrder,
        after: Option<u64>,
        is_done: F,
    ) -> OperatorResponse
    where
        F: Fn(&ControlState) -> bool,
    {
        if self.read_control(|state| is_done(state)) {
            return OperatorResponse::Committed;
        }
        match self.knows_data_centre(data_centre) {
            Some(true) => {}
            Some(false) => return OperatorResponse::UnknownDataCentre,
            None => {
                log::info!(
                    "{data_centre} is not known to be a data centre yet: there is no VM list, or \
                     its daemons have not connected to this new leader"
                );
                return OperatorResponse::OutcomeUnknown;
            }
        }
        if self.has_voter_before(ProtocolVersion::EVACUATIONS) {
            log::warn!(
                "{data_centre}: a voter of an earlier build cannot read the order; upgrade it"
            );
            return OperatorResponse::OutcomeUnknown;
        }
        let is_begun = || self.read_control(|state| state.config().is_evacuated(data_centre));
        let before = is_begun();
        let committed = self.commit_order(order, after).await;
        match (before, is_begun()) {
            (false, true) => {
                self.journal.record(Event::EvacuationBegun { data_centre: data_centre.clone() });
            }
            (true, false) => {
                self.journal.record(Event::EvacuationFinished { data_centre: data_centre.clone() });
            }
            _ => {}
        }
        committed
    }

    /// Whether a data centre exists: an order was accepted for it before, or a daemon or a backend
    /// server is there. `None` if that cannot be told: without a VM list, or while routers work on
    /// a lease of an earlier leader and may not have connected to this one.
    fn knows_data_centre(&self, data_centre: &DataCentre) -> Option<bool> {
        let is_ordered = self.read_control(|state| state.ordered_centres().contains(data_centre));
        let members = self.cluster.control().status().members;
        let has_member = members.all().any(|member| member.data_centre == *data_centre);
        if is_ordered || has_member || self.helpers.has_daemon_in(data_centre) {
            return Some(true);
        }
        if self.has_server_in(data_centre)? {
            return Some(true);
        }
        let is_settled = self.live_routers().flatten().is_some();
        is_settled.then_some(false)
    }

    /// Whether a backend server is listed in a data centre; `None` without a VM list.
    fn has_server_in(&self, data_centre: &DataCentre) -> Option<bool> {
        if let Some(router) = &self.router {
            let vms = router.vms.current();
            return Some(vms.all().any(|vm| vm.data_centre == *data_centre));
        }
        let list = self.pools.vm_list.borrow().clone()?;
        Some(list.vms.iter().any(|vm| vm.data_centre == *data_centre))
    }
}
