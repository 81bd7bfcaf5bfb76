//! Validation of a ticket against the configuration that it would result in.
//!
//! The texts are stored in the replicated state as the refusal's reasons. Changing one makes
//! daemons of different releases hold different states while they run in one cluster.

use super::{
    Config, FaultBasis, ObjectName, Organisation, Rollout, Ticket, TicketFault, Version,
    VersionState,
};
use std::collections::BTreeSet;

/// The share of a roll-out that covers all sessions, in thousandths.
const FULL_SHARE_PERMILLE: u32 = 1_000;

/// The faults found so far.
#[derive(Debug, Default)]
struct FaultList(Vec<TicketFault>);

impl FaultList {
    /// Adds a fault of the ticket as a whole.
    fn add_general(&mut self, text: &str) {
        let basis = FaultBasis::Ticket;
        self.0.push(TicketFault { object: None, basis, text: text.to_owned() });
    }

    /// Adds a fault that the ticket alone shows.
    fn add(&mut self, object: ObjectName, text: String) {
        let basis = FaultBasis::Ticket;
        self.0.push(TicketFault { object: Some(object), basis, text });
    }

    /// Adds a fault that an object elsewhere could mend.
    fn add_missing(&mut self, object: ObjectName, text: String) {
        let basis = FaultBasis::OtherObjects;
        self.0.push(TicketFault { object: Some(object), basis, text });
    }
}

/// All reasons why the ticket may not change `current` into `next`; empty if it may.
pub fn ticket_faults(ticket: &Ticket, current: &Config, next: &Config) -> Vec<TicketFault> {
    let mut faults = FaultList::default();
    if ticket.author.trim().is_empty() {
        faults.add_general("'author' is empty; name who made the ticket");
    }
    let objects = ticket.objects();
    if objects.is_empty() {
        faults.add_general("it touches no object");
    }
    let mut seen = BTreeSet::new();
    for object in &objects {
        if !seen.insert(object) {
            faults.add(object.clone(), format!("{object} stands twice"));
        }
    }
    next.versions.values().for_each(|version| check_version(version, next, &mut faults));
    next.organisations.values().for_each(|o| check_organisation(o, next, &mut faults));
    next.rollouts.values().for_each(|rollout| check_rollout(rollout, next, &mut faults));
    check_usable_versions(current, next, &mut faults);
    faults.0
}

/// A ticket may not remove the last usable version of an organisation. An organisation that has
/// none left already, because versions were stopped on evidence, does not block other changes.
fn check_usable_versions(current: &Config, next: &Config, faults: &mut FaultList) {
    for (name, organisation) in &next.organisations {
        let before = current.organisations.get(name);
        let must_serve = before.is_none_or(|before| has_usable_version(before, current));
        if must_serve && !has_usable_version(organisation, next) {
            let text = format!("organisation {name} would have no version that takes work");
            faults.add_missing(ObjectName::Organisation(name.clone()), text);
        }
    }
}

fn has_usable_version(organisation: &Organisation, config: &Config) -> bool {
    let usable = |version: &Version| version.state != VersionState::Withdrawn;
    config.versions_for(organisation).any(|(_, version)| usable(version))
}

fn check_version(version: &Version, next: &Config, faults: &mut FaultList) {
    let key = version.key();
    let object = || ObjectName::Version(key.clone());
    if !next.models.contains_key(&version.model) {
        faults
            .add_missing(object(), format!("version {key}: there is no model '{}'", version.model));
    }
    if !(0.0..=1.0).contains(&version.quality) {
        faults.add(object(), format!("version {key}: 'quality' must be from 0 to 1"));
    }
}

fn check_organisation(organisation: &Organisation, next: &Config, faults: &mut FaultList) {
    let name = &organisation.name;
    let object = || ObjectName::Organisation(name.clone());
    if organisation.models.is_empty() {
        faults.add(object(), format!("organisation {name} would have no model"));
    }
    if organisation.weight == 0 {
        faults.add(object(), format!("organisation {name}: 'weight' must be at least 1"));
    }
    if !organisation.keys.iter().all(|key| key.is_well_formed()) {
        faults.add(
            object(),
            format!("organisation {name}: 'keys' must be SHA-256 hashes in lower-case hex"),
        );
    }
    for grant in &organisation.models {
        if !next.models.contains_key(&grant.model) {
            faults.add_missing(
                object(),
                format!("organisation {name}: there is no model '{}'", grant.model),
            );
        }
        for version in &grant.versions {
            let known =
                next.versions.keys().any(|k| k.model == grant.model && k.version == *version);
            if !known {
                faults.add_missing(
                    object(),
                    format!("organisation {name}: no version '{}/{version}'", grant.model),
                );
            }
        }
    }
    for service in &organisation.services {
        if !next.services.contains_key(service) {
            faults.add_missing(
                object(),
                format!("organisation {name}: there is no service '{service}'"),
            );
        }
    }
    let targets = organisation.kinds.iter().map(|rule| rule.quality_target);
    if !targets.chain([organisation.quality_target]).all(|target| (0.0..=1.0).contains(&target)) {
        faults.add(object(), format!("organisation {name}: every 'target' must be from 0 to 1"));
    }
}

fn check_rollout(rollout: &Rollout, next: &Config, faults: &mut FaultList) {
    let name = &rollout.name;
    let object = || ObjectName::Rollout(name.clone());
    for key in [&rollout.from, &rollout.to] {
        if !next.versions.contains_key(key) {
            faults.add_missing(object(), format!("roll-out {name}: there is no version '{key}'"));
        }
    }
    if rollout.from.model != rollout.to.model || rollout.from == rollout.to {
        faults.add(
            object(),
            format!("roll-out {name}: 'from' and 'to' must be two versions of one model"),
        );
    }
    let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
    let inside = rollout.steps.iter().all(|step| (1..=FULL_SHARE_PERMILLE).contains(step));
    if rollout.steps.is_empty() || !rising || !inside {
        faults.add(
            object(),
            format!("roll-out {name}: 'steps' must rise within 1 to {FULL_SHARE_PERMILLE}"),
        );
    }
    if rollout.step >= rollout.steps.len().max(1) {
        faults.add(object(), format!("roll-out {name}: 'step' is behind the last of 'steps'"));
    }
}
