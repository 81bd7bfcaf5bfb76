//! The platform's lagging list of VMs.

mod listing;
mod snapshot;
mod source;
mod vm;
mod vm_list;

pub use listing::Listing;
pub use snapshot::VmSnapshot;
pub use source::{ListError, VmSource};
pub use vm::{Vm, VmState};
pub use vm_list::VmList;
