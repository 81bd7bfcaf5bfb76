//! Requests of operators, answered by the control group's leader or forwarded to it.

use super::leader_question::{LeaderQuestion, Patience, leader_wait};
use super::{NoAnswer, Node};
use crate::control::{
    ControlCommand, ControlOutcome, OperatorOrder, PoolRollout, RegionRules, RouteTable, Suspect,
    Ticket, TicketAnswer,
};
use crate::event::Event;
use crate::group::since_start;
use crate::name::{DataCentre, PoolName, VmName};
use crate::peer::{OperatorRequest, OperatorResponse, ProtocolVersion};
use crate::settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time to find a leader that answers.
const LEADER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for a change to be committed and accepted in one request to the leader; then the request is
/// made again. Shorter than the time for which callers of the API wait.
pub(super) const ACCEPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum wait in one request to the leader; longer waits for a revision to be in force are split.
const MAX_WAIT_PER_REQUEST: Duration = Duration::from_secs(1);
/// Time after the election of the first leader in which changes require the target number of
/// voters. Afterwards as many voters as there are seeds are enough, if that is less.
const FORMATION_GRACE: Duration = Duration::from_secs(5);

impl Node {
    /// Sends a request to the leader of the control group (or handles it here if that is this
    /// daemon), and retries until a leader responds; longer waits for a revision are split.
    ///
    /// # Errors
    /// If no leader answers in time.
    pub async fn ask_leader(&self, request: OperatorRequest) -> Result<OperatorResponse, NoAnswer> {
        let until = Instant::now() + leader_wait(&request);
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let patience = Patience::ThroughElection(Instant::now() + LEADER_TIMEOUT);
            let partial = with_partial_wait(&request, remaining);
            match self.ask_leader_for(partial, patience).await? {
                OperatorResponse::InForce { reached: false, .. }
                    if remaining > MAX_WAIT_PER_REQUEST => {}
                response => return Ok(response),
            }
        }
    }

    /// The same, for as long as the caller of the request waits.
    ///
    /// # Errors
    /// If no leader answers in time, or it is known that nobody leads.
    pub async fn ask_leader_for(
        &self,
        request: OperatorRequest,
        patience: Patience,
    ) -> Result<OperatorResponse, NoAnswer> {
        LeaderQuestion::new(self, request, patience).ask().await
    }

    /// Handles a request as leader. Leadership is checked after the request has been processed, so
    /// the response is not stale; a request to a ledger group's leader checks that one's.
    pub async fn handle_request(&self, request: OperatorRequest) -> OperatorResponse {
        let is_of_ledger = matches!(request, OperatorRequest::AtLedger(..));
        let response = self.dispatch_request(request).await;
        match is_of_ledger || self.cluster.control().may_serve_reads() {
            true => response,
            false => OperatorResponse::NotLeader { leader: self.leader() },
        }
    }

    async fn dispatch_request(&self, request: OperatorRequest) -> OperatorResponse {
        let (request, after) = match request {
            OperatorRequest::Confirmed { order, after } => (*order, Some(after)),
            request => (request, None),
        };
        match request {
            OperatorRequest::Confirmed { .. } => {
                log::warn!("an order was confirmed twice in one request; it is not carried out");
                OperatorResponse::OutcomeUnknown
            }
            OperatorRequest::ApplyTicket { ticket, dry_run: true } => {
                OperatorResponse::Ticket(self.read_control(|state| state.dry_run_ticket(&ticket)))
            }
            OperatorRequest::ApplyTicket { ticket, dry_run: false } => {
                self.apply_ticket(ticket).await
            }
            OperatorRequest::AwaitInForce { revision, wait_ms } => {
                self.wait_in_force(revision, Duration::from_millis(wait_ms)).await
            }
            OperatorRequest::Tickets { limit } => {
                OperatorResponse::Tickets(self.read_control(|state| {
                    state
                        .tickets()
                        .take(limit)
                        .map(|(number, record)| (number, record.clone()))
                        .collect()
                }))
            }
            OperatorRequest::ShowTicket(number) => OperatorResponse::ShowTicket(
                self.read_control(|state| state.ticket(number).cloned()),
            ),
            OperatorRequest::Config => {
                OperatorResponse::Config(self.read_control(|state| state.config().clone()))
            }
            OperatorRequest::Evidence => OperatorResponse::Evidence(self.evidence()),
            OperatorRequest::BillSums => self.bill_sums().await,
            OperatorRequest::Bills(organisation) => self.bills(organisation).await,
            OperatorRequest::AtLedger(group, request) => self.read_bills(group, &request),
            OperatorRequest::ReplaceRouteTable(table) => {
                self.replace_route_table(table, Arc::default()).await
            }
            OperatorRequest::ReplaceTableInRegions(table, rules) => {
                self.replace_route_table(table, rules).await
            }
            OperatorRequest::RouteTable => OperatorResponse::RouteTable(
                self.read_control(|state| state.config().route_table.clone()),
            ),
            OperatorRequest::StartPoolRollout(rollout) => {
                self.start_pool_rollout(rollout, after).await
            }
            OperatorRequest::PoolRollout(pool) => OperatorResponse::PoolRollout(
                self.read_control(|state| state.config().pool_rollouts.get(&pool).cloned()),
            ),
            OperatorRequest::BlockedParts => {
                let blocked = self.read_control(|state| state.blocked_parts().clone());
                let requests = blocked.requests.clone();
                match requests.is_empty() {
                    true => OperatorResponse::BlockedParts(blocked),
                    false => OperatorResponse::Blocked(blocked, requests),
                }
            }
            OperatorRequest::ClearPart(id) => match self.blocked_with_id(id) {
                Some(suspect) => self.commit_order(OperatorOrder::Clear(suspect), after).await,
                None => OperatorResponse::UnknownPart,
            },
            OperatorRequest::BeginEvacuation(data_centre) => {
                self.begin_evacuation(data_centre, after).await
            }
            OperatorRequest::FinishEvacuation(data_centre) => {
                self.finish_evacuation(data_centre, after).await
            }
            OperatorRequest::Evacuations => OperatorResponse::Evacuations(
                self.read_control(|state| state.config().evacuated.clone()),
            ),
            OperatorRequest::LiveRouters => match self.live_routers() {
                Some(live) => OperatorResponse::LiveRouters(live),
                None => OperatorResponse::NotLeader { leader: self.leader() },
            },
        }
    }

    /// The blocked part or request with this id.
    fn blocked_with_id(&self, id: u64) -> Option<Suspect> {
        self.read_control(|state| {
            let mut all = state.blocked_parts().all().map(|(suspect, _)| suspect);
            all.find(|suspect| suspect.id() == id)
        })
    }

    fn has_pool(&self, pool: &PoolName) -> bool {
        self.read_control(|state| {
            let table = state.config().route_table.as_ref();
            table.is_some_and(|table| table.pool(pool).is_some())
        })
    }

    async fn start_pool_rollout(
        &self,
        rollout: PoolRollout,
        after: Option<u64>,
    ) -> OperatorResponse {
        match self.has_pool(&rollout.pool) {
            true => self.commit_order(OperatorOrder::StartPoolRollout(rollout), after).await,
            false => OperatorResponse::UnknownPool,
        }
    }

    /// Commits an order; `after` is the number that its caller has confirmed it with. Beside a voter of an
    /// earlier build it is carried out as that does it, late copies too.
    pub(super) async fn commit_order(
        &self,
        order: OperatorOrder,
        after: Option<u64>,
    ) -> OperatorResponse {
        let is_readable = !self.has_voter_before(ProtocolVersion::CONFIRMED_ORDERS);
        let command = match (is_readable, order) {
            (true, order) => ControlCommand::Order { order, after },
            (false, OperatorOrder::StartPoolRollout(rollout)) => {
                ControlCommand::StartPoolRollout(rollout)
            }
            (false, OperatorOrder::BeginEvacuation(centre)) => {
                ControlCommand::BeginEvacuation(centre)
            }
            (false, OperatorOrder::FinishEvacuation(centre)) => {
                ControlCommand::FinishEvacuation(centre)
            }
            (false, OperatorOrder::Clear(Suspect::Part(part))) => ControlCommand::ClearPart(part),
            (false, OperatorOrder::Clear(Suspect::Request(request))) => {
                ControlCommand::ClearRequest(request)
            }
        };
        self.commit(command).await
    }

    /// Whether the first leader still has too few voters to accept changes: fewer than the target
    /// during `FORMATION_GRACE`, afterwards fewer than the lesser of the target and the number of
    /// seeds.
    pub(super) fn is_forming(&self) -> bool {
        let Settings { target_voters, seeds, .. } = &self.settings;
        let status = self.cluster.control().status();
        let in_grace = since_start() < status.leader_since + FORMATION_GRACE;
        let required = if in_grace { *target_voters } else { (*target_voters).min(seeds.len()) };
        status.term == 1 && self.formation.is_forming(status.members.voters.len(), required)
    }

    /// Commits an idempotent command.
    pub(super) async fn commit(&self, command: ControlCommand) -> OperatorResponse {
        if self.is_forming() {
            return OperatorResponse::TooFewVoters;
        }
        let started = Instant::now();
        let what = describe(&command);
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        let size = bytes.len();
        let submitted = self.cluster.control().submit(bytes.into()).await;
        let took_ms = started.elapsed().as_millis();
        let revision = self.read_control(|state| state.config().revision);
        let outcome = submitted.map(|outcome| postcard::from_bytes::<ControlOutcome>(&outcome));
        match outcome {
            Ok(Ok(ControlOutcome::NeedsConfirmation(after))) => {
                log::info!("{what} may be a late copy, its caller is asked to confirm it");
                OperatorResponse::NeedsConfirmation { after }
            }
            Ok(Ok(_)) => {
                log::info!("{what} committed in {took_ms} ms, {size} bytes; revision {revision}");
                OperatorResponse::Committed
            }
            Ok(Err(error)) => {
                log::error!("{what} committed, but its outcome cannot be read: {error}");
                OperatorResponse::OutcomeUnknown
            }
            Err(error) => {
                log::warn!("{what} not known to be committed after {took_ms} ms: {error}");
                OperatorResponse::OutcomeUnknown
            }
        }
    }

    /// Commits a route table, and waits until the routers without it stop soon enough for the bound
    /// on its application. An operator who gets `OutcomeUnknown` asks again.
    async fn replace_route_table(
        &self,
        table: Arc<RouteTable>,
        rules: Arc<RegionRules>,
    ) -> OperatorResponse {
        let deadline = Instant::now() + ACCEPT_TIMEOUT;
        let number = table.number;
        let is_stored = self.read_control(|state| {
            let stored = state.config().route_table.as_ref();
            stored.is_some_and(|stored| stored.number >= number)
        });
        if !is_stored {
            if !rules.is_empty() && self.has_voter_before(ProtocolVersion::REGIONS) {
                log::warn!(
                    "route table {number}: a voter of an earlier build cannot read its regions; \
                     upgrade it"
                );
                return OperatorResponse::OutcomeUnknown;
            }
            let command = match rules.is_empty() {
                true => ControlCommand::ReplaceRouteTable(table),
                false => ControlCommand::ReplaceTableInRegions(table, rules),
            };
            let committed = self.commit(command).await;
            if !matches!(committed, OperatorResponse::Committed) {
                return committed;
            }
        }
        let lag = self.settings.fleet_limits.max_lag();
        self.accept_change(&format!("route table {number}"), lag, deadline).await
    }

    /// Accepts a change that is committed, once no router works without it for longer than `lag`. An operator
    /// who gets `OutcomeUnknown` asks again.
    pub(super) async fn accept_change(
        &self,
        what: &str,
        lag: Duration,
        deadline: Instant,
    ) -> OperatorResponse {
        let revision = self.read_control(|state| state.config().revision);
        let wait = deadline.saturating_duration_since(Instant::now());
        match self.await_in_force(revision, lag, wait).await {
            Some((true, _)) => OperatorResponse::Committed,
            Some((false, lagging)) => {
                log::info!("{what} is not accepted yet: {}", describe_lag(&lagging));
                OperatorResponse::OutcomeUnknown
            }
            None => OperatorResponse::NotLeader { leader: self.leader() },
        }
    }

    async fn apply_ticket(&self, ticket: Ticket) -> OperatorResponse {
        let number = ticket.number;
        let command = ControlCommand::Ticket(ticket);
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        let Ok(outcome) = self.cluster.control().submit(bytes.into()).await else {
            return OperatorResponse::OutcomeUnknown;
        };
        let Ok(ControlOutcome::Ticket(answer)) = postcard::from_bytes(&outcome) else {
            return OperatorResponse::OutcomeUnknown;
        };
        self.journal.record(match &answer {
            TicketAnswer::Accepted { revision } => {
                Event::TicketAccepted { ticket: number, revision: *revision }
            }
            TicketAnswer::Refused(refusal) => {
                Event::TicketRefused { ticket: number, reason: refusal.to_string() }
            }
        });
        OperatorResponse::Ticket(answer)
    }

    async fn wait_in_force(&self, revision: u64, wait: Duration) -> OperatorResponse {
        match self.await_in_force(revision, Duration::ZERO, wait).await {
            Some((reached, lagging)) => {
                if reached {
                    self.record_in_force(revision);
                }
                OperatorResponse::InForce { reached, lagging }
            }
            None => OperatorResponse::NotLeader { leader: self.leader() },
        }
    }

    /// Records an event for the ticket of a revision that is in force.
    fn record_in_force(&self, revision: u64) {
        let ticket = self.read_control(|state| {
            let mut tickets = state.tickets();
            tickets.find(|(_, record)| record.revision == revision).map(|(number, _)| number)
        });
        if let Some(ticket) = ticket {
            self.journal.record(Event::TicketInForce { ticket, revision });
        }
    }
}

