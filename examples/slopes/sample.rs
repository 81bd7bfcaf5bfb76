//! What a daemon's process has used so far.

use crate::env::Fleet;
use serde_json::Value;

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;

/// Use of one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in MiB.
    pub memory: f64,
    /// Bytes sent to and received from other daemons.
    pub bytes: f64,
}

impl Sample {
    /// Reads a daemon's use.
    pub async fn take(fleet: &Fleet, i: usize) -> Self {
        let id = fleet.daemons[i].process.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let memory = ticks(21) * PAGE_KIB / 1_024.0;
        let metrics = fleet.operate(i, "GET", "/metrics", &Value::Null).await.text();
        let counted = metrics.lines().filter(|line| line.starts_with("samphireshift_peer_bytes{"));
        let bytes = counted.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum();
        Self { cpu: (ticks(11) + ticks(12)) / TICKS_PER_SECOND, memory, bytes }
    }

    /// Reads all daemons' use.
    pub async fn all(fleet: &Fleet) -> Vec<Self> {
        let mut samples = Vec::new();
        for i in 0..fleet.daemons.len() {
            samples.push(Self::take(fleet, i).await);
        }
        samples
    }

    /// What was used since an earlier sample; memory stays as it is now.
    pub fn since(&self, earlier: &Self) -> Self {
        Self { cpu: self.cpu - earlier.cpu, bytes: self.bytes - earlier.bytes, ..*self }
    }
}
