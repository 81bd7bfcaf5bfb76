use crate::backend::WritePermit;
use crate::control::{Config, ConfiguredRoute, KeyHash, RouteTable};
use crate::name::PoolName;
use crate::route::RouterLease;
use std::sync::Arc;

/// Permission to send one call on a configured route. It is checked around every write, so that a
/// router that was suspended or whose lease has expired sends nothing that is no longer allowed.
#[derive(Debug)]
pub struct RoutePermit {
    lease: Arc<RouterLease>,
    /// The revision under which the call was found to be allowed.
    revision: u64,
    route: Arc<ConfiguredRoute>,
    pool: PoolName,
    key: Option<KeyHash>,
}

impl RoutePermit {
    /// Creates the permit for one exchange of a call that was allowed under `revision`.
    pub fn new(
        lease: Arc<RouterLease>,
        revision: u64,
        route: Arc<ConfiguredRoute>,
        pool: PoolName,
        key: Option<KeyHash>,
    ) -> Arc<Self> {
        Arc::new(Self { lease, revision, route, pool, key })
    }

    fn allows(&self, config: &Config) -> bool {
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
        route.is_some_and(has_pool) && self.key.as_ref().is_none_or(|key| is_known_key(table, key))
    }
}

fn is_known_key(table: &RouteTable, key: &KeyHash) -> bool {
    table.organisations.iter().flatten().any(|organisation| organisation.keys.contains(key))
}

impl WritePermit for RoutePermit {
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool {
        self.lease.run_if_valid(|config| self.allows(config), write)
    }
}
