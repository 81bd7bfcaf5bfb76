//! Validation of a ticket against the configuration that it would result in.
//!
//! The texts are stored in the replicated state as the refusal's reasons. Changing one makes
//! daemons of different releases hold different states while they run in one cluster.

use super::{Config, Organisation, Rollout, Ticket, Version, VersionState};
use std::collections::BTreeSet;

/// The share of a roll-out that covers all sessions, in thousandths.
const FULL_SHARE_PERMILLE: u32 = 1_000;

/// All reasons why the ticket may not change `current` into `next`; empty if it may.
pub fn ticket_errors(ticket: &Ticket, current: &Config, next: &Config) -> Vec<String> {
    let mut errors = Vec::new();
    if ticket.author.trim().is_empty() {
        errors.push("'author' is empty; name who made the ticket".to_owned());
    }
    let objects = ticket.objects();
    if objects.is_empty() {
        errors.push("it touches no object".to_owned());
    }
    let mut seen = BTreeSet::new();
    for object in &objects {
        if !seen.insert(object) {
            errors.push(format!("{object} stands twice"));
        }
    }
    next.versions.values().for_each(|version| check_version(version, next, &mut errors));
    next.organisations.values().for_each(|o| check_organisation(o, next, &mut errors));
    next.rollouts.values().for_each(|rollout| check_rollout(rollout, next, &mut errors));
    check_usable_versions(current, next, &mut errors);
    errors
}

/// A ticket may not remove the last usable version of an organisation. An organisation that has
/// none left already, because versions were stopped on evidence, does not block other changes.
fn check_usable_versions(current: &Config, next: &Config, errors: &mut Vec<String>) {
    for (name, organisation) in &next.organisations {
        let before = current.organisations.get(name);
        let must_serve = before.is_none_or(|before| has_usable_version(before, current));
        if must_serve && !has_usable_version(organisation, next) {
            errors.push(format!("organisation {name} would have no version that takes work"));
        }
    }
}

fn has_usable_version(organisation: &Organisation, config: &Config) -> bool {
    let usable = |version: &Version| version.state != VersionState::Withdrawn;
    config.versions_for(organisation).any(|(_, version)| usable(version))
}

fn check_version(version: &Version, next: &Config, errors: &mut Vec<String>) {
    let key = version.key();
    if !next.models.contains_key(&version.model) {
        errors.push(format!("version {key}: there is no model '{}'", version.model));
    }
    if !(0.0..=1.0).contains(&version.quality) {
        errors.push(format!("version {key}: 'quality' must be from 0 to 1"));
    }
}

fn check_organisation(organisation: &Organisation, next: &Config, errors: &mut Vec<String>) {
    let name = &organisation.name;
    if organisation.models.is_empty() {
        errors.push(format!("organisation {name} would have no model"));
    }
    if organisation.weight == 0 {
        errors.push(format!("organisation {name}: 'weight' must be at least 1"));
    }
    if !organisation.keys.iter().all(|key| key.is_well_formed()) {
        errors
            .push(format!("organisation {name}: 'keys' must be SHA-256 hashes in lower-case hex"));
    }
    for grant in &organisation.models {
        if !next.models.contains_key(&grant.model) {
            errors.push(format!("organisation {name}: there is no model '{}'", grant.model));
        }
        for version in &grant.versions {
            let known =
                next.versions.keys().any(|k| k.model == grant.model && k.version == *version);
            if !known {
                errors.push(format!("organisation {name}: no version '{}/{version}'", grant.model));
            }
        }
    }
    for service in &organisation.services {
        if !next.services.contains_key(service) {
            errors.push(format!("organisation {name}: there is no service '{service}'"));
        }
    }
    let targets = organisation.kinds.iter().map(|rule| rule.quality_target);
    if !targets.chain([organisation.quality_target]).all(|target| (0.0..=1.0).contains(&target)) {
        errors.push(format!("organisation {name}: every 'target' must be from 0 to 1"));
    }
}

fn check_rollout(rollout: &Rollout, next: &Config, errors: &mut Vec<String>) {
    let name = &rollout.name;
    for key in [&rollout.from, &rollout.to] {
        if !next.versions.contains_key(key) {
            errors.push(format!("roll-out {name}: there is no version '{key}'"));
        }
    }
    if rollout.from.model != rollout.to.model || rollout.from == rollout.to {
        errors.push(format!("roll-out {name}: 'from' and 'to' must be two versions of one model"));
    }
    let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
    let inside = rollout.steps.iter().all(|step| (1..=FULL_SHARE_PERMILLE).contains(step));
    if rollout.steps.is_empty() || !rising || !inside {
        errors
            .push(format!("roll-out {name}: 'steps' must rise within 1 to {FULL_SHARE_PERMILLE}"));
    }
    if rollout.step >= rollout.steps.len().max(1) {
        errors.push(format!("roll-out {name}: 'step' is behind the last of 'steps'"));
    }
}
