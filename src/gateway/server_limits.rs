//! The rates of requests that servers have named to this router.

use super::NamedLimit;
use crate::name::VmName;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A limit is logged again only if it has changed by more than this fraction.
const LOGGED_CHANGE: f64 = 0.1;

/// The limits that servers name, in requests a second.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: Mutex<BTreeMap<VmName, f64>>,
}

impl ServerLimits {
    /// Records what a response says of its server's limit.
    pub fn hear(&self, server: &VmName, named: NamedLimit) {
        let mut limits = self.limits.lock().expect("limit lock");
        match named {
            NamedLimit::Unreadable => log::warn!("server {server} names a limit that is no rate"),
            NamedLimit::Absent => {
                if limits.remove(server).is_some() {
                    log::info!("server {server} names no limit any more");
                }
            }
            NamedLimit::PerSecond(limit) => {
                let before = limits.insert(server.clone(), limit);
                if before.is_none_or(|before| (limit - before).abs() > LOGGED_CHANGE * before) {
                    log::info!("server {server} names a limit of {limit} requests a second");
                }
            }
        }
    }

    /// Counts a request that is sent to a server with a limit.
    pub fn count_send(&self, server: &VmName) {
        if self.limits.lock().expect("limit lock").contains_key(server) {
            metrics::counter!("samphireshift_limited_sends_total").increment(1);
        }
    }
}
