use super::{
    KeyHash, Model, Organisation, PoolRollout, RegionRules, Rollout, RouteTable, Service, Version,
};
use crate::name::{
    DataCentre, ModelName, OrganisationName, PoolName, RolloutName, ServiceName, VersionKey,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
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
    /// Data centres whose servers get no calls. Not part of the encoding, which earlier builds read: see
    /// [`crate::group::ReplicatedState::snapshot`] and [`crate::distribution::ConfigEntry`].
    #[serde(skip)]
    pub evacuated: BTreeSet<DataCentre>,
    /// Where calls on the routes of the route table may be served. Not part of the encoding either.
    #[serde(skip)]
    pub region_rules: Arc<RegionRules>,
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

    /// Whether the servers of a data centre get no calls.
    ///
    /// ```
    /// use samphireshift::control::Config;
    /// use samphireshift::name::DataCentre;
    /// let (north, south) = (DataCentre::new("north"), DataCentre::new("south"));
    /// let config = Config { evacuated: [north.clone()].into(), ..Config::default() };
    /// assert!(config.is_evacuated(&north) && !config.is_evacuated(&south));
    /// ```
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Versions that an organisation may use, in any state, ordered by key.
    pub fn versions_for<'a>(
        &'a self,
        organisation: &'a Organisation,
    ) -> impl Iterator<Item = (&'a VersionKey, &'a Version)> {
        self.versions.iter().filter(|(key, _)| organisation.allows(key))
    }
}
