use std::time::Duration;

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The server has no limit and is warm.
    Free,
    /// There is a token for it, or this router's turn has begun.
    Ready,
    /// There is neither now.
    Dry,
}

/// A token, which permits one request until it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendToken {
    pub(super) expires_at: Duration,
    /// Where it comes from.
    pub source: TokenSource,
}

/// What permits a request to a server that takes few.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenSource {
    /// A token of the leader.
    Leader,
    /// The router's own part, without a leader.
    OwnPart,
    /// A turn at a server that warms up.
    WarmUp,
}
