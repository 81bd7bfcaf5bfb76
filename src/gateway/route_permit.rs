use super::Destination;
use crate::backend::WritePermit;
use crate::control::{Config, ConfiguredRoute, KeyHash, RouteTable};
use crate::name::{OrganisationName, PoolName};
use crate::route::{EvacuationCheck, RouterLease};
use std::sync::Arc;

/// Permission to send one call on a configured route, for the organisation that it began with. It is checked around every write, so that a
/// router that was suspended or whose lease has expired sends nothing that is no longer allowed.
#[derive(Debug)]
pub struct RoutePermit {
    lease: Arc<RouterLease>,
    /// The revision under which the call was found to be allowed.
    revision: u64,
    route: Arc<ConfiguredRoute>,
    pool: PoolName,
    key: Option<KeyHash>,
    organisation: Option<OrganisationName>,
    destination: Destination,
    evacuation: EvacuationCheck,
}

impl RoutePermit {
    /// Creates the permit for one exchange of a call that was allowed under `revision`.
    pub fn new(
        lease: Arc<RouterLease>,
        revision: u64,
        route: Arc<ConfiguredRoute>,
        pool: PoolName,
        key: Option<KeyHash>,
        organisation: Option<OrganisationName>,
        destination: Destination,
    ) -> Arc<Self> {
        let evacuation = EvacuationCheck::new(destination.server_centre().cloned());
        Arc::new(Self { lease, revision, route, pool, key, organisation, destination, evacuation })
    }

    fn allows(&self, config: &Config) -> bool {
        // The server was selected after the call was allowed, so this is asked under the same revision too.
        if !self.evacuation.allows(config) || !self.allows_region(config) {
            return false;
        }
        if config.revision == self.revision {
            return true;
        }
        let Some(table) = &config.route_table else { return false };
        let mut routes = table.routes.iter();
        let is_same = |route: &&Arc<ConfiguredRoute>| {
            route.host == self.route.host && route.prefix == self.route.prefix
        };
        let route = routes.find(is_same);
        let has_pool = |route: &Arc<ConfiguredRoute>| {
            route.pools.iter().any(|share| share.pool == self.pool && share.weight > 0)
        };
        route.is_some_and(|route| has_pool(route) && self.may_call(table, route))
    }

    /// Whether the call may be served where it is sent, also once it has begun.
    fn allows_region(&self, config: &Config) -> bool {
        let allowed = config.region_rules.of_call(&self.route, self.organisation.as_ref());
        allowed.contains(self.destination.region())
    }

    /// Whether the key is still that of the call's organisation, or the route needs none.
    fn may_call(&self, table: &RouteTable, route: &ConfiguredRoute) -> bool {
        match &self.key {
            Some(key) => holder(table, key) == self.organisation.as_ref(),
            None => route.public || table.organisations.is_none(),
        }
    }
}

/// The organisation that a key belongs to.
fn holder<'a>(table: &'a RouteTable, key: &KeyHash) -> Option<&'a OrganisationName> {
    let mut organisations = table.organisations.iter().flatten();
    organisations.find(|organisation| organisation.keys.contains(key)).map(|found| &found.name)
}

impl WritePermit for RoutePermit {
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool {
        let mut begin = || {
            self.evacuation.begin();
            write();
        };
        self.lease.run_if_valid(|config| self.allows(config), &mut begin)
    }
}
