use super::{Vm, VmState};
use crate::name::VmName;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a mark lasts while the VM list still shows the VM as live. A VM that leaves is gone by
/// then.
const MARK_TTL: Duration = Duration::from_secs(60);

/// VMs that have said that they are leaving before the VM list shows it.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    /// When each VM was marked, on the caller's clock.
    marks: BTreeMap<VmName, Duration>,
}

impl LeavingMarks {
    /// Marks a VM. Returns whether it was not marked before.
    ///
    /// ```
    /// use samphireshift::name::VmName;
    /// use samphireshift::vms::LeavingMarks;
    /// use std::time::Duration;
    /// let mut marks = LeavingMarks::default();
    /// assert!(marks.add(&VmName::new("a"), Duration::ZERO));
    /// assert!(!marks.add(&VmName::new("a"), Duration::from_secs(1)));
    /// ```
    pub fn add(&mut self, vm: &VmName, now: Duration) -> bool {
        if self.marks.contains_key(vm) {
            return false;
        }
        self.marks.insert(vm.clone(), now);
        true
    }

    /// Shows the marked VMs as leaving in a list. A mark ends as soon as the list itself does not
    /// show the VM as live: if it does again later, the VM was started anew under its old name.
    pub fn apply(&mut self, vms: &mut [Vm], now: Duration) {
        let mut kept = BTreeMap::new();
        for vm in vms.iter_mut().filter(|vm| vm.state == VmState::Live) {
            let Some((name, marked)) = self.marks.remove_entry(&vm.name) else { continue };
            if now < marked + MARK_TTL {
                vm.state = VmState::Leaving;
                kept.insert(name, marked);
            }
        }
        self.marks = kept;
    }
}
