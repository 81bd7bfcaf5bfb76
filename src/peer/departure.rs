use crate::consensus::MemberId;
use crate::group::GroupId;
use serde::{Deserialize, Serialize};

/// A voter's word to the leader of a group that its process is to end, and its question whether the
/// group can do without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRequest {
    /// The group.
    pub group: GroupId,
    /// The voter.
    pub member: MemberId,
    /// The run of its process: the next one does not leave.
    pub run: u64,
}

/// The response to a [`DepartureRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureResponse {
    /// It is no voter any more, and that is committed.
    Replaced,
    /// Another VM is to take its place.
    Pending,
    /// No VM can take its place now.
    NoSuccessor,
    /// This daemon does not lead the group.
    NotLeader,
}
