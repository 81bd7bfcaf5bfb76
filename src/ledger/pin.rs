use crate::control::RouterId;
use crate::name::{RequestId, VersionKey};
use serde::{Deserialize, Serialize};

/// Whether a session's version may still change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinState {
    /// It never changes again.
    Final,
    /// The first turn may still escalate to another version.
    Tentative {
        /// The router that serves the first turn.
        owner: RouterId,
        /// The first turn.
        request: RequestId,
    },
}

/// The version that a session is bound to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The version.
    pub version: VersionKey,
    /// Whether it may still change.
    pub state: PinState,
}

impl Pin {
    /// Whether this pin is tentative and belongs to the first turn `request`.
    pub fn awaits(&self, request: RequestId) -> bool {
        matches!(&self.state, PinState::Tentative { request: first, .. } if *first == request)
    }
}
