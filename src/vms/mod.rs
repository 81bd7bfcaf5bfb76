//! The platform's list of VMs, which may be out of date.

mod leaving_marks;
mod snapshot;
mod source;
mod vm;
mod vm_index;
mod vm_list;

pub use leaving_marks::LeavingMarks;
pub use snapshot::VmSnapshot;
pub use source::{VmListError, VmReading, VmSource};
pub use vm::{Vm, VmState};
pub use vm_index::VmIndex;
pub use vm_list::VmList;
