use super::Connections;
use crate::name::{VersionKey, VmName};
use crate::platform::{VmList, VmState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

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
}

/// The versions that each backend server last reported as loaded.
#[derive(Debug, Default)]
pub struct LoadTable {
    loaded: RwLock<HashMap<VmName, Vec<String>>>,
}

impl LoadTable {
    /// Starts to read the reports of every VM in the list; each goes to `take` as well.
    pub fn spawn<F>(vms: Arc<VmList>, connections: Arc<Connections>, take: F) -> Arc<Self>
    where
        F: Fn(&VmName, &LoadReport) + Send + Sync + 'static,
    {
        let table = Arc::new(Self::default());
        let task = table.clone();
        tokio::spawn(async move {
            loop {
                task.poll(&vms, &connections, &take).await;
                tokio::time::sleep(POLL_EVERY).await;
            }
        });
        table
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

    async fn poll<F>(&self, vms: &VmList, connections: &Connections, take: &F)
    where
        F: Fn(&VmName, &LoadReport),
    {
        let list = vms.all();
        let live = list.iter().filter(|vm| vm.state == VmState::Live);
        let asks = live.map(|vm| async move {
            let bytes = connections.get(vm.address, "/v1/load").await?;
            let report = serde_json::from_slice::<LoadReport>(&bytes).ok()?;
            Some((vm.vm.clone(), report))
        });
        let answers = futures::future::join_all(asks).await;
        let mut loaded = self.loaded.write().expect("load lock");
        loaded.retain(|name, _| list.iter().any(|vm| vm.vm == *name));
        for (name, report) in answers.into_iter().flatten() {
            take(&name, &report);
            loaded.insert(name, report.versions);
        }
    }
}
