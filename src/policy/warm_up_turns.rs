use super::{OwnShare, TurnPlace, WarmUpBounds};
use crate::name::VmName;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// How long a turn at a random moment is kept.
const RANDOM_KEPT: Duration = Duration::from_millis(300);

/// What the turns of a router depend on, besides the server.
#[derive(Debug, Clone, Copy)]
pub struct TurnOrder {
    /// Different for each router.
    pub seed: u64,
    /// The router's place among all, if it is known.
    pub place: Option<TurnPlace>,
    /// The number of routers that the router was told of.
    pub fleet: u32,
    /// How far the common time is ahead of the router's own time. All routers lay out their turns by the
    /// common time, so that they fall apart whenever each of them has heard of the server.
    pub time_offset: Duration,
    /// What a server may get.
    pub bounds: WarmUpBounds,
}

/// One router's turns to send to a server that takes few requests.
#[derive(Debug)]
pub struct WarmUpTurns {
    /// Requests a second from all routers together.
    rate: f64,
    is_placed: bool,
    since: Duration,
    /// Where this router's first turn lies, as a fraction of the time between two.
    phase: f64,
    /// The part of `rate` for one router.
    fraction: f64,
    share: OwnShare,
}

impl WarmUpTurns {
    /// Lays out turns from now on.
    pub fn new(now: Duration, server: &VmName, rate: f64, order: TurnOrder) -> Self {
        let TurnOrder { seed, place, fleet, time_offset, bounds } = order;
        let (shift, fraction) = match place {
            // The same shift in all routers, so that a router's turns at several servers fall apart.
            Some(TurnPlace { index, count }) => {
                let place = f64::from(index) / f64::from(count);
                let fraction = bounds.placed_fraction(rate) / f64::from(count);
                (place + unit_hash(server), fraction)
            }
            None => {
                let fraction = bounds.random_fraction(rate) / f64::from(fleet);
                (unit_hash(&(seed, server)), fraction)
            }
        };
        let phase = match place {
            Some(_) => {
                let turns = now.saturating_add(time_offset).as_secs_f64() * rate * fraction;
                (shift - turns).rem_euclid(1.0)
            }
            None => shift,
        };
        // Turns at random already fall together now and then.
        let kept = match place {
            Some(_) => bounds.kept(rate),
            None => bounds.kept(rate).min(RANDOM_KEPT),
        };
        let share = OwnShare::kept_for(kept);
        Self { rate, is_placed: place.is_some(), since: now, phase, fraction, share }
    }

    /// Whether these turns still fit a server with this rate, for a router that `has_place`.
    pub fn fits(&self, rate: f64, has_place: bool) -> bool {
        self.rate == rate && (self.is_placed || !has_place)
    }

    /// Whether a turn has begun.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let interval = self.interval();
        self.share.is_due(now, self.since, interval, self.phase)
    }

    /// Takes the turn that has begun.
    pub fn take(&mut self) {
        self.share.take(self.interval());
    }

    /// Requests a second of this router.
    pub fn rate(&self) -> f64 {
        self.rate * self.fraction
    }

    /// The time between two turns of this router.
    fn interval(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.rate()).unwrap_or(Duration::MAX)
    }
}

/// A hash as a number from 0 to 1, the same in every router.
fn unit_hash<T>(item: &T) -> f64
where
    T: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
