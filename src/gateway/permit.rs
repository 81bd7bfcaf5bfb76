use crate::backend::Permit;
use crate::control::{Config, KeyHash};
use crate::name::PoolName;
use crate::route::RouterLease;
use std::sync::Arc;

/// Leave to send one call on a configured route, asked around every write, so that neither a frozen
/// router nor one whose lease has run out sends what is no longer allowed.
#[derive(Debug)]
pub struct RoutePermit {
    lease: Arc<RouterLease>,
    host: String,
    prefix: String,
    pool: PoolName,
    key: Option<KeyHash>,
}

impl RoutePermit {
    /// Makes the permit of one exchange.
    pub fn open(
        lease: Arc<RouterLease>,
        place: (&str, &str),
        pool: PoolName,
        key: Option<KeyHash>,
    ) -> Arc<Self> {
        let (host, prefix) = (place.0.to_owned(), place.1.to_owned());
        Arc::new(Self { lease, host, prefix, pool, key })
    }

    fn allows(&self, config: &Config) -> bool {
        let Some(table) = &config.table else { return false };
        let mut routes = table.routes.iter();
        let route = routes.find(|route| route.host == self.host && route.prefix == self.prefix);
        let share = |route: &crate::control::ConfiguredRoute| {
            route.pools.iter().any(|share| share.pool == self.pool && share.weight > 0)
        };
        route.is_some_and(share) && self.key.as_ref().is_none_or(|key| holds(table, key))
    }
}

fn holds(table: &crate::control::RouteTable, key: &KeyHash) -> bool {
    table.owners.iter().flatten().any(|owner| owner.keys.contains(key))
}

impl Permit for RoutePermit {
    fn hold(&self, write: &mut dyn FnMut()) -> bool {
        self.lease.hold(|config| self.allows(config), write)
    }
}
