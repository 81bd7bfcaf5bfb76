use super::order_log::OrderLogs;
use super::ticket_history::TicketHistory;
use super::{
    BlockedParts, Config, ControlCommand, ControlOutcome, ObjectName, OperatorOrder, PoolRollout,
    PoolRolloutStatus, PoolVersions, RegionRules, Rollout, RouteTable, StatsSummary, Suspect,
    Ticket, TicketAnswer, TicketFault, TicketRecord, TicketRefusal, VersionState, validate,
};
use crate::name::{DataCentre, PoolName, VersionKey, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The control group's replicated state machine. It is deterministic: applying the same commands in
/// the same order gives the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    config: Arc<Config>,
    /// The number of the newest ticket applied to each object.
    object_tickets: BTreeMap<ObjectName, u64>,
    tickets: TicketHistory,
    /// The evidence on which versions were stopped; removed when a ticket changes the version.
    stop_evidence: BTreeMap<VersionKey, String>,
    /// The last fencing number issued.
    fence: u64,
    summary: StatsSummary,
    /// Not part of the state's own encoding, which earlier builds read: see
    /// [`crate::group::ReplicatedState::snapshot`].
    #[serde(skip)]
    pub(crate) blocked_parts: BlockedParts,
    /// Not part of that encoding either.
    #[serde(skip)]
    pub(crate) pool_versions: BTreeMap<PoolName, PoolVersions>,
    /// Data centres that operators have ever ordered to evacuate or to take back. Not part of it either.
    #[serde(skip)]
    pub(crate) ordered_centres: BTreeSet<DataCentre>,
    /// The orders that were accepted for each object. Not part of it either.
    #[serde(skip)]
    pub(crate) orders: OrderLogs,
}

impl ControlState {
    /// The current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The record of an accepted ticket; `None` if it was never accepted or its record was dropped.
    pub fn ticket(&self, number: u64) -> Option<&TicketRecord> {
        self.tickets.get(number)
    }

    /// Records of accepted tickets, highest number first.
    pub fn tickets(&self) -> impl Iterator<Item = (u64, &TicketRecord)> {
        self.tickets.newest_first()
    }

    /// The evidence on which a version was stopped; `None` if it was not.
    pub fn stop_evidence(&self, version: &VersionKey) -> Option<&str> {
        self.stop_evidence.get(version).map(String::as_str)
    }

    /// The committed statistics and evidence.
    pub fn summary(&self) -> &StatsSummary {
        &self.summary
    }

    /// Parts of prompts, and requests, that are blocked.
    pub fn blocked_parts(&self) -> &BlockedParts {
        &self.blocked_parts
    }

    /// What the roll-outs of each pool have decided on its versions.
    pub fn pool_versions(&self) -> &BTreeMap<PoolName, PoolVersions> {
        &self.pool_versions
    }

    /// Data centres that operators have ever ordered to evacuate or to take back. An order that was accepted
    /// once is known by them, even after the last VM of its data centre is gone.
    pub fn ordered_centres(&self) -> &BTreeSet<DataCentre> {
        &self.ordered_centres
    }

