use crate::control::{
    CallerLimits, Config, ConfiguredRoute, KeyHash, RouteOrganisation, RouteTable,
};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration that can be searched by host, path and API key.
///
/// The table's routes, sorted by host and path prefix, are searched as they are, so that a changed
/// configuration needs no index of its own for them.
#[derive(Debug)]
pub struct RouteIndex {
    /// The indexed configuration.
    pub config: Arc<Config>,
    table: Arc<RouteTable>,
    keys: HashMap<KeyHash, usize>,
}

/// The result of an API key check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Access<'a> {
    /// The route needs no key.
    Anonymous,
    /// The organisation that owns the key.
    Organisation(&'a RouteOrganisation),
    /// A key is needed, and it is missing or unknown.
    Denied,
}

impl RouteIndex {
    /// Indexes a configuration whose routes are sorted by host and path prefix; `None` while it has
    /// no route table.
    pub fn build(config: Arc<Config>) -> Option<Self> {
        let table = config.route_table.clone()?;
        let mut keys = HashMap::new();
        for (at, organisation) in table.organisations.iter().flatten().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), at)));
        }
        Some(Self { config, table, keys })
    }

    /// Size limits and timeouts for callers' requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.table.limits
    }

    /// The route for a host and path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ConfiguredRoute>> {
        let host = host_name(host);
        let found = self.longest_match(host, path);
        found.or_else(|| self.longest_match(&host.to_ascii_lowercase(), path))
    }

    /// Every prefix ends with a slash, so only the parts of the path that do can be one.
    fn longest_match(&self, host: &str, path: &str) -> Option<&Arc<ConfiguredRoute>> {
        let ends = memchr::memrchr_iter(b'/', path.as_bytes());
        ends.map(|end| &path[..=end]).find_map(|prefix| self.exact_match(host, prefix))
    }

    fn exact_match(&self, host: &str, prefix: &str) -> Option<&Arc<ConfiguredRoute>> {
        let place = |route: &Arc<ConfiguredRoute>| {
            (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
        };
        let at = self.table.routes.binary_search_by(place).ok()?;
        self.table.routes.get(at)
    }

    /// Checks whether a key may call a route. Without configured organisations, every route is open.
    pub fn authorize(&self, route: &ConfiguredRoute, key: Option<&KeyHash>) -> Access<'_> {
        let Some(owners) = &self.table.organisations else { return Access::Anonymous };
        let organisation = key.and_then(|key| self.keys.get(key)).map(|at| &owners[*at]);
        match organisation {
            Some(organisation) => Access::Organisation(organisation),
            None if route.public => Access::Anonymous,
            None => Access::Denied,
        }
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
