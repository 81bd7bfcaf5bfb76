//! How many connections a server takes from this router while it resets some below its configured cap.

use std::time::Duration;

/// After a reset, no connection beyond the proven ones is opened for this long.
const FULL_PAUSE: Duration = Duration::from_millis(500);
/// How long what was found out holds after the last reset.
const LEARNED_TTL: Duration = Duration::from_secs(10);
/// After the pause, one more connection is tried each time that this has passed.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// The connections that a server takes from this router while it accepts fewer than its cap, as its queue
/// is long.
#[derive(Debug, Default)]
pub struct RoomLimit {
    learned: Option<Learned>,
}

#[derive(Debug)]
struct Learned {
    /// Connections that the server has not reset.
    limit: u32,
    reset_at: Duration,
}

impl RoomLimit {
    /// The server has reset a new connection while the router had so many `others` on which it has answered.
    pub fn record_reset(&mut self, now: Duration, others: u32) {
        let known = self.learned(now).map_or(u32::MAX, |learned| learned.limit);
        let limit = known.min(others);
        self.learned = Some(Learned { limit, reset_at: now });
    }

    /// The server has answered on so many connections of the router, all of which it has now.
    pub fn record_accepted(&mut self, proven: u32) {
        if let Some(learned) = &mut self.learned {
            learned.limit = learned.limit.max(proven);
        }
    }

    /// The most connections that the router may have, at most its `share`. After the pause, calls that may
    /// be repeated probe beyond the learned limit; others get the learned limit, at least one.
    pub fn most_open(&self, now: Duration, share: u32, may_repeat: bool) -> u32 {
        let Some(learned) = self.learned(now) else { return share };
        let since = now.saturating_sub(learned.reset_at);
        if since < FULL_PAUSE {
            return share.min(learned.limit);
        }
        let growth = if may_repeat { 1 + since.as_secs() / GROWTH_INTERVAL.as_secs() } else { 0 };
        share.min(learned.limit.max(1).saturating_add(growth as u32))
    }

    /// Whether the server has reset a new connection lately.
    pub fn is_in_doubt(&self, now: Duration) -> bool {
        self.learned(now).is_some()
    }

    fn learned(&self, now: Duration) -> Option<&Learned> {
        self.learned.as_ref().filter(|learned| now < learned.reset_at + LEARNED_TTL)
    }
}
