//! The rates at which servers take requests while they are warming up, as operators set them.

use super::Node;
use crate::name::{PoolName, VmName};
use crate::operator::OperatorFormat;
use crate::peer::WarmUpRateTable;
use crate::policy::WarmingServers;
use crate::vms::VmReading;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// The rates of the newest route table.
pub struct WarmUpRates {
    format: Arc<dyn OperatorFormat>,
    /// Number of the route table that the rates are from.
    number: Option<u64>,
    /// Requests a second.
    rates: BTreeMap<PoolName, f64>,
}

impl WarmUpRates {
    /// Knows no rates yet; reads them from documents of this format.
    pub fn new(format: Arc<dyn OperatorFormat>) -> Self {
        Self { format, number: None, rates: BTreeMap::new() }
    }

    /// Reads the rates anew if there is another route table.
    pub fn update(&mut self, node: &Node) {
        let table = node.read_control(|state| state.config().route_table.clone());
        let number = table.as_ref().map(|table| table.number);
        if number == self.number {
            return;
        }
        self.number = number;
        let rates = table.map(|table| self.format.warm_up_rates(&table.document));
        self.rates = rates.unwrap_or_default();
        let rates = self.rates.iter().map(|(pool, rate)| (pool.clone(), *rate)).collect();
        node.set_warm_up_rates(WarmUpRateTable { number, rates });
    }

    /// The servers that are warming up and whose pools have a rate.
    pub fn group(&self, reading: &VmReading) -> Vec<WarmingServers> {
        let warming: HashSet<&VmName> = reading.warming.iter().collect();
        let servers_of = |pool: &PoolName| {
            let of_pool = reading.vms.iter().filter(|vm| vm.pool == *pool);
            let names = of_pool.map(|vm| &vm.name).filter(|name| warming.contains(name));
            let mut servers: Vec<VmName> = names.cloned().collect();
            servers.sort_unstable();
            servers.dedup();
            servers
        };
        let groups = self
            .rates
            .iter()
            .map(|(pool, rate)| WarmingServers { rate: *rate, servers: servers_of(pool) });
        groups.filter(|group| !group.servers.is_empty()).collect()
    }
}
