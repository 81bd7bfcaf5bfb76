//! The leader's answers to lease renewals of routing-only daemons, with the state that they lack.

use super::Node;
use super::wait::wait_for_news;
use crate::control::Config;
use crate::distribution::{CHUNK_BYTES, Chunk, FIRST_CHUNK_BYTES};
use crate::peer::{ProtocolVersion, RenewRequest, RenewResponse};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Node {
    /// Renews a router's lease and sends the next part of the configuration and the VM list that it
    /// lacks. A router that has all of both gets its response when there is something new, or after
    /// its renewal interval. Builds that cannot read the present configuration get no lease.
    pub async fn renew(&self, request: RenewRequest, version: ProtocolVersion) -> RenewResponse {
        self.journal.observe(request.stamp);
        self.record_revision(&request.router, request.revision);
        self.helpers.record_router(&request.router);
        let term = self.cluster.control().status().term;
        self.pools.record_report(term, &request.router, &request.tallies);
        self.mark_leaving(&request);
        if request.wait {
            self.wait_for_news(&request).await;
        }
        let (recorded, config, chunk) = self.next_part(&request, version);
        // As in `grant_lease`, leadership is checked last.
        if !recorded || !self.cluster.control().may_serve_reads() {
            return RenewResponse::NotLeader { address: self.leader_address() };
        }
        let has_list = self.pools.vm_list.borrow().is_some();
        RenewResponse::Renewed {
            revision: config.revision,
            config: chunk,
            vms: self.publisher.read_vms(&request.vms).filter(|_| has_list),
            stamp: self.journal.timestamp(),
            voters: self.voter_addresses(),
            router_count: self.live_router_count(),
        }
    }

    /// The current configuration, and the part of it that the router gets now. A router that then has
    /// all of it gets a lease, which is recorded; false if this daemon may not grant leases.
    fn next_part(
        &self,
        request: &RenewRequest,
        version: ProtocolVersion,
    ) -> (bool, Arc<Config>, Option<Chunk>) {
        let limit = if request.revision == 0 { FIRST_CHUNK_BYTES } else { CHUNK_BYTES };
        loop {
            let config = self.publish_current();
            let read = self.publisher.read_config_for(version, &request.config, limit);
            let chunk = match read {
                Ok(chunk) => chunk,
                Err(needed) => {
                    self.log_refusal(&request.router, needed);
                    return (false, config, None);
                }
            };
            if chunk.as_ref().is_some_and(|chunk| !chunk.is_last()) {
                return (self.record_revision(&request.router, request.revision), config, chunk);
            }
            let recorded = self.record_grant(&request.router, request.revision);
            // Who waits for a later revision has seen the lease only if it was recorded before that.
            let is_newest = self.read_control(|state| state.config().revision) == config.revision;
            if is_newest {
                return (recorded, config, chunk);
            }
        }
    }

    /// Publishes the current configuration and returns it.
    fn publish_current(&self) -> Arc<Config> {
        let config = self.read_control(|state| state.config().clone());
        self.publisher.publish_config(&config);
        config
    }

    /// Waits for a newer configuration or VM list, at most for the renewal interval of leases.
    async fn wait_for_news(&self, request: &RenewRequest) {
        let mut applied = self.cluster.control().applied();
        let mut vm_list = self.pools.vm_list.subscribe();
        let limit = self.settings.renewal_interval;
        wait_for_news(&mut applied, &mut vm_list, limit, || self.has_news(request)).await;
    }

    fn has_news(&self, request: &RenewRequest) -> bool {
        let revision = self.read_control(|state| state.config().revision);
        let has_list = self.pools.vm_list.borrow().is_some();
        revision > request.revision || (has_list && self.publisher.vms_digest() != request.vms.base)
    }

    /// Takes the servers that a router has seen leaving off the VM list of all routers.
    fn mark_leaving(&self, request: &RenewRequest) {
        if !request.leaving.is_empty() && self.cluster.control().status().leading {
            self.pools.mark_leaving(&request.leaving, &request.router.vm);
            self.install_vm_list();
        }
    }

    /// Publishes the VM list as last fetched, without the servers that are known to be leaving and
    /// those of versions that may get no calls.
    pub(super) fn install_vm_list(&self) {
        let list = self.read_control(|state| {
            self.pools.current_list(|vm| state.allows_version(&vm.pool, vm.version.as_ref()))
        });
        if let Some(snapshot) = list {
            self.publisher.publish_vms(&snapshot.vms);
            self.pools.install(snapshot);
        }
    }
}

/// Publishes each configuration as soon as it is committed, on every voter: a new leader then has
/// the changes since the one that routers got from its predecessor.
pub async fn publish_changes(node: Arc<Node>) {
    let mut applied = node.cluster.control().applied();
    let mut versions = BTreeMap::new();
    while applied.changed().await.is_ok() {
        let decided = node.read_control(|state| state.pool_versions().clone());
        if decided != versions {
            versions = decided;
            node.install_vm_list();
        }
        let config = node.publish_current();
        let count = config.evacuated.len();
        metrics::gauge!("samphireshift_evacuated_data_centres").set(count as f64);
    }
}
