//! Servers that get no new calls, as their data centre is evacuated.

use super::Gateway;
use super::server_table::ServerState;
use crate::control::Config;
use crate::name::{DataCentre, PoolName};
use std::sync::Arc;

impl Gateway {
    /// The live servers of a pool without those in evacuated data centres.
    pub(super) fn servers_in_use(&self, pool: &PoolName) -> Vec<Arc<ServerState>> {
        let mut servers = self.servers.pool(pool);
        if let Some(config) = self.lease.installed().filter(|config| !config.evacuated.is_empty()) {
            servers.retain(|server| !config.is_evacuated(&server.vm.data_centre));
        }
        servers
    }

    /// Takes in which data centres a new configuration takes back and which it evacuates. Call it before the
    /// configuration is in force.
    pub(super) fn note_evacuations(&self, next: &Config) {
        metrics::gauge!("samphireshift_evacuated_data_centres").set(next.evacuated.len() as f64);
        let Some(current) = self.lease.installed() else { return };
        if next.revision <= current.revision {
            return;
        }
        for data_centre in next.evacuated.difference(&current.evacuated) {
            log::info!("data centre {data_centre} is evacuated: its servers get no new calls");
        }
        let returned = current.evacuated.difference(&next.evacuated);
        returned.for_each(|data_centre: &DataCentre| self.servers_returned(data_centre));
    }
}
