use crate::backend::{CacheChange, CacheEvent, LoadReport, LoadSink};
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::VmName;
use crate::policy::{PrefixKeys, PrefixTable, ServerStats};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The shards of the table, each under its own lock.
const SHARDS: usize = 16;

/// What this router knows of each backend server.
pub struct Servers {
    shards: Vec<Mutex<HashMap<VmName, ServerStats>>>,
    prefixes: Mutex<PrefixTable>,
    newest: Mutex<HashMap<VmName, u64>>,
    journal: Arc<Journal>,
}

/// A call under way; it ends when this is dropped.
pub struct ServerCall {
    servers: Arc<Servers>,
    vm: VmName,
    begun: Duration,
}

impl Servers {
    /// Starts with nothing known.
    pub fn open(journal: Arc<Journal>) -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards, prefixes: Mutex::default(), newest: Mutex::default(), journal })
    }

    /// What is known of a server.
    pub fn stats(&self, vm: &VmName) -> ServerStats {
        self.shard(vm).lock().expect("server lock").get(vm).cloned().unwrap_or_default()
    }

    /// Begins a call.
    pub fn begin(self: &Arc<Self>, vm: &VmName) -> ServerCall {
        let begun = since_start();
        self.with(vm, |stats| stats.begun(begun));
        ServerCall { servers: self.clone(), vm: vm.clone(), begun }
    }

    /// Forgets servers that are no longer listed.
    pub fn keep_only<F>(&self, listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        for shard in &self.shards {
            shard.lock().expect("server lock").retain(|vm, stats| stats.own() > 0 || listed(vm));
        }
    }

    /// The share of a prompt that each server is believed to hold.
    pub fn shares(&self, keys: &PrefixKeys) -> Vec<(VmName, f64)> {
        if keys.is_empty() {
            return Vec::new();
        }
        self.prefixes.lock().expect("prefix lock").shares(since_start(), keys)
    }

    fn with<F, T>(&self, vm: &VmName, work: F) -> T
    where
        F: FnOnce(&mut ServerStats) -> T,
    {
        work(self.shard(vm).lock().expect("server lock").entry(vm.clone()).or_default())
    }

    fn shard(&self, vm: &VmName) -> &Mutex<HashMap<VmName, ServerStats>> {
        let place = crc32c::crc32c(vm.as_str().as_bytes()) as usize;
        &self.shards[place % SHARDS]
    }
}

impl LoadSink for Servers {
    fn report(&self, vm: &VmName, report: &LoadReport) {
        let now = since_start();
        self.with(vm, |s| s.reported(now, report.running, report.waiting, report.slots));
    }

    fn newest_event(&self, vm: &VmName) -> u64 {
        self.newest.lock().expect("event lock").get(vm).copied().unwrap_or(0)
    }

    fn events(&self, vm: &VmName, events: &[CacheEvent]) {
        let (now, mut expected) = (since_start(), self.newest_event(vm) + 1);
        let mut prefixes = self.prefixes.lock().expect("prefix lock");
        for event in events {
            if event.number != expected {
                prefixes.missed(now, vm);
            }
            expected = event.number + 1;
            let keys = PrefixKeys::from_hashes(event.blocks.clone());
            match event.change {
                CacheChange::Stored => prefixes.held(now, &keys, vm),
                CacheChange::Dropped => prefixes.dropped(&keys, vm),
            }
        }
        drop(prefixes);
        self.newest.lock().expect("event lock").insert(vm.clone(), expected - 1);
    }
}

impl ServerCall {
    /// The first token came, or the whole answer of a plain service.
    pub fn answered(&self) {
        let now = since_start();
        if self.servers.with(&self.vm, |stats| stats.answered(now, self.begun)) {
            self.servers.journal.record(Event::ServerRestored { server: self.vm.clone() });
        }
    }

    /// The call failed for `reason`.
    pub fn failed(&self, reason: &str) {
        let now = since_start();
        if self.servers.with(&self.vm, |stats| stats.failed(now)) {
            let (server, reason) = (self.vm.clone(), reason.to_owned());
            self.servers.journal.record(Event::ServerEjected { server, reason });
        }
    }

    /// The server refused the call for overload.
    pub fn overloaded(&self) {
        let now = since_start();
        self.servers.with(&self.vm, |stats| stats.overloaded(now));
    }

    /// The server took the prompt and so holds it from now on.
    pub fn holds(&self, keys: &PrefixKeys) {
        if keys.is_empty() {
            return;
        }
        let now = since_start();
        self.servers.prefixes.lock().expect("prefix lock").held(now, keys, &self.vm);
    }
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        let now = since_start();
        self.servers.with(&self.vm, |stats| stats.ended(now, self.begun));
    }
}
