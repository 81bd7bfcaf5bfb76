//! Pattern: slow start. Servers that have just started take few requests; the routers keep to a
//! common rate by turns, which the leader lays out and nobody has to ask for.

use super::{Admission, OwnShare, TurnPlace, WarmingServers};
use crate::name::VmName;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The part of the rate that the turns of all routers make up where they lie at equal distances.
const PLACED_FRACTION: f64 = 1.0;
/// The same where turns fall at random, so that in some seconds there are many more than on average.
const RANDOM_FRACTION: f64 = 0.5;
/// How long a turn that nobody takes is kept: this time and that of so many requests, but not longer
/// than the last.
const KEPT_TIME: Duration = Duration::from_millis(300);
/// See [`KEPT_TIME`].
const KEPT_REQUESTS: f64 = 4.0;
/// See [`KEPT_TIME`].
const MAX_KEPT: Duration = Duration::from_secs(1);
/// How long what the leader told holds when no leader answers any more.
const TOLD_TTL: Duration = Duration::from_secs(60);

/// The servers that are warming up, and one router's turns to send to them.
#[derive(Debug)]
pub struct WarmUps {
    /// Different for each router.
    seed: u64,
    servers: BTreeMap<VmName, WarmUp>,
    /// When the leader last confirmed what it told.
    told_at: Duration,
}

#[derive(Debug)]
struct WarmUp {
    /// Requests a second from all routers together.
    rate: f64,
    since: Duration,
    /// Where this router's first turn lies, as a fraction of the time between two.
    phase: f64,
    /// The part of `rate` for one router.
    fraction: f64,
    share: OwnShare,
}

impl WarmUp {
    /// The time between two turns of this router.
    fn interval(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / (self.rate * self.fraction)).unwrap_or(Duration::MAX)
    }
}

impl WarmUps {
    /// Knows no servers; `seed` should differ from router to router.
    pub fn new(seed: u64) -> Self {
        Self { seed, servers: BTreeMap::new(), told_at: Duration::ZERO }
    }

    /// Notes that a leader answered, so that what it told before still holds.
    pub fn confirm(&mut self, now: Duration) {
        self.told_at = now;
    }

    /// Takes in which servers are warming up, and this router's place among `fleet` routers, if the
    /// leader knows it. Turns at servers that were warming up before go on.
    pub fn replace(
        &mut self,
        now: Duration,
        groups: &[WarmingServers],
        place: Option<TurnPlace>,
        fleet: u32,
    ) {
        let mut before = std::mem::take(&mut self.servers);
        for group in groups.iter().filter(|group| group.rate > 0.0) {
            for server in &group.servers {
                let known = before.remove(server);
                let new = || self.first_turn(now, server, group.rate, place, fleet);
                let known = known.filter(|known| known.rate == group.rate).unwrap_or_else(new);
                self.servers.insert(server.clone(), known);
            }
        }
    }

    fn first_turn(
        &self,
        now: Duration,
        server: &VmName,
        rate: f64,
        place: Option<TurnPlace>,
        fleet: u32,
    ) -> WarmUp {
        // The same shift in all routers, so that a router's turns at several servers fall apart.
        let (phase, fraction) = match place {
            Some(TurnPlace { index, count }) => {
                let place = f64::from(index) / f64::from(count);
                ((place + unit_hash(server)).fract(), PLACED_FRACTION / f64::from(count))
            }
            None => (unit_hash(&(self.seed, server)), RANDOM_FRACTION / f64::from(fleet)),
        };
        // Turns at random already fall together now and then.
        let of_requests = match place {
            Some(_) => Duration::try_from_secs_f64(KEPT_REQUESTS / rate).unwrap_or(MAX_KEPT),
            None => Duration::ZERO,
        };
        let share = OwnShare::kept_for(KEPT_TIME.saturating_add(of_requests).min(MAX_KEPT));
        WarmUp { rate, since: now, phase, fraction, share }
    }

    /// The number of servers that are warming up.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Whether a request may be sent to a server now.
    pub fn admission(&mut self, now: Duration, server: &VmName) -> Admission {
        if now > self.told_at + TOLD_TTL {
            return Admission::Free;
        }
        let Some(known) = self.servers.get_mut(server) else { return Admission::Free };
        let interval = known.interval();
        match known.share.is_due(now, known.since, interval, known.phase) {
            true => Admission::Ready,
            false => Admission::Dry,
        }
    }

    /// Takes the turn that has begun at a server.
    pub fn take(&mut self, server: &VmName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.share.take(known.interval());
        }
    }

    /// Requests a second that this router may send to a server; `None` if it is not warming up.
    pub fn rate(&self, server: &VmName) -> Option<f64> {
        self.servers.get(server).map(|known| known.rate * known.fraction)
    }

    /// Forgets servers that are no longer in the VM list.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.servers.retain(|server, _| is_listed(server));
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
