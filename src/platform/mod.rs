//! The platform's lagging list of VMs.

mod vm;
mod vm_list;

pub use vm::{Vm, VmState};
pub use vm_list::VmList;
