use super::{CacheEvent, Connections, cache_events};
use crate::name::{VersionKey, VmName};
use crate::vms::VmList;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::task::JoinHandle;

/// How often each backend server is asked for its load.
const POLL_EVERY: Duration = Duration::from_millis(500);

/// What a backend server says of its load, some time after the fact.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being worked on.
    #[serde(default)]
    pub running: u64,
    /// Requests waiting.
    #[serde(default)]
    pub waiting: u64,
    /// Requests that it can work on at once.
    #[serde(default)]
    pub slots: u64,
    /// The share of KV memory in use, from 0 to 1.
    #[serde(default)]
    pub memory: f64,
    /// Versions that are loaded, as `model/version`.
    #[serde(default)]
    pub versions: Vec<String>,
    /// The number of its newest cache event; 0 where it publishes none.
    #[serde(default)]
    pub cache: u64,
}

/// Takes in what is read from backend servers.
pub trait LoadSink: Send + Sync + 'static {
    /// A load report was read.
    fn report(&self, vm: &VmName, report: &LoadReport);
    /// The newest cache event taken in from a server.
    fn newest_event(&self, vm: &VmName) -> u64;
    /// Cache events were read.
    fn events(&self, vm: &VmName, events: &[CacheEvent]);
}

/// The versions that each backend server last reported as loaded.
#[derive(Debug, Default)]
pub struct LoadTable {
    loaded: RwLock<HashMap<VmName, Vec<String>>>,
}

impl LoadTable {
    /// Starts to read the reports of every VM in the list, each on its own, so that a silent one
    /// delays no other; what is read goes to `sink` as well.
    pub fn spawn<S>(vms: Arc<VmList>, connections: Arc<Connections>, sink: Arc<S>) -> Arc<Self>
    where
        S: LoadSink,
    {
        let table = Arc::new(Self::default());
        let task = table.clone();
        tokio::spawn(async move {
            let mut readers: HashMap<VmName, JoinHandle<()>> = HashMap::new();
            loop {
                let listing = vms.now();
                readers.retain(|name, reader| listing.may_use(name) && !reader.is_finished());
                for vm in listing.pools().flat_map(|(_, pool)| pool.iter()) {
                    if !readers.contains_key(&vm.vm) {
                        let (vms, connections) = (vms.clone(), connections.clone());
                        let (name, address) = (vm.vm.clone(), vm.address);
                        let read = task.clone().read(name, address, vms, connections, sink.clone());
                        readers.insert(vm.vm.clone(), tokio::spawn(read));
                    }
                }
                task.loaded
                    .write()
                    .expect("load lock")
                    .retain(|name, _| listing.get(name).is_some());
                tokio::time::sleep(POLL_EVERY).await;
            }
        });
        table
    }

    /// Reads one server's reports and cache events until the list no longer has it there.
    async fn read<S>(
        self: Arc<Self>,
        name: VmName,
        address: SocketAddr,
        vms: Arc<VmList>,
        connections: Arc<Connections>,
        sink: Arc<S>,
    ) where
        S: LoadSink,
    {
        while vms.now().get(&name).is_some_and(|vm| vm.address == address) {
            if let Some(report) = load_report(&connections, address).await {
                sink.report(&name, &report);
                let after = sink.newest_event(&name);
                if report.cache != after
                    && let Some(events) = cache_events(&connections, address, after).await
                {
                    sink.events(&name, &events);
                }
                self.loaded.write().expect("load lock").insert(name.clone(), report.versions);
            }
            tokio::time::sleep(POLL_EVERY).await;
        }
    }

    /// Whether a server reported its versions and this is not one of them.
    pub fn lacks(&self, vm: &VmName, version: &VersionKey) -> bool {
        let loaded = self.loaded.read().expect("load lock");
        let Some(versions) = loaded.get(vm).filter(|versions| !versions.is_empty()) else {
            return false;
        };
        let named = |text: &String| {
            let rest = text.strip_prefix(version.model.as_str());
            rest.and_then(|rest| rest.strip_prefix('/')) == Some(version.version.as_str())
        };
        !versions.iter().any(named)
    }
}

async fn load_report(connections: &Connections, address: SocketAddr) -> Option<LoadReport> {
    let bytes = connections.get(address, "/v1/load").await?;
    serde_json::from_slice(&bytes).ok()
}
