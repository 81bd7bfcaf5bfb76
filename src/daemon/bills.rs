//! Bills, which the leader of the control group collects from the leaders of the ledger groups.
//! Another member of a ledger group learns late that a bill is committed.

use super::Node;
use crate::group::{Group, GroupId, ReplicatedState};
use crate::ledger::BillSum;
use crate::name::OrganisationName;
use crate::peer::{OperatorRequest, OperatorResponse, ProtocolVersion};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tarpc::context;

/// Time to find a leader of a ledger group that answers; then the operator's request is made again.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a ledger group is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

impl Node {
    /// The sums of all bills, by organisation.
    pub(super) async fn bill_sums(&self) -> OperatorResponse {
        let Some(responses) = self.ask_ledgers(&OperatorRequest::BillSums).await else {
            return OperatorResponse::OutcomeUnknown;
        };
        let mut sums: BTreeMap<OrganisationName, BillSum> = BTreeMap::new();
        for response in responses {
            let OperatorResponse::BillSums(part) = response else { continue };
            part.into_iter().for_each(|(name, sum)| sums.entry(name).or_default().merge(&sum));
        }
        OperatorResponse::BillSums(sums.into_iter().collect())
    }

    /// The bills of an organisation.
    pub(super) async fn bills(&self, organisation: OrganisationName) -> OperatorResponse {
        let Some(responses) = self.ask_ledgers(&OperatorRequest::Bills(organisation)).await else {
            return OperatorResponse::OutcomeUnknown;
        };
        let bills = responses.into_iter().flat_map(|response| match response {
            OperatorResponse::Bills(bills) => bills,
            _ => Vec::new(),
        });
        OperatorResponse::Bills(bills.collect())
    }

    /// Answers a request for bills from one ledger group, if this daemon leads that.
    pub(super) fn read_bills(&self, id: GroupId, request: &OperatorRequest) -> OperatorResponse {
        let group = self.cluster.group(id);
        let response = group.and_then(|group| stored_bills(group, request));
        // Checked after the read, so that the response is not stale.
        match response.filter(|_| group.is_some_and(|group| group.may_serve_reads())) {
            Some(response) => response,
            None => OperatorResponse::NotLeader { leader: self.cluster.leader(id) },
        }
    }

    /// The responses of all ledger groups; `None` if one has no leader that answers in time.
    async fn ask_ledgers(&self, request: &OperatorRequest) -> Option<Vec<OperatorResponse>> {
        let deadline = Instant::now() + LEDGER_TIMEOUT;
        let ledgers = self.cluster.groups().filter(|group| group.id() != GroupId::Control);
        let questions = ledgers.map(|group| self.ask_ledger(group, request, deadline));
        futures::future::join_all(questions).await.into_iter().collect()
    }

    async fn ask_ledger(
        &self,
        group: &Group,
        request: &OperatorRequest,
        deadline: Instant,
    ) -> Option<OperatorResponse> {
        while Instant::now() < deadline {
            let response = self.ask_ledger_leader(group, request, deadline).await;
            match response.unwrap_or(OperatorResponse::NotLeader { leader: None }) {
                OperatorResponse::NotLeader { leader } => {
                    self.cluster.set_leader_hint(group.id(), leader)
                }
                response => return Some(response),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        log::info!("{}: no leader tells the bills", group.id());
        None
    }

    /// Asks whoever is taken for the group's leader; `None` if nobody is, or no answer comes.
    async fn ask_ledger_leader(
        &self,
        group: &Group,
        request: &OperatorRequest,
        deadline: Instant,
    ) -> Option<OperatorResponse> {
        let id = group.id();
        if group.status().leading {
            return Some(self.read_bills(id, request));
        }
        let (leader, peers) = (self.cluster.leader(id)?, self.cluster.peers());
        if peers.version_of(&leader)? < ProtocolVersion::LEDGER_READS {
            log::info!("{leader} is of an earlier build; the bills of {id} may lag behind it");
            return stored_bills(group, request);
        }
        let mut context = context::current();
        context.deadline = deadline;
        let request = OperatorRequest::AtLedger(id, Box::new(request.clone()));
        let asked = peers.client(&leader)?.operate(context, request).await;
        asked.inspect_err(|error| log::info!("{leader} does not tell the bills: {error}")).ok()
    }
}

/// The response from this daemon's copy of a ledger group; `None` to what is no request for bills.
fn stored_bills(group: &Group, request: &OperatorRequest) -> Option<OperatorResponse> {
    group.read(|state| match (state, request) {
        (ReplicatedState::Ledger(state), OperatorRequest::BillSums) => {
            let sums = state.bill_sums().map(|(name, sum)| (name.clone(), sum.clone()));
            Some(OperatorResponse::BillSums(sums.collect()))
        }
        (ReplicatedState::Ledger(state), OperatorRequest::Bills(organisation)) => {
            Some(OperatorResponse::Bills(state.bills(organisation).cloned().collect()))
        }
        _ => None,
    })
}
