use std::time::Duration;

/// The intervals of a group. All voters of a group must use the same values.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The shortest silence of a leader before an election; voters refuse others for as long.
    pub election: Duration,
    /// How often a leader sends to idle followers.
    pub heartbeat: Duration,
}

impl Timing {
    /// How long a leader may rely on a quorum's answer, counted from before it asked.
    ///
    /// Nine tenths of the election time, which leaves room for clocks that run at unlike speeds.
    pub fn lease(&self) -> Duration {
        self.election * 9 / 10
    }
}
