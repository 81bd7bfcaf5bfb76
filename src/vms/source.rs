use super::Vm;
use futures::future::BoxFuture;
use thiserror::Error;

/// Why the VM list could not be read.
#[derive(Debug, Error)]
#[error("the VM list cannot be read: {0}")]
pub struct ListError(pub String);

/// Where a fleet's VM list comes from, in the platform's own format.
pub trait VmSource: Send + Sync {
    /// Reads the whole list.
    fn fetch(&self) -> BoxFuture<'_, Result<Vec<Vm>, ListError>>;
}
