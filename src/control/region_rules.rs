use super::ConfiguredRoute;
use crate::name::{OrganisationName, Region};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What an operator restricts to regions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegionScope {
    /// Calls on the configured route with this host and path prefix.
    Route(String, String),
    /// Calls of an organisation of the route table.
    Organisation(OrganisationName),
}

/// The regions in which calls may be served, where an operator restricts that. Calls without a rule
/// may be served anywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionRules {
    /// The regions of each rule; never empty.
    pub rules: BTreeMap<RegionScope, BTreeSet<Region>>,
}

impl RegionRules {
    /// Whether nothing is restricted.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Where calls of an organisation may be served, if a rule says so.
    ///
    /// ```
    /// use samphireshift::control::{RegionRules, RegionScope};
    /// use samphireshift::name::{OrganisationName, Region};
    /// let (karri, west) = (OrganisationName::new("karri"), Region::new("west"));
    /// let scope = RegionScope::Organisation(karri.clone());
    /// let rules = RegionRules { rules: [(scope, [west.clone()].into())].into() };
    /// let allowed = rules.of_organisation(Some(&karri));
    /// assert!(allowed.is_some_and(|regions| regions.contains(&west)));
    /// assert_eq!(rules.of_organisation(None), None);
    /// ```
    pub fn of_organisation(
        &self,
        organisation: Option<&OrganisationName>,
    ) -> Option<&BTreeSet<Region>> {
        self.rules.get(&RegionScope::Organisation(organisation?.clone()))
    }

    /// Where calls of an organisation on a route may be served.
    pub fn of_call(
        &self,
        route: &ConfiguredRoute,
        organisation: Option<&OrganisationName>,
    ) -> AllowedRegions<'_> {
        if self.is_empty() {
            return AllowedRegions::default();
        }
        let route = RegionScope::Route(route.host.clone(), route.prefix.clone());
        AllowedRegions {
            route: self.rules.get(&route),
            organisation: self.of_organisation(organisation),
        }
    }
}

/// The regions in which one call may be served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AllowedRegions<'a> {
    /// Those of its route; `None` for all.
    pub route: Option<&'a BTreeSet<Region>>,
    /// Those of its organisation; `None` for all.
    pub organisation: Option<&'a BTreeSet<Region>>,
}

impl AllowedRegions<'_> {
    /// Whether the call may be served anywhere.
    pub fn is_anywhere(&self) -> bool {
        self.route.is_none() && self.organisation.is_none()
    }

    /// Whether the call may be served in a region. What lies in no known region serves only calls
    /// that may be served anywhere.
    pub fn contains(&self, region: Option<&Region>) -> bool {
        let mut rules = self.route.iter().chain(&self.organisation);
        rules.all(|rule| region.is_some_and(|region| rule.contains(region)))
    }
}
