use super::{Finding, FindingKind, Place, Places};
use crate::control::{
    ControlState, FaultBasis, ObjectName, Organisation, RoutingMode, Ticket, TicketAnswer,
    TicketFormatError, TicketRefusal, VersionState,
};
use std::collections::BTreeSet;

/// The check of a ticket.
#[derive(Debug)]
pub struct TicketCheck<'a> {
    /// The ticket.
    pub ticket: Ticket,
    /// What was found so far.
    pub findings: Vec<Finding>,
    places: Places<'a>,
}

impl<'a> TicketCheck<'a> {
    /// Checks a ticket by itself. What the version in force could make right is [`FindingKind::Unsure`].
    ///
    /// # Errors
    /// The finding if the text is no ticket.
    pub fn new(text: &'a str) -> Result<Self, Finding> {
        let ticket = Ticket::from_json(text.as_bytes()).map_err(|error| {
            let message = error.to_string();
            match &error {
                TicketFormatError::Json(cause) | TicketFormatError::Regions(cause) => {
                    Finding::unreadable(cause, message)
                }
            }
        })?;
        let mut check = Self { ticket, findings: Vec::new(), places: Places::of(text) };
        check.find_faults();
        check.check_organisations();
        check.check_pools();
        check.check_rollouts();
        Ok(check)
    }

    /// Takes in the answer that the ticket would get from the leader, which knows the version in force.
    pub fn take_answer(&mut self, answer: &TicketAnswer) {
        match answer {
            TicketAnswer::Accepted { .. } => self.findings.retain(Finding::is_sure),
            TicketAnswer::Refused(TicketRefusal::Invalid { reasons }) => self.take_reasons(reasons),
            TicketAnswer::Refused(refusal) => {
                let place = self.places.field("number");
                self.add(FindingKind::Refused, place, refusal.to_string());
            }
        }
    }

    /// The reasons name objects as the faults of the ticket alone do, which know the places.
    fn take_reasons(&mut self, reasons: &[String]) {
        let known: BTreeSet<&String> = reasons.iter().collect();
        for finding in &mut self.findings {
            if known.contains(&finding.message) {
                finding.kind = FindingKind::Refused;
            }
        }
        self.findings.retain(Finding::is_sure);
        let told: BTreeSet<String> =
            self.findings.iter().map(|finding| finding.message.clone()).collect();
        for reason in reasons.iter().filter(|reason| !told.contains(*reason)) {
            self.add(FindingKind::Refused, Place::default(), reason.clone());
        }
    }

    /// Finds the faults by the rules of the control group, as if no ticket had been applied before.
    fn find_faults(&mut self) {
        let empty = ControlState::default();
        for fault in empty.ticket_faults(&self.ticket) {
            let kind = match fault.basis {
                FaultBasis::Ticket => FindingKind::Refused,
                FaultBasis::OtherObjects => FindingKind::Unsure,
            };
            let place = fault.object.map(|object| self.place_of(&object)).unwrap_or_default();
            self.add(kind, place, fault.text);
        }
        match empty.dry_run_ticket(&self.ticket) {
            // These are the faults above.
            TicketAnswer::Refused(TicketRefusal::Invalid { .. }) => {}
            // Nothing is in force, so this settles nothing.
            TicketAnswer::Accepted { .. } => {}
            answer @ TicketAnswer::Refused(_) => self.take_answer(&answer),
        }
    }

    fn check_organisations(&mut self) {
        let mut found = Vec::new();
        for (at, organisation) in self.ticket.organisations.iter().enumerate() {
            let place = self.places.item("organisations", at);
            let all = organisation_findings(organisation);
            found.extend(
                all.into_iter().map(|(kind, text)| Finding::new(kind, place.clone(), text)),
            );
        }
        self.findings.extend(found);
    }

    fn check_pools(&mut self) {
        let mut found = Vec::new();
        for (at, version) in self.ticket.versions.iter().enumerate() {
            if version.pool.as_str().is_empty() {
                let text =
                    format!("version {}: it has no pool, so no server serves it", version.key());
                found.push((self.places.item("versions", at), text));
            }
        }
        for (at, service) in self.ticket.services.iter().enumerate() {
            if service.pool.as_str().is_empty() {
                let text =
                    format!("service {}: it has no pool, so no server serves it", service.name);
                found.push((self.places.item("services", at), text));
            }
        }
        for (place, text) in found {
            self.add(FindingKind::NeverUsed, place, format!("{text}; name one in 'pool'"));
        }
    }

    fn check_rollouts(&mut self) {
        let mut found = Vec::new();
        for (at, rollout) in self.ticket.rollouts.iter().enumerate() {
            let mut versions = self.ticket.versions.iter();
            let target = versions.find(|version| version.key() == rollout.to);
            if target.is_some_and(|version| version.state != VersionState::Open) {
                let text = format!(
                    "roll-out {}: version {} takes no new sessions in this ticket; open it, or leave the roll-out out",
                    rollout.name, rollout.to
                );
                found.push((self.places.item("rollouts", at), text));
            }
        }
        for (place, text) in found {
            self.add(FindingKind::Contradiction, place, text);
        }
    }

    fn add(&mut self, kind: FindingKind, place: Place, text: String) {
        self.findings.push(Finding::new(kind, place, text));
    }

    /// Where an object stands; the last place if it stands twice.
    fn place_of(&self, object: &ObjectName) -> Place {
        let Ticket { organisations, models, versions, services, rollouts, .. } = &self.ticket;
        let (list, at) = match object {
            ObjectName::Organisation(name) => {
                ("organisations", organisations.iter().rposition(|one| one.name == *name))
            }
            ObjectName::Model(name) => ("models", models.iter().rposition(|one| one.name == *name)),
            ObjectName::Version(key) => {
                ("versions", versions.iter().rposition(|one| one.key() == *key))
            }
            ObjectName::Service(name) => {
                ("services", services.iter().rposition(|one| one.name == *name))
            }
            ObjectName::Rollout(name) => {
                ("rollouts", rollouts.iter().rposition(|one| one.name == *name))
            }
        };
        at.map_or_else(Place::default, |at| self.places.item(list, at))
    }
}

/// Entries of an organisation that take effect for no call.
fn organisation_findings(organisation: &Organisation) -> Vec<(FindingKind, String)> {
    let (name, mut found) = (&organisation.name, Vec::new());
    if organisation.keys.is_empty() {
        let text = format!(
            "organisation {name}: it has no API key, so no call is its own; add one unless it ends"
        );
        found.push((FindingKind::NeverUsed, text));
    }
    let (mut models, mut kinds) = (BTreeSet::new(), BTreeSet::new());
    for grant in organisation.models.iter().filter(|grant| !models.insert(&grant.model)) {
        let text = format!(
            "organisation {name}: an earlier grant of model '{}' covers this one; join them",
            grant.model
        );
        found.push((FindingKind::NeverUsed, text));
    }
    for rule in &organisation.kinds {
        if !kinds.insert(&rule.kind) {
            let text = format!(
                "organisation {name}: an earlier rule for kind '{}' covers this one; remove one",
                rule.kind
            );
            found.push((FindingKind::NeverUsed, text));
        }
        let RoutingMode::Direct(model) = &rule.route else { continue };
        if !organisation.models.iter().any(|grant| grant.model == *model) {
            let text = format!(
                "organisation {name}: kind '{}' goes to model '{model}', which it may not use; grant it",
                rule.kind
            );
            found.push((FindingKind::Contradiction, text));
        }
    }
    found
}
