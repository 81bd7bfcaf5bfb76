use super::Vm;
use futures::future::BoxFuture;
use thiserror::Error;

/// Why the VM list could not be read.
#[derive(Debug, Error)]
#[error("the VM list cannot be read: {0}")]
pub struct VmListError(pub String);

/// A source of VM lists, such as a client of a platform's API that converts the platform's format.
pub trait VmSource: Send + Sync {
    /// Fetches the complete list.
    fn fetch(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>>;
}
