use super::Vm;
use crate::name::VmName;
use futures::future::BoxFuture;
use thiserror::Error;

/// Why the VM list could not be read.
#[derive(Debug, Error)]
#[error("the VM list cannot be read: {0}")]
pub struct VmListError(pub String);

/// What one reading of the platform's list tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VmReading {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Those whose backend servers have just started and take few requests yet.
    pub warming: Vec<VmName>,
}

/// A source of VM lists, such as a client of a platform's API that converts the platform's format.
pub trait VmSource: Send + Sync {
    /// Fetches the complete list.
    fn fetch(&self) -> BoxFuture<'_, Result<VmReading, VmListError>>;
}
