use super::{Vm, VmState};
use crate::name::{PoolName, VmName};
use std::collections::HashMap;
use std::sync::Arc;

/// An immutable copy of the VM list, indexed by VM name and by pool.
#[derive(Debug, Default)]
pub struct VmIndex {
    by_name: HashMap<VmName, Arc<Vm>>,
    by_pool: HashMap<PoolName, Arc<[Arc<Vm>]>>,
}

impl VmIndex {
    /// Builds the index of a list. If a VM is listed more than once, the last entry counts.
    pub fn build(vms: Vec<Vm>) -> Self {
        let mut by_name = HashMap::new();
        for vm in vms {
            by_name.insert(vm.name.clone(), Arc::new(vm));
        }
        let mut grouped: HashMap<PoolName, Vec<Arc<Vm>>> = HashMap::new();
        for vm in by_name.values().filter(|vm| vm.state == VmState::Live) {
            grouped.entry(vm.pool.clone()).or_default().push(vm.clone());
        }
        let sorted = |(pool, mut vms): (PoolName, Vec<Arc<Vm>>)| {
            vms.sort_by(|a, b| a.name.cmp(&b.name));
            (pool, vms.into())
        };
        Self { by_pool: grouped.into_iter().map(sorted).collect(), by_name }
    }

    /// The VM with this name, in any state; `None` if it is not listed.
    pub fn get(&self, name: &VmName) -> Option<&Arc<Vm>> {
        self.by_name.get(name)
    }

    /// All VMs in any state, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Vm>> {
        self.by_name.values()
    }

    /// The pools that have live VMs, each with its live VMs sorted by name.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &Arc<[Arc<Vm>]>)> {
        self.by_pool.iter()
    }

    /// The live VMs of a pool, sorted by name.
    pub fn pool(&self, pool: &PoolName) -> Arc<[Arc<Vm>]> {
        self.by_pool.get(pool).cloned().unwrap_or_else(|| Arc::from([]))
    }

    /// Whether a VM is listed as live, so that it may be sent requests.
    pub fn is_live(&self, name: &VmName) -> bool {
        self.by_name.get(name).is_some_and(|vm| vm.state == VmState::Live)
    }
}
