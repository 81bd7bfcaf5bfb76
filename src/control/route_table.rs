use super::{CallerLimits, ConfiguredRoute, PoolSpec, RouteOrganisation};
use crate::name::PoolName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The complete configuration of routes, which an operator replaces as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// The number that the operator chose; only a table with a higher number replaces this one.
    pub number: u64,
    /// The configured routes.
    pub routes: Vec<Arc<ConfiguredRoute>>,
    /// The pools of backend servers that the routes refer to.
    pub pools: Vec<PoolSpec>,
    /// Size and time limits for requests.
    pub limits: CallerLimits,
    /// Organisations with API keys; `None` if no route requires a key.
    pub organisations: Option<Vec<RouteOrganisation>>,
    /// The document that the operator sent, returned unchanged when the table is read.
    pub document: Bytes,
}

impl RouteTable {
    /// The pool with this name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// Every reason why the table is not valid; empty if it is.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            if !seen.insert((&route.host, &route.prefix)) {
                errors.push(format!(
                    "two routes have the same host and path prefix {}{}; remove one of them",
                    route.host, route.prefix
                ));
            }
            self.check_route(route, &mut errors);
        }
        self.check_keys(&mut errors);
        errors
    }

    fn check_route(&self, route: &ConfiguredRoute, errors: &mut Vec<String>) {
        let name = &route.name;
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            errors.push(format!("route {name}: the path prefix must begin and end with a slash"));
        }
        if route.timeout.is_zero() {
            errors.push(format!("route {name}: the timeout must be greater than 0"));
        }
        if route.pools.iter().map(|share| u64::from(share.weight)).sum::<u64>() == 0 {
            errors.push(format!(
                "route {name}: the pool weights add up to 0; set at least one above 0"
            ));
        }
        for share in route.pools.iter().filter(|share| self.pool(&share.pool).is_none()) {
            errors.push(format!(
                "route {name}: pool '{}' does not exist; define it or correct its name",
                share.pool
            ));
        }
    }

    fn check_keys(&self, errors: &mut Vec<String>) {
        let mut keys = BTreeSet::new();
        for organisation in self.organisations.iter().flatten() {
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.iter().any(|key| keys.contains(key)) {
                errors.push(format!(
                    "an API key of organisation {} also belongs to another organisation",
                    organisation.name
                ));
            }
            keys.extend(own);
        }
    }
}
