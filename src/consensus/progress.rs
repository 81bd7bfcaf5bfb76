use super::Snapshot;
use std::time::Duration;

/// What a leader knows of one other member.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// The next entry to send.
    pub next: u64,
    /// The last entry known to be synced there.
    pub matched: u64,
    /// The newest time of sending that the member has answered.
    pub acked: Option<Duration>,
    /// When something was last sent.
    pub sent: Duration,
    /// The snapshot that is being sent.
    pub installing: Option<Installing>,
}

/// A snapshot on its way to a member, one part at a time.
#[derive(Debug, Clone)]
pub struct Installing {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Where the part in flight starts, in bytes.
    pub offset: u64,
    /// When that part was sent; `None` once it is answered.
    pub at: Option<Duration>,
}
