use super::{Listing, Vm, VmState};
use crate::backend::ConnectionPool;
use crate::event::{Event, Journal};
use crate::name::VmName;
use crate::settings::VmListSource;
use std::collections::BTreeSet;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// The newest list of VMs that this daemon has read. A VM once seen leaving stays so for as long
/// as the list names it, whatever an older copy of the list says.
#[derive(Debug, Default)]
pub struct VmList {
    vms: RwLock<Arc<Listing>>,
    leaving: RwLock<BTreeSet<VmName>>,
}

impl VmList {
    /// Reads the list now and then every `poll`.
    pub async fn spawn(
        source: VmListSource,
        poll: Duration,
        connections: Arc<ConnectionPool>,
        journal: Arc<Journal>,
    ) -> Arc<Self> {
        let list = Arc::new(Self::default());
        if let Some(vms) = fetch(&source, &connections).await {
            list.replace(vms, &journal);
        }
        let task = list.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(poll).await;
                match fetch(&source, &connections).await {
                    Some(vms) => task.replace(vms, &journal),
                    None => log::warn!("the VM list cannot be read; the last one stays in use"),
                }
            }
        });
        list
    }

    /// The list as last read.
    pub fn now(&self) -> Arc<Listing> {
        self.vms.read().expect("VM list lock").clone()
    }

    /// Whether a VM may be given work.
    pub fn may_use(&self, name: &VmName) -> bool {
        self.now().may_use(name)
    }

    /// Takes in a newer list.
    pub fn replace(&self, mut vms: Vec<Vm>, journal: &Journal) {
        let mut leaving = self.leaving.write().expect("leaving lock");
        let names: BTreeSet<VmName> = vms.iter().map(|vm| vm.vm.clone()).collect();
        leaving.retain(|name| names.contains(name));
        for vm in &mut vms {
            if vm.state == VmState::Leaving && leaving.insert(vm.vm.clone()) {
                journal.record(Event::ServerLeaving { server: vm.vm.clone() });
            }
            if leaving.contains(&vm.vm) {
                vm.state = VmState::Leaving;
            }
        }
        let mut current = self.vms.write().expect("VM list lock");
        for gone in current.all().filter(|vm| !names.contains(&vm.vm)) {
            journal.record(Event::ServerGone { server: gone.vm.clone() });
        }
        *current = Arc::new(Listing::of(vms));
    }
}

async fn fetch(source: &VmListSource, connections: &ConnectionPool) -> Option<Vec<Vm>> {
    let bytes = match source {
        VmListSource::File(path) => tokio::fs::read(path).await.ok()?.into(),
        VmListSource::Http(address) => connections.get(*address, "/vms").await?,
    };
    serde_json::from_slice(&bytes).ok()
}
