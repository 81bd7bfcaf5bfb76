//! How many connections to one backend server a router may have, where the configuration names the most
//! that the server accepts from all routers together.

use super::FleetSize;
use super::connection_parts::{PART_TTL, SHARED_FRACTION, floor_part};
use crate::name::PoolName;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// The shares of one router.
#[derive(Debug, Clone)]
pub struct ConnectionShare {
    /// Decides which servers' shares this router rounds up.
    seed: u64,
    fleet: FleetSize,
    /// The parts that the leader gives, and until when.
    parts: HashMap<PoolName, (u32, Duration)>,
    /// When the report was made that the parts answer.
    asked_at: Duration,
    /// Whether the leader gives parts, so that a router without one goes by its floor.
    is_led: bool,
}

impl ConnectionShare {
    /// The shares of a router that knows of no other one; `seed` should differ from router to router.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            fleet: FleetSize::default(),
            parts: HashMap::new(),
            asked_at: Duration::ZERO,
            is_led: false,
        }
    }

    /// Sets the number of routers that the leader has told of.
    pub fn set_fleet(&mut self, now: Duration, routers: u32) {
        self.fleet.set(now, routers);
    }

    /// The largest number of routers that the leader has told of lately.
    pub fn fleet(&self) -> u32 {
        self.fleet.routers()
    }

    /// Sets whether the leader gives parts. Under one whose build knows none equal ones hold once the last
    /// part has ended.
    pub fn set_led(&mut self, is_led: bool) {
        self.is_led = is_led;
    }

    /// Whether the leader gives parts, or an earlier one did: the rooms' shares are kept up from then on.
    pub fn is_led(&self) -> bool {
        self.is_led || !self.parts.is_empty()
    }

    /// Sets the parts that the leader has given in answer to the report of `asked_at`, unless a later one
    /// was answered before.
    pub fn set_parts(&mut self, asked_at: Duration, parts: Vec<(PoolName, u32)>) {
        if asked_at < self.asked_at {
            return;
        }
        self.asked_at = asked_at;
        let until = asked_at + PART_TTL;
        self.is_led = true;
        self.parts = parts.into_iter().map(|(pool, part)| (pool, (part, until))).collect();
    }

    /// The connections that this router may have now to a server of a pool: its part, without one
    /// its floor, and the equal part of [`Self::of`] where the leader gives no parts.
    pub fn of_pool(&self, now: Duration, pool: &PoolName, server: SocketAddr, cap: u32) -> u32 {
        self.led_part(now, pool, cap).unwrap_or_else(|| self.of(server, cap))
    }

    /// What [`Self::of_pool`] is for each server of a pool; an equal part is rounded down.
    pub fn held(&self, now: Duration, pool: &PoolName, cap: u32) -> u32 {
        self.led_part(now, pool, cap).unwrap_or_else(|| (self.equal(cap) as u32).max(1))
    }

    /// The leader's part, or the floor while it gives none; `None` where equal parts hold.
    fn led_part(&self, now: Duration, pool: &PoolName, cap: u32) -> Option<u32> {
        match self.parts.get(pool).filter(|(_, until)| now < *until) {
            Some((part, _)) => Some((*part).min(cap)),
            None => self.is_led.then(|| floor_part(cap, self.fleet.routers())),
        }
    }

    fn equal(&self, cap: u32) -> f64 {
        f64::from(cap) * SHARED_FRACTION / f64::from(self.fleet.routers())
    }

    /// The connections that this router may have to a server which accepts `cap` of them: in use, idle
    /// and being opened. At least one. What an equal part leaves over is given to some of the routers,
    /// other ones for each server.
    ///
    /// ```
    /// use samphireshift::policy::ConnectionShare;
    /// use std::time::Duration;
    ///
    /// let mut share = ConnectionShare::new(7);
    /// share.set_fleet(Duration::ZERO, 100);
    /// assert_eq!(share.of("10.0.0.1:80".parse().unwrap(), 1_000), 9);
    /// ```
    pub fn of(&self, server: SocketAddr, cap: u32) -> u32 {
        let equal = self.equal(cap);
        let whole = equal.floor();
        let is_rounded_up = self.draw(server) < equal - whole;
        (whole as u32 + u32::from(is_rounded_up)).max(1)
    }

    /// A number from 0 to 1 that stays the same for a server.
    fn draw(&self, server: SocketAddr) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, server).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
