use crate::group::GroupId;
use crate::name::VmName;
use serde::{Deserialize, Serialize};

/// The health of a group as its leader sees it, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthView {
    /// The group.
    pub group: GroupId,
    /// The VM of its leader.
    pub leader: VmName,
    /// Number of voters.
    pub voters: u32,
    /// Number of voters that the group should have.
    pub wished_voters: u32,
    /// Number of voters that the leader hears from, itself included.
    pub live_voters: u32,
    /// Number of VMs that the leader sees and could add.
    pub spares: u32,
    /// Number of live voters that may be lost now before the group has no majority.
    pub losses_borne: u32,
    /// Number of voters that the group is to bear the loss of.
    pub losses_promised: u32,
    /// Voters that the leader does not hear from, and for how long, in milliseconds.
    pub silent_voters: Vec<(VmName, u64)>,
    /// What the leader does next about the members, or why nothing, in words.
    pub plan: String,
}

impl HealthView {
    /// Whether the group bears fewer losses than are promised.
    pub fn is_too_small(&self) -> bool {
        self.losses_borne < self.losses_promised
    }
}
