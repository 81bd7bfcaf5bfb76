use super::Vm;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The VM list as one daemon read it for all routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// Tells lists with other contents apart.
    pub digest: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

impl VmSnapshot {
    /// Takes a list in.
    pub fn of(mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        let bytes = postcard::to_stdvec(&vms).expect("VM lists always serialise");
        let hash = Sha256::digest(&bytes);
        let digest = u64::from_le_bytes(hash[..8].try_into().expect("a hash is long enough"));
        Self { digest, vms }
    }
}
