use super::{EntryFinding, FindingKind, FleetFacts};
use crate::control::{RegionRules, RegionScope, RouteTable, TableEntry};
use crate::name::Region;
use std::collections::BTreeSet;

/// Checks that each call may be served somewhere.
pub fn check_regions(
    table: &RouteTable,
    rules: &RegionRules,
    facts: &FleetFacts<'_>,
) -> Vec<EntryFinding> {
    let mut found = Vec::new();
    let kind = FindingKind::Contradiction;
    for (at, route) in table.routes.iter().enumerate() {
        let scope = RegionScope::Route(route.host.clone(), route.prefix.clone());
        let Some(of_route) = rules.rules.get(&scope) else { continue };
        let (entry, what) = (TableEntry::Route(at), format!("route {}", route.name));
        found.extend(unknown_regions(&what, of_route, facts).map(|text| EntryFinding {
            kind,
            entry,
            text,
        }));
        for organisation in table.organisations.iter().flatten() {
            let of_both = rules.of_organisation(Some(&organisation.name));
            let Some(theirs) = of_both.filter(|theirs| theirs.is_disjoint(of_route)) else {
                continue;
            };
            let text = format!(
                "{what} allows {}, and organisation {} allows {}: its calls on this route can be served nowhere; give them a region in common",
                names(of_route),
                organisation.name,
                names(theirs)
            );
            found.push(EntryFinding { kind, entry, text });
        }
    }
    for (at, organisation) in table.organisations.iter().flatten().enumerate() {
        let Some(theirs) = rules.of_organisation(Some(&organisation.name)) else { continue };
        let (entry, what) =
            (TableEntry::Organisation(at), format!("organisation {}", organisation.name));
        found.extend(unknown_regions(&what, theirs, facts).map(|text| EntryFinding {
            kind,
            entry,
            text,
        }));
    }
    found
}

/// What is wrong if the settings place no data centre in any of these regions.
fn unknown_regions(
    what: &str,
    regions: &BTreeSet<Region>,
    facts: &FleetFacts<'_>,
) -> Option<String> {
    let map = &facts.settings?.regions;
    if regions.iter().any(|region| map.has(region)) {
        return None;
    }
    Some(format!(
        "{what}: the settings place no data centre in {}; correct the names, or add them to 'regions' in [platform]",
        names(regions)
    ))
}

fn names(regions: &BTreeSet<Region>) -> String {
    regions.iter().map(Region::as_str).collect::<Vec<_>>().join(", ")
}