    /// Replaces the data centres that are evacuated, as restored from a snapshot.
    pub(crate) fn restore_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        Arc::make_mut(&mut self.config).evacuated = evacuated;
    }

    /// Replaces the rules on regions, as restored from a snapshot.
    pub(crate) fn restore_region_rules(&mut self, rules: RegionRules) {
        Arc::make_mut(&mut self.config).region_rules = Arc::new(rules);
    }

    /// Whether servers of a pool's version may get calls, by all of its roll-outs; `None` for servers
    /// without a version.
    pub fn allows_version(&self, pool: &PoolName, version: Option<&VersionName>) -> bool {
        match (self.config.pool_rollouts.get(pool), self.pool_versions.get(pool)) {
            (Some(rollout), Some(versions)) => versions.allows(rollout, version),
            _ => true,
        }
    }

    /// Versions that were stopped, each with the evidence.
    pub fn stopped_versions(&self) -> impl Iterator<Item = (&VersionKey, &str)> {
        self.stop_evidence.iter().map(|(version, evidence)| (version, evidence.as_str()))
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: ControlCommand) -> ControlOutcome {
        match command {
            ControlCommand::Ticket(ticket) => ControlOutcome::Ticket(self.apply_ticket(ticket)),
            ControlCommand::StopVersion { version, evidence } => {
                self.stop_version(version, evidence)
            }
            ControlCommand::AdvanceRollout { before, after } => {
                self.advance_rollout(&before, after)
            }
            ControlCommand::IssueFence => {
                self.fence += 1;
                ControlOutcome::Fence(self.fence)
            }
            ControlCommand::UpdateStats(change) => {
                self.summary.apply(change);
                ControlOutcome::Unchanged
            }
            ControlCommand::ReplaceRouteTable(table) => {
                self.replace_route_table(table, Arc::default())
            }
            ControlCommand::ReplaceTableInRegions(table, rules) => {
                self.replace_route_table(table, rules)
            }
            ControlCommand::StartPoolRollout(rollout) => self.start_pool_rollout(rollout),
            ControlCommand::AdvancePoolRollout { before, after } => {
                self.advance_pool_rollout(&before, after)
            }
            ControlCommand::BlockPart { part, evidence } => {
                self.blocked_parts.block(Suspect::Part(part), evidence);
                ControlOutcome::Unchanged
            }
            ControlCommand::ClearPart(part) => {
                self.blocked_parts.clear(Suspect::Part(part));
                ControlOutcome::Unchanged
            }
            ControlCommand::BlockRequest { request, evidence } => {
                self.blocked_parts.block(Suspect::Request(request), evidence);
                ControlOutcome::Unchanged
            }
            ControlCommand::ClearRequest(request) => {
                self.blocked_parts.clear(Suspect::Request(request));
                ControlOutcome::Unchanged
            }
            ControlCommand::BeginEvacuation(data_centre) => self.evacuate(data_centre, true),
            ControlCommand::FinishEvacuation(data_centre) => self.evacuate(data_centre, false),
            ControlCommand::Order { order, after } => self.carry_out(order, after),
        }
    }

    fn carry_out(&mut self, order: OperatorOrder, after: Option<u64>) -> ControlOutcome {
        let is_done = self.is_done(&order);
        if !is_done && !self.is_new(&order, after) {
            return ControlOutcome::NeedsConfirmation(self.orders.number(&order));
        }
        self.orders.accept(&order, !is_done);
        match order {
            OperatorOrder::StartPoolRollout(rollout) => self.start_pool_rollout(rollout),
            OperatorOrder::BeginEvacuation(data_centre) => self.evacuate(data_centre, true),
            OperatorOrder::FinishEvacuation(data_centre) => self.evacuate(data_centre, false),
            OperatorOrder::Clear(suspect) => {
                self.blocked_parts.clear(suspect);
                ControlOutcome::Unchanged
            }
        }
    }

    /// Whether an order asks for what is in force already.
    fn is_done(&self, order: &OperatorOrder) -> bool {
        match order {
            OperatorOrder::StartPoolRollout(rollout) => {
                let current = self.config.pool_rollouts.get(&rollout.pool);
                current.is_some_and(|current| current.target == rollout.target)
            }
            OperatorOrder::BeginEvacuation(data_centre) => self.config.is_evacuated(data_centre),
            OperatorOrder::FinishEvacuation(data_centre) => !self.config.is_evacuated(data_centre),
            OperatorOrder::Clear(suspect) => !self.blocked_parts.contains(*suspect),
        }
    }

    /// Whether an order can't be a late copy that would undo later ones: its caller has confirmed it since the
    /// last one, or the same was never ordered before and no roll-out under way gives way to it.
    fn is_new(&self, order: &OperatorOrder, after: Option<u64>) -> bool {
        if let Some(after) = after {
            return after == self.orders.number(order);
        }
        let is_under_way = match order {
            OperatorOrder::StartPoolRollout(rollout) => {
                let current = self.config.pool_rollouts.get(&rollout.pool);
                current.is_some_and(|current| current.status == PoolRolloutStatus::Running)
            }
            OperatorOrder::BeginEvacuation(_)
            | OperatorOrder::FinishEvacuation(_)
            | OperatorOrder::Clear(_) => false,
        };
        !is_under_way && !self.orders.knows(order)
    }

    /// The answer that a ticket would get now, without applying it.
    pub fn dry_run_ticket(&self, ticket: &Ticket) -> TicketAnswer {
        match self.check_ticket(ticket) {
            Ok(next) => TicketAnswer::Accepted { revision: next.revision },
            Err(answer) => answer,
        }
    }

    /// Every reason why the ticket's contents are not valid here, whatever its number; empty if they are.
    pub fn ticket_faults(&self, ticket: &Ticket) -> Vec<TicketFault> {
        validate::ticket_faults(ticket, &self.config, &self.merge_ticket(ticket))
    }

    fn apply_ticket(&mut self, ticket: Ticket) -> TicketAnswer {
        let next = match self.check_ticket(&ticket) {
            Ok(next) => next,
            Err(answer) => {
                if let TicketAnswer::Refused(refusal @ TicketRefusal::Invalid { .. }) = &answer {
                    self.tickets.record_refused(ticket.number, ticket.digest(), refusal.clone());
                }
                return answer;
            }
        };
        let revision = next.revision;
        let objects = ticket.objects();
        for object in &objects {
            self.object_tickets.insert(object.clone(), ticket.number);
            if let ObjectName::Version(key) = object {
                self.stop_evidence.remove(key);
            }
        }
        let (digest, author) = (ticket.digest(), ticket.author);
        let record = TicketRecord { digest, author, revision, objects };
        self.tickets.record_accepted(ticket.number, record);
        self.config = Arc::new(next);
        TicketAnswer::Accepted { revision }
    }

    fn check_ticket(&self, ticket: &Ticket) -> Result<Config, TicketAnswer> {
        if let Some(answer) = self.tickets.previous_answer(ticket.number, ticket.digest()) {
            return Err(answer);
        }
        for object in ticket.objects() {
            let newer = self.object_tickets.get(&object).copied().unwrap_or(0);
            if newer >= ticket.number {
                return Err(TicketAnswer::Refused(TicketRefusal::Stale { object, newer }));
            }
        }
        let next = self.merge_ticket(ticket);
        let faults = validate::ticket_faults(ticket, &self.config, &next);
        if faults.is_empty() {
            return Ok(next);
        }
        let reasons = faults.into_iter().map(|fault| fault.text).collect();
        Err(TicketAnswer::Refused(TicketRefusal::Invalid { reasons }))
    }

    fn merge_ticket(&self, ticket: &Ticket) -> Config {
        let mut next = Config::clone(&self.config);
        next.revision += 1;
        next.organisations.extend(ticket.organisations.iter().map(|o| (o.name.clone(), o.clone())));
        next.models.extend(ticket.models.iter().map(|m| (m.name.clone(), m.clone())));
        next.versions.extend(ticket.versions.iter().map(|v| (v.key(), v.clone())));
        next.services.extend(ticket.services.iter().map(|s| (s.name.clone(), s.clone())));
        next.rollouts.extend(ticket.rollouts.iter().map(|r| (r.name.clone(), r.clone())));
        next
    }

    fn stop_version(&mut self, version: VersionKey, evidence: String) -> ControlOutcome {
        let mut next = Config::clone(&self.config);
        let Some(found) = next.versions.get_mut(&version) else { return ControlOutcome::Unchanged };
        if found.state == VersionState::Withdrawn {
            return ControlOutcome::Unchanged;
        }
        found.state = VersionState::Withdrawn;
        for rollout in next.rollouts.values_mut().filter(|r| r.to == version) {
            rollout.status = super::RolloutStatus::Stopped;
        }
        self.stop_evidence.insert(version, evidence);
        self.install(next)
    }

    fn advance_rollout(&mut self, before: &Rollout, after: Rollout) -> ControlOutcome {
        if self.config.rollouts.get(&before.name) != Some(before) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.rollouts.insert(after.name.clone(), after);
        self.install(next)
    }

    fn replace_route_table(
        &mut self,
        table: Arc<RouteTable>,
        rules: Arc<RegionRules>,
    ) -> ControlOutcome {
        let current = self.config.route_table.as_ref();
        if current.is_some_and(|current| current.number >= table.number) {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        next.route_table = Some(table);
        next.region_rules = rules;
        self.install(next)
    }

    fn start_pool_rollout(&mut self, rollout: PoolRollout) -> ControlOutcome {
        let current = self.config.pool_rollouts.get(&rollout.pool);
        if current.is_some_and(|current| current.target == rollout.target) {
            return ControlOutcome::Unchanged;
        }
        self.pool_versions.entry(rollout.pool.clone()).or_default().order(&rollout, current);
        let mut next = Config::clone(&self.config);
        next.pool_rollouts.insert(rollout.pool.clone(), rollout);
        self.install(next)
    }

    fn advance_pool_rollout(&mut self, before: &PoolRollout, after: PoolRollout) -> ControlOutcome {
        if self.config.pool_rollouts.get(&before.pool) != Some(before) {
            return ControlOutcome::Unchanged;
        }
        self.pool_versions.entry(after.pool.clone()).or_default().advance(&after);
        let mut next = Config::clone(&self.config);
        next.pool_rollouts.insert(after.pool.clone(), after);
        self.install(next)
    }

    fn evacuate(&mut self, data_centre: DataCentre, begin: bool) -> ControlOutcome {
        self.ordered_centres.insert(data_centre.clone());
        if self.config.is_evacuated(&data_centre) == begin {
            return ControlOutcome::Unchanged;
        }
        let mut next = Config::clone(&self.config);
        match begin {
            true => next.evacuated.insert(data_centre),
            false => next.evacuated.remove(&data_centre),
        };
        self.install(next)
    }

    fn install(&mut self, mut next: Config) -> ControlOutcome {
        next.revision += 1;
        let revision = next.revision;
        self.config = Arc::new(next);
        ControlOutcome::Changed(revision)
    }
}
