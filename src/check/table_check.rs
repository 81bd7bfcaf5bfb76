use super::region_check::check_regions;
use super::{FindingKind, FleetFacts};
use crate::control::{
    ConfiguredRoute, EngineSpec, PoolSpec, RegionRules, RouteOrganisation, RouteTable, TableEntry,
};
use crate::settings::FleetLimits;
use std::sync::Arc;

/// A matter found in an entry of a route table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryFinding {
    /// What kind of matter it is.
    pub kind: FindingKind,
    /// The entry.
    pub entry: TableEntry,
    /// What is wrong, and what to try.
    pub text: String,
}

/// Checks a route table: for what it is refused, which entries take effect for no call, and which
/// limits contradict each other.
pub fn check_table(
    table: &RouteTable,
    rules: &RegionRules,
    facts: &FleetFacts<'_>,
) -> Vec<EntryFinding> {
    let kind = FindingKind::Refused;
    let refused = table.faults().into_iter();
    let mut found: Vec<EntryFinding> =
        refused.map(|fault| EntryFinding { kind, entry: fault.entry, text: fault.text }).collect();
    for (at, route) in table.routes.iter().enumerate() {
        let entry = TableEntry::Route(at);
        let add = |(kind, text)| EntryFinding { kind, entry, text };
        found.extend(unreachable_route(table, route).into_iter().map(add));
        found.extend(contradictions(route, facts).into_iter().map(add));
    }
    for (at, pool) in table.pools.iter().enumerate() {
        let entry = TableEntry::Pool(at);
        let add = |(kind, text)| EntryFinding { kind, entry, text };
        found.extend(check_pool(table, at, pool, facts).into_iter().map(add));
    }
    found.extend(check_organisations(table));
    found.extend(check_limits(table));
    found.extend(check_regions(table, rules, facts));
    found
}

/// Why no call can reach a route, or something in it.
fn unreachable_route(table: &RouteTable, route: &ConfiguredRoute) -> Vec<(FindingKind, String)> {
    let (name, mut texts) = (&route.name, Vec::new());
    if !is_host(&route.host) {
        texts.push(format!(
            "route {name}: no call has the host '{}'; give its name only, without port, slash or space",
            route.host
        ));
    }
    if route.prefix.contains(['?', '#']) || route.prefix.contains(char::is_whitespace) {
        texts.push(format!(
            "route {name}: no path contains '?', '#' or a space; correct the path prefix '{}'",
            route.prefix
        ));
    }
    let has_key = |all: &Vec<RouteOrganisation>| all.iter().any(|one| !one.keys.is_empty());
    if !route.public && table.organisations.as_ref().is_some_and(|all| !has_key(all)) {
        texts.push(format!(
            "route {name}: it needs an API key, and no organisation has one; add a key or make it public"
        ));
    }
    if route.gap_target.is_some() && !route.kind.is_stream() {
        texts.push(format!(
            "route {name}: only streams have gaps, and its calls are none; leave the target gap out"
        ));
    }
    let engines: Vec<_> =
        used_pools(table, route).filter_map(|pool| pool.engine.as_ref()).collect();
    for model in route.models.iter().filter(|_| !engines.is_empty()) {
        let serves = |engine: &&EngineSpec| engine.models.iter().any(|one| one.name == *model);
        if !engines.iter().any(serves) {
            texts.push(format!(
                "route {name}: none of its pools serves model '{model}'; add it to one or leave it out"
            ));
        }
    }
    texts.into_iter().map(|text| (FindingKind::NeverUsed, text)).collect()
}

/// The pools that get calls of a route.
fn used_pools<'a>(
    table: &'a RouteTable,
    route: &'a ConfiguredRoute,
) -> impl Iterator<Item = &'a PoolSpec> {
    let used = route.pools.iter().filter(|share| share.weight > 0);
    used.filter_map(|share| table.pool(&share.pool))
}

