use super::Snapshot;
use std::time::Duration;

/// A leader's replication state for one other member.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry known to be synced on the member.
    pub match_index: u64,
    /// Send time of the newest message that the member has answered; `None` before the first answer.
    /// Leases count from the send time, as the member handled the message later than that.
    pub last_contact: Option<Duration>,
    /// When a message was last sent to the member.
    pub last_sent: Duration,
    /// The snapshot being sent, if the member's next entry was compacted.
    pub outgoing: Option<OutgoingSnapshot>,
}

/// A snapshot being sent to a member, one chunk at a time.
#[derive(Debug, Clone)]
pub struct OutgoingSnapshot {
    /// The snapshot, kept until it is transferred even if the leader takes a newer one.
    pub snapshot: Snapshot,
    /// Offset in the snapshot's data of the chunk in flight or the next one to send, in bytes.
    pub offset: u64,
    /// When that chunk was sent; `None` if no chunk is in flight.
    pub sent_at: Option<Duration>,
}
