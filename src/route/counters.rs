use crate::name::VmName;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// The shards of the per-server counts, each under its own lock.
const SHARDS: usize = 16;

/// Requests under way: in all, and at each backend server.
#[derive(Debug)]
pub struct Counters {
    requests: AtomicU64,
    shards: Vec<Mutex<HashMap<VmName, u64>>>,
}

/// A request that is counted until this is dropped.
#[derive(Debug)]
pub struct Counted(Arc<Counters>);

/// A call to a server that is counted until this is dropped.
#[derive(Debug)]
pub struct CountedCall {
    counters: Arc<Counters>,
    vm: VmName,
}

impl Counters {
    /// Starts at zero.
    pub fn open() -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { requests: AtomicU64::new(0), shards })
    }

    /// Requests under way.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Calls under way at a server.
    pub fn calls(&self, vm: &VmName) -> u64 {
        self.shard(vm).lock().expect("counter lock").get(vm).copied().unwrap_or(0)
    }

    /// Counts a request.
    pub fn enter(self: &Arc<Self>) -> Counted {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Counted(self.clone())
    }

    /// Counts a call to a server.
    pub fn call(self: &Arc<Self>, vm: &VmName) -> CountedCall {
        *self.shard(vm).lock().expect("counter lock").entry(vm.clone()).or_default() += 1;
        CountedCall { counters: self.clone(), vm: vm.clone() }
    }

    fn shard(&self, vm: &VmName) -> &Mutex<HashMap<VmName, u64>> {
        let place = crc32c::crc32c(vm.as_str().as_bytes()) as usize;
        &self.shards[place % SHARDS]
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        let mut shard = self.counters.shard(&self.vm).lock().expect("counter lock");
        if let Some(count) = shard.get_mut(&self.vm) {
            *count -= 1;
            if *count == 0 {
                shard.remove(&self.vm);
            }
        }
    }
}
