use super::{Vm, VmIndex, VmState};
use crate::backend::ConnectionPool;
use crate::event::{Event, Journal};
use crate::name::VmName;
use crate::settings::VmListSource;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// The latest VM list that this daemon has read. Once a VM has been seen leaving, it counts as
/// leaving until it is no longer listed, even if a later read returns an older copy of the list.
#[derive(Debug, Default)]
pub struct VmList {
    index: RwLock<Arc<VmIndex>>,
    leaving: RwLock<BTreeSet<VmName>>,
}

impl VmList {
    /// Reads the list once, then starts a task that reads it again every `poll_interval`.
    pub async fn spawn(
        source: VmListSource,
        poll_interval: Duration,
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
                tokio::time::sleep(poll_interval).await;
                match fetch(&source, &connections).await {
                    Some(vms) => task.replace(vms, &journal),
                    None => log::warn!("cannot read the VM list; the previous one stays in use"),
                }
            }
        });
        list
    }

    /// The latest list.
    pub fn current(&self) -> Arc<VmIndex> {
        self.index.read().expect("VM list lock").clone()
    }

    /// Whether a VM is listed as live, so that it may be sent requests.
    pub fn is_live(&self, name: &VmName) -> bool {
        self.current().is_live(name)
    }

    /// Replaces the list and records the VMs that have begun to leave or are no longer listed.
    pub fn replace(&self, mut vms: Vec<Vm>, journal: &Journal) {
        let mut leaving = self.leaving.write().expect("leaving lock");
        let names: BTreeSet<VmName> = vms.iter().map(|vm| vm.name.clone()).collect();
        leaving.retain(|name| names.contains(name));
        for vm in &mut vms {
            if vm.state == VmState::Leaving && leaving.insert(vm.name.clone()) {
                journal.record(Event::ServerLeaving { server: vm.name.clone() });
            }
            if leaving.contains(&vm.name) {
                vm.state = VmState::Leaving;
            }
        }
        let mut index = self.index.write().expect("VM list lock");
        for removed in index.all().filter(|vm| !names.contains(&vm.name)) {
            journal.record(Event::ServerGone { server: removed.name.clone() });
        }
        *index = Arc::new(VmIndex::build(vms));
    }
}

async fn fetch(source: &VmListSource, connections: &ConnectionPool) -> Option<Vec<Vm>> {
    let bytes = match source {
        VmListSource::File(path) => tokio::fs::read(path).await.ok()?.into(),
        VmListSource::Http(address) => connections.get(*address, "/vms").await?,
    };
    parse_list(&bytes)
}

/// The entries of a list; `None` if it is no list at all. Entries that cannot be read are left out: one
/// of another writer must not hide the others.
fn parse_list(bytes: &[u8]) -> Option<Vec<Vm>> {
    let text = String::from_utf8_lossy(bytes);
    let entries: Vec<&RawValue> = serde_json::from_str(&text).ok()?;
    let parse = |entry: &&RawValue| {
        let parsed = serde_json::from_str(entry.get());
        parsed.inspect_err(|error| log::warn!("an entry of the VM list is left out: {error}")).ok()
    };
    Some(entries.iter().filter_map(parse).collect())
}
