use crate::name::{DataCentre, PoolName, VersionName, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service; may be sent requests.
    Live,
    /// Shutting down; gets no new requests.
    Leaving,
}

/// An entry of the platform's VM list: a VM that runs a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    #[serde(rename = "vm")]
    pub name: VmName,
    /// Address that its backend server listens on.
    pub address: SocketAddr,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentre,
    /// Pool that its backend server belongs to.
    pub pool: PoolName,
    /// Whether the VM may be sent requests.
    pub state: VmState,
    /// Version of the pool's software that the VM runs, if the platform reports it.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Requests that the backend server processes at the same time; 0 if the platform does not
    /// report it.
    #[serde(default)]
    pub slots: u32,
}
