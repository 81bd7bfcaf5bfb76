use super::Connections;
use crate::name::{VersionKey, VmName};
use crate::platform::{VmList, VmState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

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

impl LoadReport {
    /// Whether a version is loaded.
    pub fn has(&self, version: &VersionKey) -> bool {
        let wanted = version.to_string();
        self.versions.contains(&wanted)
    }
}

/// The newest report of each backend server, with the time when it was read.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: RwLock<HashMap<VmName, (LoadReport, Instant)>>,
}

impl LoadTable {
    /// Starts to read the reports of every VM in the list.
    pub fn spawn(vms: Arc<VmList>, connections: Arc<Connections>) -> Arc<Self> {
        let table = Arc::new(Self::default());
        let task = table.clone();
        tokio::spawn(async move {
            loop {
                task.poll(&vms, &connections).await;
                tokio::time::sleep(POLL_EVERY).await;
            }
        });
        table
    }

    /// The newest report of a server and its age.
    pub fn report(&self, vm: &VmName) -> Option<(LoadReport, Duration)> {
        let reports = self.reports.read().expect("load lock");
        reports.get(vm).map(|(report, at)| (report.clone(), at.elapsed()))
    }

    async fn poll(&self, vms: &VmList, connections: &Connections) {
        let list = vms.all();
        let live = list.iter().filter(|vm| vm.state == VmState::Live);
        let asks = live.map(|vm| async move {
            let bytes = connections.get(vm.address, "/v1/load").await?;
            let report = serde_json::from_slice::<LoadReport>(&bytes).ok()?;
            Some((vm.vm.clone(), (report, Instant::now())))
        });
        let answers = futures::future::join_all(asks).await;
        let mut reports = self.reports.write().expect("load lock");
        reports.retain(|name, _| list.iter().any(|vm| vm.vm == *name));
        reports.extend(answers.into_iter().flatten());
    }
}
