use crate::name::{DataCentre, PoolName, VersionName, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a VM may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to vanish.
    Leaving,
}

/// One VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmName,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The pool that it serves.
    pub pool: PoolName,
    /// Whether it may be given work.
    pub state: VmState,
    /// The version of the pool's software that it runs, where the platform tells.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Requests that it serves at a time; 0 where the platform does not tell.
    #[serde(default)]
    pub slots: u32,
}
