use crate::control::RouterId;
use crate::name::{RequestId, VersionKey};
use serde::{Deserialize, Serialize};

/// Whether a session's version may still change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinState {
    /// The version does not change any more.
    Final,
    /// The session's first request may still escalate to another version.
    Tentative {
        /// The router that serves the first request.
        owner: RouterId,
        /// The session's first request.
        request: RequestId,
    },
}

/// The binding of a session to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The version that serves the session.
    pub version: VersionKey,
    /// Whether the version may still change.
    pub state: PinState,
}

impl Pin {
    /// Whether this pin is tentative and `request` is the session's first request.
    pub fn is_pending_for(&self, request: RequestId) -> bool {
        matches!(&self.state, PinState::Tentative { request: first, .. } if *first == request)
    }
}
