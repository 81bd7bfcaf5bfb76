use crate::control::{
    CallerLimits, Config, ConfiguredRoute, KeyHash, RouteOrganisation, RouteTable,
};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration with indexes for lookups by host and by API key.
#[derive(Debug)]
pub struct RouteIndex {
    /// The indexed configuration.
    pub config: Arc<Config>,
    table: Arc<RouteTable>,
    hosts: HashMap<String, Vec<usize>>,
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
    /// Indexes a configuration; `None` while it has no route table.
    pub fn build(config: Arc<Config>) -> Option<Self> {
        let table = config.route_table.clone()?;
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|at| std::cmp::Reverse(table.routes[*at].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (at, organisation) in table.organisations.iter().flatten().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), at)));
        }
        Some(Self { config, table, hosts, keys })
    }

    /// Size limits and timeouts for callers' requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.table.limits
    }

    /// The route for a host and path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&ConfiguredRoute> {
        let host = host_name(host);
        let list = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let mut routes = list.iter().map(|at| &self.table.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
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
