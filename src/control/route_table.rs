use super::{CallerLimits, ConfiguredRoute, KeyOwner, PoolSpec};
use crate::name::PoolName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The whole configuration of routes, as one numbered ticket replaces it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// The operator's number; the highest wins.
    pub number: u64,
    /// Routes.
    pub routes: Vec<ConfiguredRoute>,
    /// Pools of backend servers.
    pub pools: Vec<PoolSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Organisations with keys; `None` where no route asks for a key.
    pub owners: Option<Vec<KeyOwner>>,
    /// What the operator sent, given back unchanged when it is read.
    pub document: Bytes,
}

impl RouteTable {
    /// The pool of a name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// Every reason for which the table may not come into force.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            if !places.insert((&route.host, &route.prefix)) {
                faults.push(format!("two routes share {}{}", route.host, route.prefix));
            }
            self.check_route(route, &mut faults);
        }
        self.check_keys(&mut faults);
        faults
    }

    fn check_route(&self, route: &ConfiguredRoute, faults: &mut Vec<String>) {
        let name = &route.name;
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            faults.push(format!("route {name}: the prefix must begin and end with a slash"));
        }
        if route.timeout.is_zero() {
            faults.push(format!("route {name}: the timeout must be above 0"));
        }
        if route.pools.iter().map(|share| u64::from(share.weight)).sum::<u64>() == 0 {
            faults.push(format!("route {name}: the weights add up to 0"));
        }
        for share in route.pools.iter().filter(|share| self.pool(&share.pool).is_none()) {
            faults.push(format!("route {name}: there is no pool '{}'", share.pool));
        }
    }

    fn check_keys(&self, faults: &mut Vec<String>) {
        let mut keys = BTreeSet::new();
        for owner in self.owners.iter().flatten() {
            let own: BTreeSet<_> = owner.keys.iter().collect();
            if own.iter().any(|key| keys.contains(key)) {
                faults.push(format!("a key of organisation {} has another owner too", owner.name));
            }
            keys.extend(own);
        }
    }
}
