use super::ticket_book::TicketBook;
use super::{
    Config, ControlCommand, ControlOutcome, ObjectName, PoolRollout, Rollout, RouteTable, Summary,
    Ticket, TicketAnswer, TicketRecord, TicketRefusal, VersionState, validate,
};
use crate::name::VersionKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The control group's state. Applying the same commands in the same order gives the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    config: Arc<Config>,
    carried: BTreeMap<ObjectName, u64>,
    tickets: TicketBook,
    stops: BTreeMap<VersionKey, String>,
    fence: u64,
    summary: Summary,
}

impl ControlState {
    /// The current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// An accepted ticket.
    pub fn ticket(&self, number: u64) -> Option<&TicketRecord> {
        self.tickets.get(number)
    }

    /// Accepted tickets, newest first.
    pub fn tickets(&self) -> impl Iterator<Item = (u64, &TicketRecord)> {
        self.tickets.newest()
    }

    /// The evidence on which a version was stopped.
    pub fn stop_evidence(&self, version: &VersionKey) -> Option<&str> {
        self.stops.get(version).map(String::as_str)
    }

    /// What was learned from answers.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Versions that were stopped, each with its evidence.
    pub fn stops(&self) -> impl Iterator<Item = (&VersionKey, &str)> {
        self.stops.iter().map(|(version, evidence)| (version, evidence.as_str()))
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: ControlCommand) -> ControlOutcome {
        match command {
            ControlCommand::Ticket(ticket) => ControlOutcome::Ticket(self.apply_ticket(ticket)),
            ControlCommand::Stop { version, evidence } => self.apply_stop(version, evidence),
            ControlCommand::Step { before, after } => self.apply_step(&before, after),
            ControlCommand::Fence => {
                self.fence += 1;
                ControlOutcome::Fence(self.fence)
            }
            ControlCommand::Learn(change) => {
                self.summary.apply(change);
                ControlOutcome::Unchanged
            }
            ControlCommand::Replace(table) => self.replace(table),
            ControlCommand::Begin(rollout) => self.begin(rollout),
            ControlCommand::Shift { before, after } => self.shift(&before, after),
        }
    }

    /// What a ticket would bring about now, without applying it.
    pub fn try_ticket(&self, ticket: &Ticket) -> TicketAnswer {
        match self.judge(ticket) {
            Ok(next) => TicketAnswer::Accepted { revision: next.revision },
            Err(answer) => answer,
        }
    }

    fn apply_ticket(&mut self, ticket: Ticket) -> TicketAnswer {
        let next = match self.judge(&ticket) {
            Ok(next) => next,
            Err(answer) => {
                if let TicketAnswer::Refused(refusal @ TicketRefusal::Invalid { .. }) = &answer {
                    self.tickets.refuse(ticket.number, ticket.digest(), refusal.clone());
                }
                return answer;
            }
        };
        let revision = next.revision;
        let objects = ticket.objects();
        for object in &objects {
            self.carried.insert(object.clone(), ticket.number);
            if let ObjectName::Version(key) = object {
                self.stops.remove(key);
            }
        }
        let (digest, author) = (ticket.digest(), ticket.author);
        let record = TicketRecord { digest, author, revision, objects };
        self.tickets.accept(ticket.number, record);
        self.config = Arc::new(next);
        TicketAnswer::Accepted { revision }
    }

    fn judge(&self, ticket: &Ticket) -> Result<Config, TicketAnswer> {
        if let Some(answer) = self.tickets.earlier(ticket.number, ticket.digest()) {
            return Err(answer);
        }
        for object in ticket.objects() {
            let newer = self.carried.get(&object).copied().unwrap_or(0);
            if newer >= ticket.number {
                return Err(TicketAnswer::Refused(TicketRefusal::Stale { object, newer }));
            }
        }
        let next = self.merged(ticket);
        let reasons = validate::reasons(ticket, &self.config, &next);
        match reasons.is_empty() {
            true => Ok(next),
            false => Err(TicketAnswer::Refused(TicketRefusal::Invalid { reasons })),
        }
    }

    fn merged(&self, ticket: &Ticket) -> Config {
        let mut next = Config::clone(&self.config);
        next.revision += 1;
        next.organisations.extend(ticket.organisations.iter().map(|o| (o.name.clone(), o.clone())));
        next.models.extend(ticket.models.iter().map(|m| (m.name.clone(), m.clone())));
        next.versions.extend(ticket.versions.iter().map(|v| (v.key(), v.clone())));
        next.services.extend(ticket.services.iter().map(|s| (s.name.clone(), s.clone())));
        next.rollouts.extend(ticket.rollouts.iter().map(|r| (r.name.clone(), r.clone())));
        next
    }

    fn apply_stop(&mut self, version: VersionKey, evidence: String) -> ControlOutcome {
        let mut next = Config::clone(&self.config);
        let Some(found) = next.versions.get_mut(&version) else { return ControlOutcome::Unchanged };
        if found.state == VersionState::Withdrawn {
            return ControlOutcome::Unchanged;
        }
        found.state = VersionState::Withdrawn;
        for rollout in next.rollouts.values_mut().filter(|r| r.to == version) {
            rollout.status = super::RolloutStatus::Stopped;
        }
        self.stops.insert(version, evidence);
        self.change(next)
    }

    fn apply_step(&mut self, before: &Rollout, after: Rollout) -> ControlOutcome {
        if self.config.rollouts.get(&before.name) != Some(before) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.rollouts.insert(after.name.clone(), after);
        self.change(next)
    }

    fn replace(&mut self, table: Arc<RouteTable>) -> ControlOutcome {
        let held = self.config.table.as_ref();
        if held.is_some_and(|held| held.number >= table.number) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.table = Some(table);
        self.change(next)
    }

    fn begin(&mut self, rollout: PoolRollout) -> ControlOutcome {
        let held = self.config.shifts.get(&rollout.pool);
        if held.is_some_and(|held| held.target == rollout.target) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.shifts.insert(rollout.pool.clone(), rollout);
        self.change(next)
    }

    fn shift(&mut self, before: &PoolRollout, after: PoolRollout) -> ControlOutcome {
        if self.config.shifts.get(&before.pool) != Some(before) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.shifts.insert(after.pool.clone(), after);
        self.change(next)
    }

    fn change(&mut self, mut next: Config) -> ControlOutcome {
        next.revision += 1;
        let revision = next.revision;
        self.config = Arc::new(next);
        ControlOutcome::Changed(revision)
    }
}
