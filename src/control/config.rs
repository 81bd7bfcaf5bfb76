use super::{KeyHash, Model, Organisation, PoolRollout, Rollout, RouteTable, Service, Version};
use crate::name::{ModelName, OrganisationName, PoolName, RolloutName, ServiceName, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The configuration that routers work under, at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Rises with every change.
    pub revision: u64,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationName, Organisation>,
    /// Models.
    pub models: BTreeMap<ModelName, Model>,
    /// Versions.
    pub versions: BTreeMap<VersionKey, Version>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Roll-outs.
    pub rollouts: BTreeMap<RolloutName, Rollout>,
    /// Configured routes.
    pub table: Option<Arc<RouteTable>>,
    /// The newest roll-out of each pool.
    pub shifts: BTreeMap<PoolName, PoolRollout>,
}

impl Config {
    /// The organisation that a key belongs to. Every stored hash is compared in constant time.
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

    /// Versions that an organisation may use, in the order of their names.
    pub fn versions_for<'a>(
        &'a self,
        organisation: &'a Organisation,
    ) -> impl Iterator<Item = (&'a VersionKey, &'a Version)> {
        self.versions.iter().filter(|(key, _)| organisation.allows(key))
    }
}
