use super::Vm;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The VM list as one daemon read it, distributed to all routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// Identifies the contents: the first 8 bytes of the SHA-256 hash of the serialised list.
    pub digest: u64,
    /// The VMs, sorted by name.
    pub vms: Vec<Vm>,
}

impl VmSnapshot {
    /// Creates a snapshot: sorts the list and computes its digest.
    pub fn new(mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let bytes = postcard::to_stdvec(&vms).expect("VM lists always serialise");
        let hash = Sha256::digest(&bytes);
        let digest = u64::from_le_bytes(hash[..8].try_into().expect("a hash is long enough"));
        Self { digest, vms }
    }
}
