//! Calls of operators, answered by the control group's leader or forwarded to it.

use super::Node;
use crate::control::{ControlCommand, ControlOutcome, Ticket, TicketAnswer};
use crate::event::Event;
use crate::group::since_start;
use crate::group::{GroupId, ReplicatedState};
use crate::ledger::{Bill, BillSum, LedgerState};
use crate::name::{OrganisationName, PoolName};
use crate::peer::{OperatorCall, OperatorReply, Unavailable};
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tarpc::context;

/// Maximum time to find a leader that answers.
const LEADER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time allowed for the leader's response beyond the wait in the call; then another leader is
/// tried.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum wait in one call to the leader; longer waits for a revision to be in force are split.
const MAX_WAIT_PER_CALL: Duration = Duration::from_secs(1);
/// Time after the election of the first leader in which changes require the target number of
/// voters. Afterwards as many voters as there are seeds are enough, if that is less.
const FORMATION_GRACE: Duration = Duration::from_secs(5);
/// Delay before the next attempt to find the leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Node {
    /// Sends a call to the leader of the control group (or answers it here if that is this daemon),
    /// and retries until a leader answers.
    ///
    /// # Errors
    /// If no leader answers in time.
    pub async fn ask_leader(&self, call: OperatorCall) -> Result<OperatorReply, Unavailable> {
        let wait = leader_wait(&call);
        let started = Instant::now();
        let mut deadline = started + LEADER_TIMEOUT;
        let mut attempt = 0;
        while Instant::now() < deadline {
            let remaining = (started + wait).saturating_duration_since(Instant::now());
            match self.ask_once(&with_partial_wait(&call, remaining), attempt).await {
                Some(OperatorReply::NotLeader { leader }) => {
                    self.cluster.hint(GroupId::Control, leader);
                }
                Some(OperatorReply::Lost) => {}
                // The leader may be down although its connection still looks alive.
                None => self.cluster.hint(GroupId::Control, None),
                Some(OperatorReply::InForce { reached: false, .. })
                    if remaining > MAX_WAIT_PER_CALL =>
                {
                    deadline = Instant::now() + LEADER_TIMEOUT;
                    continue;
                }
                Some(reply) => return Ok(reply),
            }
            attempt += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Unavailable)
    }

    async fn ask_once(&self, call: &OperatorCall, attempt: usize) -> Option<OperatorReply> {
        if self.cluster.control().status().leading {
            return Some(self.handle_call(call.clone()).await);
        }
        let client = self.cluster.way_to_leader(GroupId::Control, attempt)?;
        let mut context = context::current();
        context.deadline = Instant::now() + leader_wait(call) + RESPONSE_MARGIN;
        client.operate(context, call.clone()).await.ok()
    }

    /// Answers a call as leader. Leadership is checked after the call has been processed, so the
    /// answer is not stale.
    pub async fn handle_call(&self, call: OperatorCall) -> OperatorReply {
        let reply = self.dispatch_call(call).await;
        match self.cluster.control().may_serve_reads() {
            true => reply,
            false => OperatorReply::NotLeader { leader: self.leader() },
        }
    }

    async fn dispatch_call(&self, call: OperatorCall) -> OperatorReply {
        match call {
            OperatorCall::Ticket { ticket, dry_run: true } => {
                OperatorReply::Ticket(self.read_control(|state| state.dry_run_ticket(&ticket)))
            }
            OperatorCall::Ticket { ticket, dry_run: false } => self.apply_ticket(ticket).await,
            OperatorCall::InForce { revision, wait } => {
                self.wait_in_force(revision, Duration::from_millis(wait)).await
            }
            OperatorCall::Tickets { most } => OperatorReply::Tickets(self.read_control(|state| {
                state
                    .tickets()
                    .take(most)
                    .map(|(number, record)| (number, record.clone()))
                    .collect()
            })),
            OperatorCall::ShowTicket(number) => {
                OperatorReply::ShowTicket(self.read_control(|state| state.ticket(number).cloned()))
            }
            OperatorCall::Config => {
                OperatorReply::Config(self.read_control(|state| state.config().clone()))
            }
            OperatorCall::Evidence => OperatorReply::Evidence(self.evidence()),
            OperatorCall::BillSums => OperatorReply::BillSums(self.bill_sums()),
            OperatorCall::Bills(organisation) => OperatorReply::Bills(self.bills(&organisation)),
            OperatorCall::Replace(table) => {
                self.commit(ControlCommand::ReplaceRouteTable(table)).await
            }
            OperatorCall::Table => {
                OperatorReply::Table(self.read_control(|state| state.config().route_table.clone()))
            }
            OperatorCall::Begin(rollout) => match self.has_pool(&rollout.pool) {
                true => self.commit(ControlCommand::StartPoolRollout(rollout)).await,
                false => OperatorReply::NoPool,
            },
            OperatorCall::PoolRollout(pool) => OperatorReply::PoolRollout(
                self.read_control(|state| state.config().pool_rollouts.get(&pool).cloned()),
            ),
            OperatorCall::LiveRouters => match self.live_routers() {
                Some(live) => OperatorReply::LiveRouters(live),
                None => OperatorReply::NotLeader { leader: self.leader() },
            },
        }
    }

    fn has_pool(&self, pool: &PoolName) -> bool {
        self.read_control(|state| {
            let table = state.config().route_table.as_ref();
            table.is_some_and(|table| table.pool(pool).is_some())
        })
    }

    /// Whether the first leader still has too few voters to accept changes: fewer than the target
    /// during `FORMATION_GRACE`, afterwards fewer than the lesser of the target and the number of
    /// seeds.
    fn is_forming(&self) -> bool {
        let Settings { voters, seeds, .. } = &self.settings;
        let status = self.cluster.control().status();
        let in_grace = since_start() < status.leader_since + FORMATION_GRACE;
        let required = if in_grace { *voters } else { (*voters).min(seeds.len()) };
        status.term == 1 && status.members.voters.len() < required
    }

    /// Commits an idempotent command.
    async fn commit(&self, command: ControlCommand) -> OperatorReply {
        if self.is_forming() {
            return OperatorReply::Forming;
        }
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        match self.cluster.control().submit(bytes.into()).await {
            Ok(_) => OperatorReply::Committed,
            Err(_) => OperatorReply::Lost,
        }
    }

    async fn apply_ticket(&self, ticket: Ticket) -> OperatorReply {
        let number = ticket.number;
        let command = ControlCommand::Ticket(ticket);
        let bytes = postcard::to_stdvec(&command).expect("commands always serialise");
        let Ok(outcome) = self.cluster.control().submit(bytes.into()).await else {
            return OperatorReply::Lost;
        };
        let Ok(ControlOutcome::Ticket(answer)) = postcard::from_bytes(&outcome) else {
            return OperatorReply::Lost;
        };
        self.journal.record(match &answer {
            TicketAnswer::Accepted { revision } => {
                Event::TicketAccepted { ticket: number, revision: *revision }
            }
            TicketAnswer::Refused(refusal) => {
                Event::TicketRefused { ticket: number, reason: refusal.to_string() }
            }
        });
        OperatorReply::Ticket(answer)
    }

    async fn wait_in_force(&self, revision: u64, wait: Duration) -> OperatorReply {
        match self.await_in_force(revision, wait).await {
            Some((reached, lagging)) => {
                if reached {
                    self.record_in_force(revision);
                }
                OperatorReply::InForce { reached, lagging }
            }
            None => OperatorReply::NotLeader { leader: self.leader() },
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

    fn bill_sums(&self) -> Vec<(OrganisationName, BillSum)> {
        let mut sums: BTreeMap<OrganisationName, BillSum> = BTreeMap::new();
        self.for_each_ledger(|state| {
            for (name, sum) in state.bill_sums() {
                let total = sums.entry(name.clone()).or_default();
                total.count += sum.count;
                total.prompt_tokens += sum.prompt_tokens;
                total.answer_tokens += sum.answer_tokens;
                total.cost += sum.cost;
            }
        });
        sums.into_iter().collect()
    }

    fn bills(&self, organisation: &OrganisationName) -> Vec<Bill> {
        let mut bills = Vec::new();
        self.for_each_ledger(|state| bills.extend(state.bills(organisation).cloned()));
        bills
    }

    fn for_each_ledger<F>(&self, mut read: F)
    where
        F: FnMut(&LedgerState),
    {
        for group in self.cluster.groups() {
            group.read(|state| match state {
                ReplicatedState::Ledger(state) => read(state),
                ReplicatedState::Control(_) => {}
            });
        }
    }
}

/// How long the leader may wait before it answers a call.
fn leader_wait(call: &OperatorCall) -> Duration {
    match call {
        OperatorCall::InForce { wait, .. } => Duration::from_millis(*wait),
        _ => Duration::ZERO,
    }
}

/// The call with its wait limited to `MAX_WAIT_PER_CALL` and to the `remaining` time.
fn with_partial_wait(call: &OperatorCall, remaining: Duration) -> OperatorCall {
    match call {
        OperatorCall::InForce { revision, .. } => {
            let wait = remaining.min(MAX_WAIT_PER_CALL).as_millis() as u64;
            OperatorCall::InForce { revision: *revision, wait }
        }
        call => call.clone(),
    }
}
