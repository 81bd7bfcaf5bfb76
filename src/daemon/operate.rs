//! Operators' calls, answered by the control group's leader or forwarded to it.

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

/// How long a leader is looked for.
const LEADER_LIMIT: Duration = Duration::from_secs(8);
/// How long a leader's answer may take before the leader is looked for anew.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// The longest part of a wait for `in force` that one question to a leader takes.
const WAIT_PART: Duration = Duration::from_secs(1);
/// How long a founder waits for all the voters that are wanted, beyond the seeds.
const FORMING: Duration = Duration::from_secs(5);
/// The pause before the leader is looked for again.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Node {
    /// Has the leader answer a call, wherever it is.
    ///
    /// # Errors
    /// Where no leader answers in time.
    pub async fn ask_leader(&self, call: OperatorCall) -> Result<OperatorReply, Unavailable> {
        let wait = wait_of(&call);
        let begun = Instant::now();
        let mut until = begun + LEADER_LIMIT;
        let mut round = 0;
        while Instant::now() < until {
            let left = (begun + wait).saturating_duration_since(Instant::now());
            match self.ask_once(&in_parts(&call, left), round).await {
                Some(OperatorReply::NotLeader { leader }) => {
                    self.cluster.hint(GroupId::Control, leader);
                }
                Some(OperatorReply::Lost) => {}
                // The leader may be gone for good while its connection looks alive.
                None => self.cluster.hint(GroupId::Control, None),
                Some(OperatorReply::InForce { reached: false, .. }) if left > WAIT_PART => {
                    until = Instant::now() + LEADER_LIMIT;
                    continue;
                }
                Some(reply) => return Ok(reply),
            }
            round += 1;
            tokio::time::sleep(RETRY_AFTER).await;
        }
        Err(Unavailable)
    }

    async fn ask_once(&self, call: &OperatorCall, round: usize) -> Option<OperatorReply> {
        if self.cluster.control().status().leading {
            return Some(self.operate(call.clone()).await);
        }
        let client = self.cluster.way_to_leader(GroupId::Control, round)?;
        let mut context = context::current();
        context.deadline = Instant::now() + wait_of(call) + ANSWER_LIMIT;
        client.operate(context, call.clone()).await.ok()
    }

    /// Answers a call as leader.
    pub async fn operate(&self, call: OperatorCall) -> OperatorReply {
        let reply = self.answer(call).await;
        match self.cluster.control().may_serve_reads() {
            true => reply,
            false => OperatorReply::NotLeader { leader: self.leader() },
        }
    }

    async fn answer(&self, call: OperatorCall) -> OperatorReply {
        match call {
            OperatorCall::Ticket { ticket, dry_run: true } => {
                OperatorReply::Ticket(self.control(|state| state.dry_run_ticket(&ticket)))
            }
            OperatorCall::Ticket { ticket, dry_run: false } => self.apply_ticket(ticket).await,
            OperatorCall::InForce { revision, wait } => {
                self.in_force(revision, Duration::from_millis(wait)).await
            }
            OperatorCall::Tickets { most } => OperatorReply::Tickets(self.control(|state| {
                state
                    .tickets()
                    .take(most)
                    .map(|(number, record)| (number, record.clone()))
                    .collect()
            })),
            OperatorCall::ShowTicket(number) => {
                OperatorReply::ShowTicket(self.control(|state| state.ticket(number).cloned()))
            }
            OperatorCall::Config => {
                OperatorReply::Config(self.control(|state| state.config().clone()))
            }
            OperatorCall::Evidence => OperatorReply::Evidence(self.evidence()),
            OperatorCall::BillSums => OperatorReply::BillSums(self.bill_sums()),
            OperatorCall::Bills(organisation) => OperatorReply::Bills(self.bills(&organisation)),
            OperatorCall::Replace(table) => {
                self.commit(ControlCommand::ReplaceRouteTable(table)).await
            }
            OperatorCall::Table => {
                OperatorReply::Table(self.control(|state| state.config().route_table.clone()))
            }
            OperatorCall::Begin(rollout) => match self.has_pool(&rollout.pool) {
                true => self.commit(ControlCommand::StartPoolRollout(rollout)).await,
                false => OperatorReply::NoPool,
            },
            OperatorCall::PoolRollout(pool) => OperatorReply::PoolRollout(
                self.control(|state| state.config().pool_rollouts.get(&pool).cloned()),
            ),
            OperatorCall::LiveRouters => match self.live_routers() {
                Some(live) => OperatorReply::LiveRouters(live),
                None => OperatorReply::NotLeader { leader: self.leader() },
            },
        }
    }

    fn has_pool(&self, pool: &PoolName) -> bool {
        self.control(|state| {
            let table = state.config().route_table.as_ref();
            table.is_some_and(|table| table.pool(pool).is_some())
        })
    }

    /// Whether there are too few voters yet: fewer than wanted in the leader's first moments, or
    /// fewer than the seeds that are known to exist.
    fn is_forming(&self) -> bool {
        let Settings { voters, seeds, .. } = &self.settings;
        let status = self.cluster.control().status();
        let young = since_start() < status.leader_since + FORMING;
        let wanted = if young { *voters } else { (*voters).min(seeds.len()) };
        status.term == 1 && status.members.voters.len() < wanted
    }

    /// Commits a command whose repetition changes nothing.
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

    async fn in_force(&self, revision: u64, wait: Duration) -> OperatorReply {
        match self.await_in_force(revision, wait).await {
            Some((reached, lagging)) => {
                if reached {
                    self.note_in_force(revision);
                }
                OperatorReply::InForce { reached, lagging }
            }
            None => OperatorReply::NotLeader { leader: self.leader() },
        }
    }

    /// Records that the ticket of a revision was seen in force.
    fn note_in_force(&self, revision: u64) {
        let ticket = self.control(|state| {
            let mut tickets = state.tickets();
            tickets.find(|(_, record)| record.revision == revision).map(|(number, _)| number)
        });
        if let Some(ticket) = ticket {
            self.journal.record(Event::TicketInForce { ticket, revision });
        }
    }

    fn bill_sums(&self) -> Vec<(OrganisationName, BillSum)> {
        let mut sums: BTreeMap<OrganisationName, BillSum> = BTreeMap::new();
        self.each_ledger(|state| {
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
        self.each_ledger(|state| bills.extend(state.bills(organisation).cloned()));
        bills
    }

    fn each_ledger<F>(&self, mut look: F)
    where
        F: FnMut(&LedgerState),
    {
        for group in self.cluster.groups() {
            group.read(|state| match state {
                ReplicatedState::Ledger(state) => look(state),
                ReplicatedState::Control(_) => {}
            });
        }
    }
}

/// How long the leader itself waits before it answers a call.
fn wait_of(call: &OperatorCall) -> Duration {
    match call {
        OperatorCall::InForce { wait, .. } => Duration::from_millis(*wait),
        _ => Duration::ZERO,
    }
}

/// The call with at most one part of its wait, of which `left` is left.
fn in_parts(call: &OperatorCall, left: Duration) -> OperatorCall {
    match call {
        OperatorCall::InForce { revision, .. } => {
            let wait = left.min(WAIT_PART).as_millis() as u64;
            OperatorCall::InForce { revision: *revision, wait }
        }
        call => call.clone(),
    }
}
