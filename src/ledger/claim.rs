use crate::control::RouterId;
use crate::name::RequestId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An answer kept so that a repeated request gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub media: String,
    /// The whole body.
    pub body: Bytes,
}

/// What is known of a claimed call's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The owner may be sending it.
    Running,
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It may have run; nobody will ever know from here.
    Unknown,
}

/// A call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that claimed it.
    pub request: RequestId,
    /// The router that may send it.
    pub owner: RouterId,
    /// The digest of the call, so that a key reused for another call is noticed.
    pub digest: [u8; 32],
    /// What is known of its outcome.
    pub state: ClaimState,
}
