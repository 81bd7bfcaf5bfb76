use crate::name::VmName;
use serde::{Deserialize, Serialize};

/// Who a data folder belongs to, made once when the folder was empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: VmName,
    /// Random and not zero; a VM that lost its disk gets another.
    pub incarnation: u64,
    /// The cluster, once it is known.
    pub cluster: Option<u128>,
}
