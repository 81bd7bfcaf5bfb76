use crate::control::RouterId;
use crate::distribution::{Chunk, Position};
use crate::event::Timestamp;
use crate::name::VmName;
use crate::policy::Tally;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A routing-only daemon's request to renew its lease and to read on in the configuration and the
/// VM list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The router that requests the lease.
    pub router: RouterId,
    /// The configuration revision that the router uses; 0 without one.
    pub revision: u64,
    /// How far the router has read the configuration.
    pub config: Position,
    /// How far the router has read the VM list.
    pub vms: Position,
    /// Whether the leader may delay the response until there is something new.
    pub wait: bool,
    /// The router's clock.
    pub stamp: Timestamp,
    /// Call counts for the pools with a running roll-out.
    pub tallies: Vec<Tally>,
    /// Backend servers that have lately told this router that they are leaving.
    pub leaving: Vec<VmName>,
}

/// The response to a [`RenewRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RenewResponse {
    /// The lease is granted for one lease duration, which starts when the router sent the request.
    /// The router may use it once it has the configuration of the given revision.
    Renewed {
        /// The current revision of the configuration.
        revision: u64,
        /// What follows in the configuration; `None` if the router has all of it.
        config: Option<Chunk>,
        /// What follows in the VM list; `None` if the router has all of it or there is no list.
        vms: Option<Chunk>,
        /// The leader's clock.
        stamp: Timestamp,
        /// Addresses on which the control group's voters accept connections from peers.
        voters: Vec<SocketAddr>,
        /// Number of routers with a live lease.
        router_count: u32,
    },
    /// This daemon does not lead the control group, or may not grant leases.
    NotLeader {
        /// The address on which the leader accepts connections from peers, if known.
        address: Option<SocketAddr>,
    },
}
