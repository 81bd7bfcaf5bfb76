use crate::consensus::MemberId;
use crate::name::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who a daemon is, told at the handshake and with every ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Its VM.
    pub vm: VmName,
    /// Its incarnation as a member of groups.
    pub member: MemberId,
    /// Random, made at process start.
    pub run: u64,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it has a data folder.
    pub durable: bool,
    /// Its cluster, once known.
    pub cluster: Option<u128>,
}

impl PeerIdentity {
    /// Whether the two can belong to one cluster.
    pub fn may_join(&self, other: &PeerIdentity) -> bool {
        match (self.cluster, other.cluster) {
            (Some(ours), Some(theirs)) => ours == theirs,
            _ => true,
        }
    }
}
