use crate::name::VmName;
use serde::{Deserialize, Serialize};

/// The identity stored in a data folder, created when the folder is first used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredIdentity {
    /// The VM that the folder belongs to.
    pub vm: VmName,
    /// Random and not zero. A VM that lost its disk gets a new one, and so is a new group member.
    pub incarnation: u64,
    /// Id of the cluster, once the VM belongs to one.
    pub cluster: Option<u128>,
}
