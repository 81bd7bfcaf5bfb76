//! The number of routers, as a router takes it for its part of what all of them share.

use std::collections::VecDeque;
use std::time::Duration;

/// How long the largest number of routers is remembered: a new leader counts them only bit by bit.
const FLEET_TTL: Duration = Duration::from_secs(10);

/// The largest number of routers that the leader has told of lately.
#[derive(Debug, Default, Clone)]
pub struct FleetSize {
    /// Numbers of routers, and when they were told.
    told: VecDeque<(Duration, u32)>,
}

impl FleetSize {
    /// Sets the number of routers that the leader has told of.
    pub fn set(&mut self, now: Duration, routers: u32) {
        self.told.retain(|(at, _)| now < *at + FLEET_TTL);
        self.told.retain(|(_, known)| *known > routers);
        self.told.push_back((now, routers.max(1)));
    }

    /// The number of routers; 1 before any was told.
    pub fn routers(&self) -> u32 {
        self.told.iter().map(|(_, routers)| *routers).max().unwrap_or(1)
    }
}
