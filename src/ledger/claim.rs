use crate::control::RouterId;
use crate::name::RequestId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An answer that is stored so that a retry with the same idempotency key gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The complete response body.
    pub body: Bytes,
}

/// The outcome of a claimed call, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The owner may be sending the call.
    Running,
    /// The call ran and returned this answer.
    Answered(StoredAnswer),
    /// The call may have run; its outcome cannot be determined.
    Unknown,
}

/// A router's exclusive right to send a call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that claimed the call.
    pub request: RequestId,
    /// The only router that may send the call.
    pub owner: RouterId,
    /// The digest of the call, to detect an idempotency key that is reused for another call.
    pub digest: [u8; 32],
    /// The outcome of the call, as far as it is known.
    pub state: ClaimState,
}