/// Whether the host of a call can be this, once its port is taken off. It is empty without a Host header.
fn is_host(host: &str) -> bool {
    let has_port = host
        .rsplit_once(':')
        .is_some_and(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    !has_port && !host.contains('/') && !host.contains(char::is_whitespace)
}

/// Limits of a route that contradict each other or what the fleet promises.
fn contradictions(route: &ConfiguredRoute, facts: &FleetFacts<'_>) -> Vec<(FindingKind, String)> {
    let (name, timeout, mut texts) = (&route.name, route.timeout, Vec::new());
    if timeout < route.latency_target {
        texts.push(format!(
            "route {name}: the timeout of {} ms is under the target latency of {} ms; lengthen it or lower the target",
            timeout.as_millis(),
            route.latency_target.as_millis()
        ));
    }
    if route.latency_target.is_zero() && !timeout.is_zero() {
        texts.push(format!(
            "route {name}: no call can keep a target latency of 0; raise it or leave it out"
        ));
    }
    if route.gap_target.is_some_and(|gap| gap > timeout) {
        texts.push(format!(
            "route {name}: the target gap is longer than the timeout of {} ms; lower it",
            timeout.as_millis()
        ));
    }
    let limits = facts.settings.map(|settings| settings.fleet_limits);
    let has_budget = |limits: &FleetLimits| limits.retry_ratio > 0.0 || limits.extra_retries > 0;
    if route.max_attempts > 1 && limits.is_some_and(|limits| !has_budget(&limits)) {
        texts.push(format!(
            "route {name}: it allows {} attempts, and the settings no repeat; raise 'repeats' or 'repeat_extra' in [promises], or allow 1",
            route.max_attempts
        ));
    }
    texts.into_iter().map(|text| (FindingKind::Contradiction, text)).collect()
}

fn check_pool(
    table: &RouteTable,
    at: usize,
    pool: &PoolSpec,
    facts: &FleetFacts<'_>,
) -> Vec<(FindingKind, String)> {
    let (name, most, mut found) = (&pool.name, pool.max_connections, Vec::new());
    if table.pools.iter().take(at).any(|earlier| earlier.name == *name) {
        let text =
            format!("pool {name}: an earlier pool has this name, and that one is used; remove one");
        found.push((FindingKind::NeverUsed, text));
    }
    let uses = |route: &Arc<ConfiguredRoute>| {
        route.pools.iter().any(|share| share.pool == *name && share.weight > 0)
    };
    if !table.routes.iter().any(uses) {
        let text = format!("pool {name}: no route sends calls to it; add it to one or remove it");
        found.push((FindingKind::NeverUsed, text));
    }
    if most == 0 {
        let text = format!("pool {name}: its servers would accept no connection; allow some");
        found.push((FindingKind::Contradiction, text));
    } else if let Some(routers) = facts.routers.filter(|routers| *routers > most) {
        let text = format!(
            "pool {name}: each server accepts {most} connections, and there are {routers} routers; not every router can hold one"
        );
        found.push((FindingKind::Contradiction, text));
    }
    found
}

/// Organisations that no call can belong to. Where none has a key, the routes that need one tell it.
fn check_organisations(table: &RouteTable) -> Vec<EntryFinding> {
    let kind = FindingKind::NeverUsed;
    let all = table.organisations.iter().flatten().enumerate();
    let without = all.filter(|(_, organisation)| organisation.keys.is_empty());
    without
        .map(|(at, RouteOrganisation { name, .. })| {
            let text = format!("organisation {name}: it has no API key, so no call is its own; add one or remove it");
            EntryFinding { kind, entry: TableEntry::Organisation(at), text }
        })
        .collect()
}

/// Limits on callers that let no call through. The longer of both times holds for a request head, and a
/// small size of the head is raised to that of the read buffer.
fn check_limits(table: &RouteTable) -> Option<EntryFinding> {
    let (limits, kind, entry) = (&table.limits, FindingKind::Contradiction, TableEntry::Limits);
    if !limits.head_timeout.is_zero() || !limits.idle_timeout.is_zero() {
        return None;
    }
    let text = "callers get no time to send a request head, as the time for it and the idle time are both 0; raise one".to_owned();
    Some(EntryFinding { kind, entry, text })
}
