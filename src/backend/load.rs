use super::{CacheEvent, ConnectionPool, fetch_cache_events};
use crate::name::{VersionKey, VmName};
use crate::vms::VmList;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::task::JoinHandle;

/// How often each backend server's load report and new cache events are fetched.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A backend server's report of its load, which may be out of date when it is read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being processed.
    #[serde(default)]
    pub running: u64,
    /// Requests waiting in the server's queue.
    #[serde(default)]
    pub waiting: u64,
    /// Requests that the server can process at the same time.
    #[serde(default)]
    pub slots: u64,
    /// The fraction of the KV cache memory in use, from 0 to 1.
    #[serde(rename = "memory", default)]
    pub kv_usage: f64,
    /// Loaded versions, as `model/version`.
    #[serde(default)]
    pub versions: Vec<String>,
    /// The number of the newest cache event; 0 if the server publishes none.
    #[serde(rename = "cache", default)]
    pub last_event: u64,
}

/// Receives the load reports and cache events fetched from backend servers.
pub trait LoadSink: Send + Sync + 'static {
    /// Records a server's load report.
    fn record_load(&self, vm: &VmName, report: &LoadReport);
    /// The number of the last cache event recorded for a server; 0 if there is none.
    fn last_event(&self, vm: &VmName) -> u64;
    /// Records a server's cache events, in the order of their numbers.
    fn record_cache_events(&self, vm: &VmName, events: &[CacheEvent]);
}

/// The versions that each backend server reported as loaded in its last load report.
#[derive(Debug, Default)]
pub struct LoadedVersions {
    versions: RwLock<HashMap<VmName, Vec<String>>>,
}

impl LoadedVersions {
    /// Starts a task that polls every live VM in the list. Each VM has a polling task of its own,
    /// so that an unresponsive one does not delay the others. Reports and cache events also go to
    /// `sink`.
    pub fn spawn<S>(vms: Arc<VmList>, connections: Arc<ConnectionPool>, sink: Arc<S>) -> Arc<Self>
    where
        S: LoadSink,
    {
        let table = Arc::new(Self::default());
        let task = table.clone();
        tokio::spawn(async move {
            let mut pollers: HashMap<VmName, JoinHandle<()>> = HashMap::new();
            loop {
                let index = vms.current();
                pollers.retain(|name, poller| index.is_live(name) && !poller.is_finished());
                for vm in index.pools().flat_map(|(_, pool)| pool.iter()) {
                    if !pollers.contains_key(&vm.name) {
                        let (vms, connections) = (vms.clone(), connections.clone());
                        let (name, address) = (vm.name.clone(), vm.address);
                        let poll =
                            task.clone().poll_server(name, address, vms, connections, sink.clone());
                        pollers.insert(vm.name.clone(), tokio::spawn(poll));
                    }
                }
                task.versions
                    .write()
                    .expect("load lock")
                    .retain(|name, _| index.get(name).is_some());
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        table
    }

    /// Polls one server until the VM list no longer has it at this address.
    async fn poll_server<S>(
        self: Arc<Self>,
        name: VmName,
        address: SocketAddr,
        vms: Arc<VmList>,
        connections: Arc<ConnectionPool>,
        sink: Arc<S>,
    ) where
        S: LoadSink,
    {
        while vms.current().get(&name).is_some_and(|vm| vm.address == address) {
            if let Some(report) = fetch_load_report(&connections, address).await {
                sink.record_load(&name, &report);
                let after = sink.last_event(&name);
                if report.last_event != after
                    && let Some(events) = fetch_cache_events(&connections, address, after).await
                {
                    sink.record_cache_events(&name, &events);
                }
                self.versions.write().expect("load lock").insert(name.clone(), report.versions);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the server has reported its loaded versions and `version` is not among them. False
    /// if the server reported no versions.
    pub fn lacks(&self, vm: &VmName, version: &VersionKey) -> bool {
        let reports = self.versions.read().expect("load lock");
        let Some(versions) = reports.get(vm).filter(|versions| !versions.is_empty()) else {
            return false;
        };
        let is_version = |text: &String| {
            let rest = text.strip_prefix(version.model.as_str());
            rest.and_then(|rest| rest.strip_prefix('/')) == Some(version.version.as_str())
        };
        !versions.iter().any(is_version)
    }
}

async fn fetch_load_report(
    connections: &ConnectionPool,
    address: SocketAddr,
) -> Option<LoadReport> {
    let bytes = connections.get(address, "/v1/load").await?;
    serde_json::from_slice(&bytes).ok()
}
