use crate::consensus::MemberId;
use crate::name::{DataCentre, VmName};
use crate::settings::Settings;
use crate::storage::StoredIdentity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a daemon, sent in the handshake and in the response to every ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The daemon's member id in consensus groups. It stands for one incarnation of the VM.
    pub member: MemberId,
    /// Random id of the process, generated when it starts.
    pub run: u64,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The address on which the daemon accepts connections from peers.
    pub address: SocketAddr,
    /// Whether the daemon has a data folder.
    pub durable: bool,
    /// Id of the cluster, once the daemon belongs to one.
    pub cluster: Option<u128>,
}

impl PeerIdentity {
    /// Creates the identity of this daemon from its settings and the identity in its data folder.
    /// Without a data folder the daemon is a new member each time it starts.
    pub fn new(settings: &Settings, stored: Option<&StoredIdentity>) -> Self {
        Self {
            vm: settings.vm.clone(),
            member: MemberId(stored.map_or_else(rand::random, |identity| identity.incarnation)),
            run: rand::random(),
            data_centre: settings.data_centre.clone(),
            address: settings.peer_address,
            durable: stored.is_some(),
            cluster: stored.and_then(|identity| identity.cluster),
        }
    }

    /// Whether both daemons may belong to the same cluster: false only if both know their cluster
    /// and the ids differ.
    pub fn is_cluster_compatible(&self, other: &PeerIdentity) -> bool {
        match (self.cluster, other.cluster) {
            (Some(ours), Some(theirs)) => ours == theirs,
            _ => true,
        }
    }
}
