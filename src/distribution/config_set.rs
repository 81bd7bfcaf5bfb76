//! Conversion of a configuration to entries and back.

use super::{ConfigEntry, ConfigHeader, ConfigKey, EntrySet, TableHeader};
use crate::control::{Config, RegionRules, RouteOrganisation, RouteTable};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The entries of a configuration.
pub type ConfigSet = EntrySet<ConfigKey, ConfigEntry>;

/// The entries of a configuration; those of its route table only with `with_table`.
pub fn config_entries(config: &Config, with_table: bool) -> Vec<ConfigEntry> {
    let mut entries = vec![ConfigEntry::Header(header(config))];
    entries.extend(config.organisations.values().cloned().map(ConfigEntry::Organisation));
    entries.extend(config.models.values().cloned().map(ConfigEntry::Model));
    entries.extend(config.versions.values().cloned().map(ConfigEntry::Version));
    entries.extend(config.services.values().cloned().map(ConfigEntry::Service));
    entries.extend(config.rollouts.values().cloned().map(ConfigEntry::Rollout));
    entries.extend(config.pool_rollouts.values().cloned().map(ConfigEntry::PoolRollout));
    entries.extend(config.evacuated.iter().cloned().map(ConfigEntry::Evacuated));
    let rules = config.region_rules.rules.iter();
    entries.extend(rules.map(|(scope, rule)| ConfigEntry::Regions(scope.clone(), rule.clone())));
    if let Some(table) = config.route_table.as_ref().filter(|_| with_table) {
        entries.extend(table.routes.iter().cloned().map(ConfigEntry::Route));
        entries.extend(table.pools.iter().cloned().map(ConfigEntry::Pool));
        let organisations = table.organisations.iter().flatten();
        entries.extend(merge_namesakes(organisations).map(ConfigEntry::RouteOrganisation));
    }
    entries
}

fn header(config: &Config) -> ConfigHeader {
    let table = config.route_table.as_ref().map(|table| TableHeader {
        number: table.number,
        limits: table.limits,
        has_keys: table.organisations.is_some(),
    });
    ConfigHeader { revision: config.revision, table }
}

/// Organisations with the same name and priority differ in nothing that matters to a router, so
/// their keys are merged.
fn merge_namesakes<'a, I>(organisations: I) -> impl Iterator<Item = RouteOrganisation>
where
    I: Iterator<Item = &'a RouteOrganisation>,
{
    let mut merged: BTreeMap<_, RouteOrganisation> = BTreeMap::new();
    for organisation in organisations {
        let key = (organisation.name.clone(), organisation.priority);
        match merged.get_mut(&key) {
            Some(first) => first.keys.extend(organisation.keys.iter().cloned()),
            None => {
                merged.insert(key, organisation.clone());
            }
        }
    }
    merged.into_values()
}

/// The configuration that entries make up, without the operator's document. Routes are sorted by
/// host and path prefix.
pub fn config_from_entries(set: &ConfigSet) -> Config {
    let mut config = Config::default();
    let mut table: Option<RouteTable> = None;
    let mut rules = RegionRules::default();
    for entry in set.entries() {
        match entry.clone() {
            ConfigEntry::Header(header) => {
                config.revision = header.revision;
                table = header.table.map(empty_table);
            }
            ConfigEntry::Organisation(entry) => {
                config.organisations.insert(entry.name.clone(), entry);
            }
            ConfigEntry::Model(entry) => {
                config.models.insert(entry.name.clone(), entry);
            }
            ConfigEntry::Version(entry) => {
                config.versions.insert(entry.key(), entry);
            }
            ConfigEntry::Service(entry) => {
                config.services.insert(entry.name.clone(), entry);
            }
            ConfigEntry::Rollout(entry) => {
                config.rollouts.insert(entry.name.clone(), entry);
            }
            ConfigEntry::PoolRollout(entry) => {
                config.pool_rollouts.insert(entry.pool.clone(), entry);
            }
            ConfigEntry::Evacuated(data_centre) => {
                config.evacuated.insert(data_centre);
            }
            ConfigEntry::Regions(scope, rule) => {
                rules.rules.insert(scope, rule);
            }
            table_entry => {
                if let Some(table) = &mut table {
                    add_to_table(table, table_entry);
                }
            }
        }
    }
    config.route_table = table.map(Arc::new);
    config.region_rules = Arc::new(rules);
    config
}

fn empty_table(header: TableHeader) -> RouteTable {
    RouteTable {
        number: header.number,
        routes: Vec::new(),
        pools: Vec::new(),
        limits: header.limits,
        organisations: header.has_keys.then(Vec::new),
        document: Bytes::new(),
    }
}

fn add_to_table(table: &mut RouteTable, entry: ConfigEntry) {
    match entry {
        ConfigEntry::Route(route) => table.routes.push(route),
        ConfigEntry::Pool(pool) => table.pools.push(pool),
        ConfigEntry::RouteOrganisation(organisation) => {
            table.organisations.get_or_insert_default().push(organisation);
        }
        _ => {}
    }
}
