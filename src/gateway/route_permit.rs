use crate::backend::WritePermit;
use crate::control::{Config, KeyHash};
use crate::name::PoolName;
use crate::route::RouterLease;
use std::sync::Arc;

/// Permission to send one call on a configured route. It is checked around every write, so that a
/// router that was suspended or whose lease has expired sends nothing that is no longer allowed.
#[derive(Debug)]
pub struct RoutePermit {
    lease: Arc<RouterLease>,
    host: String,
    prefix: String,
    pool: PoolName,
    key: Option<KeyHash>,
}

impl RoutePermit {
    /// Creates the permit for one exchange; `route` is the route's host and path prefix.
    pub fn new(
        lease: Arc<RouterLease>,
        route: (&str, &str),
        pool: PoolName,
        key: Option<KeyHash>,
    ) -> Arc<Self> {
        let (host, prefix) = (route.0.to_owned(), route.1.to_owned());
        Arc::new(Self { lease, host, prefix, pool, key })
    }

    fn allows(&self, config: &Config) -> bool {
        let Some(table) = &config.route_table else { return false };
        let mut routes = table.routes.iter();
        let route = routes.find(|route| route.host == self.host && route.prefix == self.prefix);
        let has_pool = |route: &crate::control::ConfiguredRoute| {
            route.pools.iter().any(|share| share.pool == self.pool && share.weight > 0)
        };
        route.is_some_and(has_pool) && self.key.as_ref().is_none_or(|key| is_known_key(table, key))
    }
}

fn is_known_key(table: &crate::control::RouteTable, key: &KeyHash) -> bool {
    table.organisations.iter().flatten().any(|organisation| organisation.keys.contains(key))
}

impl WritePermit for RoutePermit {
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool {
        self.lease.run_if_valid(|config| self.allows(config), write)
    }
}
