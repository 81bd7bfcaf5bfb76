use super::{Vm, VmState};
use crate::name::{PoolName, VmName};
use std::collections::HashMap;
use std::sync::Arc;

/// One state of the VM list, arranged for look-ups.
#[derive(Debug, Default)]
pub struct Listing {
    names: HashMap<VmName, Arc<Vm>>,
    pools: HashMap<PoolName, Arc<[Arc<Vm>]>>,
}

impl Listing {
    /// Arranges a list; of two entries for one VM the last counts.
    pub fn of(vms: Vec<Vm>) -> Self {
        let mut names = HashMap::new();
        for vm in vms {
            names.insert(vm.vm.clone(), Arc::new(vm));
        }
        let mut grouped: HashMap<PoolName, Vec<Arc<Vm>>> = HashMap::new();
        for vm in names.values().filter(|vm| vm.state == VmState::Live) {
            grouped.entry(vm.pool.clone()).or_default().push(vm.clone());
        }
        let ordered = |(pool, mut vms): (PoolName, Vec<Arc<Vm>>)| {
            vms.sort_by(|a, b| a.vm.cmp(&b.vm));
            (pool, vms.into())
        };
        Self { pools: grouped.into_iter().map(ordered).collect(), names }
    }

    /// A VM.
    pub fn get(&self, name: &VmName) -> Option<&Arc<Vm>> {
        self.names.get(name)
    }

    /// All VMs, in no order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Vm>> {
        self.names.values()
    }

    /// Pools and their live VMs.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &Arc<[Arc<Vm>]>)> {
        self.pools.iter()
    }

    /// The live VMs of a pool, by name.
    pub fn pool(&self, pool: &PoolName) -> Arc<[Arc<Vm>]> {
        self.pools.get(pool).cloned().unwrap_or_else(|| Arc::from([]))
    }

    /// Whether a VM may be given work.
    pub fn may_use(&self, name: &VmName) -> bool {
        self.names.get(name).is_some_and(|vm| vm.state == VmState::Live)
    }
}
