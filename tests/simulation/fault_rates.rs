//! How often faults are injected.

/// Probability of each fault in thousandths: per delivered message for `drop` and `duplicate`, per
/// step for the others. `crash` also applies, halved, before and after each sync.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    pub drop: u32,
    pub duplicate: u32,
    pub crash: u32,
    /// Loss of a disk; the node comes back as a new member.
    pub wipe: u32,
    /// Pause of a node, whose messages wait meanwhile.
    pub freeze: u32,
    /// Stall of a disk, whose writes wait meanwhile.
    pub stall: u32,
    /// Stall of all disks at once.
    pub stall_all: u32,
    /// Loss of all messages from and to a node for some time.
    pub isolate: u32,
    pub change: u32,
    pub compact: u32,
    pub transfer: u32,
    /// Whether faults start with the first voter rather than once there are three.
    pub from_bootstrap: bool,
}
