use std::time::Duration;

/// Timeouts of a group. All voters of a group must use the same values, since the leader's lease
/// relies on them.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The minimum time without a message from the leader before a member starts an election; the
    /// actual time is random, up to twice as long. Voters reject other candidates for this time.
    pub election_timeout: Duration,
    /// How often a leader sends heartbeats to idle members.
    pub heartbeat_interval: Duration,
}

impl Timing {
    /// How long a leader's lease lasts, counted from the send time of the messages that a quorum
    /// answered.
    ///
    /// Nine tenths of the election timeout, which leaves a margin for clock drift.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout * 9 / 10
    }
}
