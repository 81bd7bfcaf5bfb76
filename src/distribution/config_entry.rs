use crate::control::{
    CallerLimits, ConfiguredRoute, Model, Organisation, PoolRollout, PoolSpec, RegionScope,
    Rollout, RouteOrganisation, Service, Version,
};
use crate::name::{
    DataCentre, ModelName, OrganisationName, PoolName, Region, RolloutName, ServiceName, VersionKey,
};
use crate::peer::ProtocolVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A part of the configuration that changes as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigEntry {
    /// The revision, and what the route table has only once.
    Header(ConfigHeader),
    /// An organisation that calls models and services.
    Organisation(Organisation),
    /// A model.
    Model(Model),
    /// A version of a model.
    Version(Version),
    /// A service that is not a model engine.
    Service(Service),
    /// A roll-out of a model version.
    Rollout(Rollout),
    /// A roll-out of a pool.
    PoolRollout(PoolRollout),
    /// A configured route.
    Route(Arc<ConfiguredRoute>),
    /// A pool of the route table.
    Pool(PoolSpec),
    /// An organisation of the route table.
    RouteOrganisation(RouteOrganisation),
    /// A data centre whose servers get no calls.
    Evacuated(DataCentre),
    /// The regions in which some calls may be served.
    Regions(RegionScope, BTreeSet<Region>),
}

/// What a configuration has only once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigHeader {
    /// The revision of the configuration.
    pub revision: u64,
    /// The route table's own header; `None` without a route table.
    pub table: Option<TableHeader>,
}

/// What a route table has only once. Routers do not need the operator's document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableHeader {
    /// The number that the operator chose.
    pub number: u64,
    /// Size and time limits for requests.
    pub limits: CallerLimits,
    /// Whether the table has organisations, so that routes require a key.
    pub has_keys: bool,
}

/// The key of a [`ConfigEntry`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ConfigKey {
    /// The header.
    Header,
    /// The name of an organisation.
    Organisation(OrganisationName),
    /// The name of a model.
    Model(ModelName),
    /// The key of a version.
    Version(VersionKey),
    /// The name of a service.
    Service(ServiceName),
    /// The name of a roll-out.
    Rollout(RolloutName),
    /// The pool of a roll-out.
    PoolRollout(PoolName),
    /// The host and path prefix of a route.
    Route(String, String),
    /// The name of a pool.
    Pool(PoolName),
    /// The name and priority of an organisation of the route table.
    RouteOrganisation(OrganisationName, Option<u8>),
    /// The name of a data centre that is evacuated.
    Evacuated(DataCentre),
    /// Calls that may be served in some regions only.
    Regions(RegionScope),
}

impl ConfigEntry {
    /// The key of the entry.
    pub fn key(&self) -> ConfigKey {
        match self {
            ConfigEntry::Header(_) => ConfigKey::Header,
            ConfigEntry::Organisation(entry) => ConfigKey::Organisation(entry.name.clone()),
            ConfigEntry::Model(entry) => ConfigKey::Model(entry.name.clone()),
            ConfigEntry::Version(entry) => ConfigKey::Version(entry.key()),
            ConfigEntry::Service(entry) => ConfigKey::Service(entry.name.clone()),
            ConfigEntry::Rollout(entry) => ConfigKey::Rollout(entry.name.clone()),
            ConfigEntry::PoolRollout(entry) => ConfigKey::PoolRollout(entry.pool.clone()),
            ConfigEntry::Route(entry) => ConfigKey::Route(entry.host.clone(), entry.prefix.clone()),
            ConfigEntry::Pool(entry) => ConfigKey::Pool(entry.name.clone()),
            ConfigEntry::RouteOrganisation(entry) => {
                ConfigKey::RouteOrganisation(entry.name.clone(), entry.priority)
            }
            ConfigEntry::Evacuated(data_centre) => ConfigKey::Evacuated(data_centre.clone()),
            ConfigEntry::Regions(scope, _) => ConfigKey::Regions(scope.clone()),
        }
    }
}

impl ConfigKey {
    /// The first version of daemons that can read the entry and its key.
    pub fn needs(&self) -> ProtocolVersion {
        match self {
            ConfigKey::Evacuated(_) => ProtocolVersion::EVACUATIONS,
            ConfigKey::Regions(_) => ProtocolVersion::REGIONS,
            _ => ProtocolVersion::FIRST,
        }
    }

    /// Whether the entry belongs to the route table.
    pub fn is_in_table(&self) -> bool {
        matches!(self, ConfigKey::Route(..) | ConfigKey::Pool(_) | ConfigKey::RouteOrganisation(..))
    }
}
