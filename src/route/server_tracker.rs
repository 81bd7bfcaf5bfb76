use crate::backend::{CacheChange, CacheEvent, LoadReport, LoadSink};
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::VmName;
use crate::policy::{PrefixKeys, PrefixTable, ServerStats};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of shards of the statistics; each has its own lock.
const SHARD_COUNT: usize = 16;

/// Tracks the backend servers: statistics of their calls, load reports and cached prefixes.
pub struct ServerTracker {
    shards: Vec<Mutex<HashMap<VmName, ServerStats>>>,
    prefixes: Mutex<PrefixTable>,
    last_events: Mutex<HashMap<VmName, u64>>,
    journal: Arc<Journal>,
}

/// A call in progress to a backend server; it counts as ended when dropped.
pub struct ServerCall {
    servers: Arc<ServerTracker>,
    vm: VmName,
    started: Duration,
}

impl ServerTracker {
    /// Creates a tracker without any servers; they are added on first use.
    pub fn new(journal: Arc<Journal>) -> Arc<Self> {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Arc::new(Self {
            shards,
            prefixes: Mutex::default(),
            last_events: Mutex::default(),
            journal,
        })
    }

    /// Returns a copy of a server's statistics, or the default ones for an unknown server.
    pub fn stats(&self, vm: &VmName) -> ServerStats {
        self.shard(vm).lock().expect("server lock").get(vm).cloned().unwrap_or_default()
    }

    /// Records the start of a call.
    pub fn begin_call(self: &Arc<Self>, vm: &VmName) -> ServerCall {
        let started = since_start();
        self.update(vm, |stats| stats.record_start(started));
        ServerCall { servers: self.clone(), vm: vm.clone(), started }
    }

    /// Removes the statistics of servers that are no longer listed and have no call in progress.
    pub fn retain<F>(&self, listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        for shard in &self.shards {
            shard
                .lock()
                .expect("server lock")
                .retain(|vm, stats| stats.own_calls() > 0 || listed(vm));
        }
    }

    /// Returns the servers that probably have a prefix of the prompt cached, with its share of the
    /// prompt.
    pub fn prefix_shares(&self, keys: &PrefixKeys) -> Vec<(VmName, f64)> {
        if keys.is_empty() {
            return Vec::new();
        }
        self.prefixes.lock().expect("prefix lock").cached_shares(since_start(), keys)
    }

    fn update<F, T>(&self, vm: &VmName, update: F) -> T
    where
        F: FnOnce(&mut ServerStats) -> T,
    {
        update(self.shard(vm).lock().expect("server lock").entry(vm.clone()).or_default())
    }

    fn shard(&self, vm: &VmName) -> &Mutex<HashMap<VmName, ServerStats>> {
        let hash = crc32c::crc32c(vm.as_str().as_bytes()) as usize;
        &self.shards[hash % SHARD_COUNT]
    }
}

impl LoadSink for ServerTracker {
    fn record_load(&self, vm: &VmName, report: &LoadReport) {
        let now = since_start();
        self.update(vm, |s| s.record_report(now, report.running, report.waiting, report.slots));
    }

    fn last_event(&self, vm: &VmName) -> u64 {
        self.last_events.lock().expect("event lock").get(vm).copied().unwrap_or(0)
    }

    fn record_cache_events(&self, vm: &VmName, events: &[CacheEvent]) {
        let (now, mut expected) = (since_start(), self.last_event(vm) + 1);
        let mut prefixes = self.prefixes.lock().expect("prefix lock");
        for event in events {
            if event.number != expected {
                prefixes.invalidate_server(now, vm);
            }
            expected = event.number + 1;
            let keys = PrefixKeys::from_hashes(event.blocks.clone());
            match event.change {
                CacheChange::Stored => prefixes.record_cached(now, &keys, vm),
                CacheChange::Dropped => prefixes.record_evicted(&keys, vm),
            }
        }
        drop(prefixes);
        self.last_events.lock().expect("event lock").insert(vm.clone(), expected - 1);
    }
}

impl ServerCall {
    /// Records that the server responded: with the head of a model's response, or with the whole
    /// answer of a service.
    pub fn record_response(&self) {
        let now = since_start();
        if self.servers.update(&self.vm, |stats| stats.record_first_token(now, self.started)) {
            self.servers.journal.record(Event::ServerRestored { server: self.vm.clone() });
        }
    }

    /// Records that the call failed for `reason`, which may eject the server.
    pub fn record_failure(&self, reason: &str) {
        let now = since_start();
        if self.servers.update(&self.vm, |stats| stats.record_failure(now)) {
            let (server, reason) = (self.vm.clone(), reason.to_owned());
            self.servers.journal.record(Event::ServerEjected { server, reason });
        }
    }

    /// Records that the server rejected the call because of overload.
    pub fn record_overload(&self) {
        let now = since_start();
        self.servers.update(&self.vm, |stats| stats.record_overload(now));
    }

    /// Records that the server has accepted the prompt and so has its prefix cached.
    pub fn record_prefix(&self, keys: &PrefixKeys) {
        if keys.is_empty() {
            return;
        }
        let now = since_start();
        self.servers.prefixes.lock().expect("prefix lock").record_cached(now, keys, &self.vm);
    }
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        let now = since_start();
        self.servers.update(&self.vm, |stats| stats.record_end(now, self.started));
    }
}