/// What a command does, for logs.
fn describe(command: &ControlCommand) -> String {
    match command {
        ControlCommand::ReplaceRouteTable(table)
        | ControlCommand::ReplaceTableInRegions(table, _) => {
            format!("route table {} with {} routes", table.number, table.routes.len())
        }
        ControlCommand::StartPoolRollout(rollout) => describe_rollout(rollout),
        ControlCommand::BeginEvacuation(centre) => describe_evacuation(centre),
        ControlCommand::FinishEvacuation(centre) => describe_return(centre),
        ControlCommand::Order { order, .. } => describe_order(order),
        ControlCommand::ClearPart(part) => format!("clearing of part {part:x} of prompts"),
        ControlCommand::ClearRequest(request) => format!("clearing of request {request:x}"),
        _ => "a change".to_owned(),
    }
}

fn describe_order(order: &OperatorOrder) -> String {
    match order {
        OperatorOrder::StartPoolRollout(rollout) => describe_rollout(rollout),
        OperatorOrder::BeginEvacuation(centre) => describe_evacuation(centre),
        OperatorOrder::FinishEvacuation(centre) => describe_return(centre),
        OperatorOrder::Clear(suspect) => format!("clearing of {suspect}"),
    }
}

fn describe_rollout(rollout: &PoolRollout) -> String {
    format!("roll-out of pool {} to {}", rollout.pool, rollout.target)
}

fn describe_evacuation(centre: &DataCentre) -> String {
    format!("evacuation of data centre {centre}")
}

fn describe_return(centre: &DataCentre) -> String {
    format!("end of the evacuation of data centre {centre}")
}

/// Why a revision is not in force, for logs.
fn describe_lag(lagging: &[VmName]) -> String {
    match lagging {
        [] => "leases of an earlier leader may last too long".to_owned(),
        [first, ..] => format!("{} routers lack it, {first} among them", lagging.len()),
    }
}

/// The request with its wait limited to `MAX_WAIT_PER_REQUEST` and to the `remaining` time.
fn with_partial_wait(request: &OperatorRequest, remaining: Duration) -> OperatorRequest {
    match request {
        OperatorRequest::AwaitInForce { revision, .. } => {
            let wait_ms = remaining.min(MAX_WAIT_PER_REQUEST).as_millis() as u64;
            OperatorRequest::AwaitInForce { revision: *revision, wait_ms }
        }
        request => request.clone(),
    }
}
