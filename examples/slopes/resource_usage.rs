//! CPU time, memory and peer traffic of a daemon's process.

use crate::env::Fleet;
use serde_json::Value;

/// Unit of CPU times in `/proc`, fixed on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;

/// Resources that one daemon has used since it started.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResourceUsage {
    /// CPU time in user and kernel mode, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory at the time of the measurement, in MiB.
    pub memory_mib: f64,
    /// Bytes sent to and received from other daemons.
    pub peer_bytes: f64,
}

impl ResourceUsage {
    /// Measures the daemon with index `i`; values that can't be read count as 0.
    pub async fn measure(fleet: &Fleet, i: usize) -> Self {
        let pid = fleet.daemons[i].process.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number =
            |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let memory_mib = number(21) * PAGE_KIB / 1_024.0;
        let metrics = fleet.operate(i, "GET", "/metrics", &Value::Null).await.text();
        let counters = metrics.lines().filter(|line| line.starts_with("samphireshift_peer_bytes{"));
        let peer_bytes =
            counters.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum();
        Self {
            cpu_seconds: (number(11) + number(12)) / CLOCK_TICKS_PER_SECOND,
            memory_mib,
            peer_bytes,
        }
    }

    /// Measures all daemons of the fleet, in order.
    pub async fn measure_all(fleet: &Fleet) -> Vec<Self> {
        let mut usages = Vec::new();
        for i in 0..fleet.daemons.len() {
            usages.push(Self::measure(fleet, i).await);
        }
        usages
    }

    /// CPU time and traffic since an earlier measurement; memory keeps its current value.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            cpu_seconds: self.cpu_seconds - earlier.cpu_seconds,
            peer_bytes: self.peer_bytes - earlier.peer_bytes,
            ..*self
        }
    }
}
