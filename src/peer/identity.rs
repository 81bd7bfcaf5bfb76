use crate::consensus::MemberId;
use crate::name::{DataCentre, VmName};
use crate::settings::Settings;
use crate::storage::StoredIdentity;
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
    /// Of a daemon that starts: the settings name it, its data folder tells the incarnation; without
    /// one it is a new member at every start.
    pub fn open(settings: &Settings, stored: Option<&StoredIdentity>) -> Self {
        Self {
            vm: settings.vm.clone(),
            member: MemberId(stored.map_or_else(rand::random, |identity| identity.incarnation)),
            run: rand::random(),
            data_centre: settings.data_centre.clone(),
            address: settings.peers,
            durable: stored.is_some(),
            cluster: stored.and_then(|identity| identity.cluster),
        }
    }

    /// Whether the two can belong to one cluster.
    pub fn may_join(&self, other: &PeerIdentity) -> bool {
        match (self.cluster, other.cluster) {
            (Some(ours), Some(theirs)) => ours == theirs,
            _ => true,
        }
    }
}
