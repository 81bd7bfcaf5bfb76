//! The platform's lagging list of VMs.

mod listing;
mod vm;
mod vm_list;

pub use listing::Listing;
pub use vm::{Vm, VmState};
pub use vm_list::VmList;
