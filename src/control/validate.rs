//! What a ticket may say, judged against the configuration that it would make.

use super::{Config, Organisation, Rollout, Ticket, Version, VersionState};
use std::collections::BTreeSet;

const FULL_SHARE: u32 = 1_000;

/// Every reason why the ticket cannot turn `current` into `next`; empty where it can.
pub fn reasons(ticket: &Ticket, current: &Config, next: &Config) -> Vec<String> {
    let mut out = Vec::new();
    if ticket.author.trim().is_empty() {
        out.push("'author' is empty; name who made the ticket".to_owned());
    }
    let objects = ticket.objects();
    if objects.is_empty() {
        out.push("it touches no object".to_owned());
    }
    let mut seen = BTreeSet::new();
    for object in &objects {
        if !seen.insert(object) {
            out.push(format!("{object} stands twice"));
        }
    }
    next.versions.values().for_each(|version| check_version(version, next, &mut out));
    next.organisations.values().for_each(|o| check_organisation(o, next, &mut out));
    next.rollouts.values().for_each(|rollout| check_rollout(rollout, next, &mut out));
    check_served(current, next, &mut out);
    out
}

/// A ticket may not take the last usable version from an organisation. One that has none left,
/// because versions were stopped on evidence, does not stand in the way of other changes.
fn check_served(current: &Config, next: &Config, out: &mut Vec<String>) {
    for (name, organisation) in &next.organisations {
        let before = current.organisations.get(name);
        let lost = before.is_none_or(|before| is_served(before, current));
        if lost && !is_served(organisation, next) {
            out.push(format!("organisation {name} would have no version that takes work"));
        }
    }
}

fn is_served(organisation: &Organisation, config: &Config) -> bool {
    let usable = |version: &Version| version.state != VersionState::Withdrawn;
    config.versions_for(organisation).any(|(_, version)| usable(version))
}

fn check_version(version: &Version, next: &Config, out: &mut Vec<String>) {
    let key = version.key();
    if !next.models.contains_key(&version.model) {
        out.push(format!("version {key}: there is no model '{}'", version.model));
    }
    if !(0.0..=1.0).contains(&version.quality) {
        out.push(format!("version {key}: 'quality' must be from 0 to 1"));
    }
}

fn check_organisation(organisation: &Organisation, next: &Config, out: &mut Vec<String>) {
    let name = &organisation.name;
    if organisation.models.is_empty() {
        out.push(format!("organisation {name} would have no model"));
    }
    if organisation.weight == 0 {
        out.push(format!("organisation {name}: 'weight' must be at least 1"));
    }
    if !organisation.keys.iter().all(|key| key.is_well_formed()) {
        out.push(format!("organisation {name}: 'keys' must be SHA-256 hashes in lower-case hex"));
    }
    for grant in &organisation.models {
        if !next.models.contains_key(&grant.model) {
            out.push(format!("organisation {name}: there is no model '{}'", grant.model));
        }
        for version in &grant.versions {
            let known =
                next.versions.keys().any(|k| k.model == grant.model && k.version == *version);
            if !known {
                out.push(format!("organisation {name}: no version '{}/{version}'", grant.model));
            }
        }
    }
    for service in &organisation.services {
        if !next.services.contains_key(service) {
            out.push(format!("organisation {name}: there is no service '{service}'"));
        }
    }
    let targets = organisation.kinds.iter().map(|rule| rule.target);
    if !targets.chain([organisation.target]).all(|target| (0.0..=1.0).contains(&target)) {
        out.push(format!("organisation {name}: every 'target' must be from 0 to 1"));
    }
}

fn check_rollout(rollout: &Rollout, next: &Config, out: &mut Vec<String>) {
    let name = &rollout.name;
    for key in [&rollout.from, &rollout.to] {
        if !next.versions.contains_key(key) {
            out.push(format!("roll-out {name}: there is no version '{key}'"));
        }
    }
    if rollout.from.model != rollout.to.model || rollout.from == rollout.to {
        out.push(format!("roll-out {name}: 'from' and 'to' must be two versions of one model"));
    }
    let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
    let inside = rollout.steps.iter().all(|step| (1..=FULL_SHARE).contains(step));
    if rollout.steps.is_empty() || !rising || !inside {
        out.push(format!("roll-out {name}: 'steps' must rise within 1 to {FULL_SHARE}"));
    }
    if rollout.step >= rollout.steps.len().max(1) {
        out.push(format!("roll-out {name}: 'step' is behind the last of 'steps'"));
    }
}
