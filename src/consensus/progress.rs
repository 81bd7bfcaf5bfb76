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
    /// When a snapshot was sent that is not answered yet.
    pub installing: Option<Duration>,
}
