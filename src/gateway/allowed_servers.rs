use super::Gateway;
use super::server_selection::SelectionCriteria;
use super::server_table::ServerState;
use crate::control::{AllowedRegions, Config};
use crate::name::DataCentre;
use crate::settings::RegionMap;
use std::sync::Arc;
use std::time::Duration;

/// The one place that says which servers may get a call now: none in data centres that are
/// evacuated or in regions where the call may not be served, and none that have asked for a pause.
/// What asks it is the selection of servers; permits ask again at the write.
#[derive(Debug)]
pub struct AllowedServers<'a> {
    config: &'a Config,
    regions: &'a RegionMap,
    allowed: AllowedRegions<'a>,
}

impl<'a> AllowedServers<'a> {
    /// The servers for a call under a configuration.
    pub fn new(gateway: &'a Gateway, config: &'a Config, criteria: &SelectionCriteria<'_>) -> Self {
        let allowed = config.region_rules.of_call(criteria.route, criteria.organisation);
        Self { config, regions: &gateway.settings.regions, allowed }
    }

    /// Whether a server may get the call now.
    pub fn takes_call(&self, server: &ServerState) -> bool {
        self.is_in_use(server) && server.backoff_left().is_zero()
    }

    /// Whether the call's body may be sent to a data centre, be it evacuated or not.
    pub fn is_in_region(&self, data_centre: &DataCentre) -> bool {
        self.allowed.is_anywhere() || self.allowed.contains(self.regions.of(data_centre))
    }

    /// Whether a server may get the call, now or after a pause that it has asked for.
    pub fn is_in_use(&self, server: &ServerState) -> bool {
        !self.config.is_evacuated(&server.vm.data_centre)
            && self.is_in_region(&server.vm.data_centre)
    }

    /// Why none of a pool's servers takes the call; `None` if there is no such server, or one takes
    /// it.
    pub fn obstacle(&self, servers: &[Arc<ServerState>]) -> Option<Obstacle> {
        if servers.is_empty() {
            return None;
        }
        if !servers.iter().any(|server| self.is_in_region(&server.vm.data_centre)) {
            return Some(Obstacle::Region);
        }
        let in_use = servers.iter().filter(|server| self.is_in_use(server));
        match in_use.map(|server| server.backoff_left()).min() {
            None => Some(Obstacle::Evacuated),
            Some(left) => Some(Obstacle::Pause(left)).filter(|_| !left.is_zero()),
        }
    }
}

/// Why no server of a pool takes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// All lie in regions where the call may not be served.
    Region,
    /// All others lie in data centres that are evacuated.
    Evacuated,
    /// All others have asked for a pause; the shortest that is left.
    Pause(Duration),
}
