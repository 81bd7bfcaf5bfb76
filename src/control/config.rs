use super::{KeyHash, Model, Organisation, PoolRollout, Rollout, RouteTable, Service, Version};
use crate::name::{ModelName, OrganisationName, PoolName, RolloutName, ServiceName, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One revision of the configuration that routers apply.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with every change.
    pub revision: u64,
    /// Organisations that call models and services, with their permissions.
    pub organisations: BTreeMap<OrganisationName, Organisation>,
    /// Models that organisations can be granted.
    pub models: BTreeMap<ModelName, Model>,
    /// Versions of all models, in every state.
    pub versions: BTreeMap<VersionKey, Version>,
    /// Services that are not model engines.
    pub services: BTreeMap<ServiceName, Service>,
    /// Roll-outs from one model version to another, finished ones included.
    pub rollouts: BTreeMap<RolloutName, Rollout>,
    /// Configured routes; `None` until an operator installs a route table.
    pub route_table: Option<Arc<RouteTable>>,
    /// The newest roll-out of each pool.
    pub pool_rollouts: BTreeMap<PoolName, PoolRollout>,
}

impl Config {
    /// The organisation that an API key belongs to. Compares every stored hash, each in constant
    /// time.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let hash = KeyHash::of(key);
        let mut found = None;
        for organisation in self.organisations.values() {
            for stored in &organisation.keys {
                if stored.matches(&hash) {
                    found = Some(organisation);
                }
            }
        }
        found
    }

    /// Versions that an organisation may use, in any state, ordered by key.
    pub fn versions_for<'a>(
        &'a self,
        organisation: &'a Organisation,
    ) -> impl Iterator<Item = (&'a VersionKey, &'a Version)> {
        self.versions.iter().filter(|(key, _)| organisation.allows(key))
    }
}
