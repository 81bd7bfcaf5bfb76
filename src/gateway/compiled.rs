use crate::control::{CallerLimits, Config, ConfiguredRoute, KeyHash, KeyOwner, RouteTable};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration arranged for look-ups.
#[derive(Debug)]
pub struct Compiled {
    /// The configuration.
    pub config: Arc<Config>,
    table: Arc<RouteTable>,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<KeyHash, usize>,
}

/// What a look-up of a key finds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Found<'a> {
    /// Nobody needs a key.
    Free,
    /// The key's owner.
    Owner(&'a KeyOwner),
    /// No organisation has the key.
    Stranger,
}

impl Compiled {
    /// Arranges a configuration; `None` while it has no routes.
    pub fn of(config: Arc<Config>) -> Option<Self> {
        let table = config.table.clone()?;
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|at| std::cmp::Reverse(table.routes[*at].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (at, owner) in table.owners.iter().flatten().enumerate() {
            keys.extend(owner.keys.iter().map(|key| (key.clone(), at)));
        }
        Some(Self { config, table, hosts, keys })
    }

    /// What callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.table.limits
    }

    /// The route of a host and path: of those that begin the path, the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&ConfiguredRoute> {
        let host = host_name(host);
        let list = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let mut routes = list.iter().map(|at| &self.table.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Who may call a route with a key.
    pub fn owner(&self, route: &ConfiguredRoute, key: Option<&KeyHash>) -> Found<'_> {
        let Some(owners) = &self.table.owners else { return Found::Free };
        let owner = key.and_then(|key| self.keys.get(key)).map(|at| &owners[*at]);
        match owner {
            Some(owner) => Found::Owner(owner),
            None if route.public => Found::Free,
            None => Found::Stranger,
        }
    }
}

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
