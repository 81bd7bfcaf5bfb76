use super::{CallerLimits, ConfiguredRoute, PoolSpec, RouteOrganisation, TableEntry, TableFault};
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
    pub fn faults(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        for (at, route) in self.routes.iter().enumerate() {
            let entry = TableEntry::Route(at);
            if !seen.insert((&route.host, &route.prefix)) {
                let text = format!(
                    "two routes have the same host and path prefix {}{}; remove one of them",
                    route.host, route.prefix
                );
                faults.push(TableFault { entry, text });
            }
            let texts = self.route_faults(route).into_iter();
            faults.extend(texts.map(|text| TableFault { entry, text }));
        }
        self.check_keys(&mut faults);
        faults
    }

    fn route_faults(&self, route: &ConfiguredRoute) -> Vec<String> {
        let (name, mut faults) = (&route.name, Vec::new());
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            faults.push(format!("route {name}: the path prefix must begin and end with a slash"));
        }
        if route.timeout.is_zero() {
            faults.push(format!("route {name}: the timeout must be greater than 0"));
        }
        if route.pools.iter().map(|share| u64::from(share.weight)).sum::<u64>() == 0 {
            faults.push(format!(
                "route {name}: the pool weights add up to 0; set at least one above 0"
            ));
        }
        for share in route.pools.iter().filter(|share| self.pool(&share.pool).is_none()) {
            faults.push(format!(
                "route {name}: pool '{}' does not exist; define it or correct its name",
                share.pool
            ));
        }
        faults
    }

    fn check_keys(&self, faults: &mut Vec<TableFault>) {
        let mut keys = BTreeSet::new();
        for (at, organisation) in self.organisations.iter().flatten().enumerate() {
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.iter().any(|key| keys.contains(key)) {
                let text = format!(
                    "an API key of organisation {} also belongs to another organisation",
                    organisation.name
                );
                faults.push(TableFault { entry: TableEntry::Organisation(at), text });
            }
            keys.extend(own);
        }
    }
}
