//! The leader's parts of the connections that each server of one pool accepts: by need, for a
//! bounded time.

use crate::control::RouterId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The part of a server's connections that is given to the routers. The rest is for connections
/// that are counted at the server a little longer than here, for those that only test whether it
/// can be reached, for routers that start, and for shares that were rounded up.
pub(super) const SHARED_FRACTION: f64 = 0.9;
/// All floors together take this part of what is shared.
const FLOOR_FRACTION: f64 = 0.1;
/// How long a router may use its part without hearing of the leader.
pub const PART_TTL: Duration = Duration::from_secs(3);
/// How long after the first report the routers that are in touch with a new leader have reported to it.
const COUNT_TIME: Duration = Duration::from_secs(1);
/// How long a router that is not heard of counts with the connections that it had.
const ROUTER_TTL: Duration = Duration::from_secs(10);

/// What a router says of its connections to each server of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionUse {
    /// The part that the router goes by now.
    pub held: u32,
    /// The most connections that it has to one of the servers.
    pub open: u32,
    /// The most connections that it could use at one of the servers.
    pub need: u32,
}

/// The parts of all routers in the connections to each server of one pool, as one leader knows
/// them.
#[derive(Debug)]
pub struct ConnectionParts {
    /// When the leader was elected.
    started: Duration,
    /// When the first router reported to it.
    first_report: Duration,
    routers: BTreeMap<RouterId, RouterPart>,
}

#[derive(Debug)]
struct RouterPart {
    told: ConnectionUse,
    granted: u32,
    heard_at: Duration,
}

/// What all routers together may have to a server that accepts `cap` connections.
pub fn shared_connections(cap: u32) -> u32 {
    (f64::from(cap) * SHARED_FRACTION) as u32
}

/// What a router may have to a server that accepts `cap` connections while it has no part from a
/// leader: at least one.
///
/// ```
/// use samphireshift::policy::floor_part;
/// assert_eq!((floor_part(430, 3), floor_part(430, 83)), (12, 1));
/// ```
pub fn floor_part(cap: u32, routers: u32) -> u32 {
    let floors = f64::from(shared_connections(cap)) * FLOOR_FRACTION;
    ((floors / f64::from(routers.max(1))) as u32).max(1)
}

impl ConnectionParts {
    /// Knows no router yet; its leader has led since `started`, and got its first report at `first_report`.
    pub fn new(started: Duration, first_report: Duration) -> Self {
        Self { started, first_report, routers: BTreeMap::new() }
    }

    /// Takes in a router's report; returns its part, which it may use for [`PART_TTL`] from the
    /// time of the report. `fleet` is the number of routers, those that have not reported included.
    pub fn report(
        &mut self,
        now: Duration,
        router: &RouterId,
        told: ConnectionUse,
        (cap, fleet): (u32, u32),
    ) -> u32 {
        let [held, open, need] = [told.held, told.open, told.need].map(|count| count.min(cap));
        let told = ConnectionUse { held, open, need };
        self.routers.retain(|_, part| now < part.heard_at + ROUTER_TTL);
        self.routers.insert(router.clone(), RouterPart { told, granted: 0, heard_at: now });
        let fleet = fleet.max(self.routers.len() as u32);
        let (shared, floor) = (shared_connections(cap), floor_part(cap, fleet));
        // Those that do not report, as they know no parts or have just started, take equal ones.
        let silent = fleet - self.routers.len() as u32;
        let reserved: u32 = silent * (shared / fleet).max(1);
        let others = self.routers.iter().filter(|(id, _)| *id != router);
        let taken: u32 = others.map(|(_, part)| part.taken(now, floor)).sum();
        let target = self.target(router, shared.saturating_sub(reserved), floor);
        let most = match self.holds_back(now, silent) {
            true => told.held,
            false => shared.saturating_sub(reserved + taken),
        };
        let granted = target.min(most).max(floor);
        if let Some(part) = self.routers.get_mut(router) {
            part.granted = granted;
        }
        granted
    }

    /// Whether routers that have not reported may hold parts of an earlier leader, which end within the time of
    /// a part. Which routers there are is known once those in touch have reported.
    fn holds_back(&self, now: Duration, silent: u32) -> bool {
        now < self.started + PART_TTL && (silent > 0 || now < self.first_report + COUNT_TIME)
    }

    /// A router's max-min fair part by need; what nobody needs is divided equally.
    fn target(&self, router: &RouterId, shared: u32, floor: u32) -> u32 {
        let needs: Vec<u32> = self
            .routers
            .values()
            .map(|part| part.told.need.clamp(floor, shared.max(floor)))
            .collect();
        let Some(index) = self.routers.keys().position(|id| id == router) else { return floor };
        let count = needs.len() as u32;
        let sum: u32 = needs.iter().sum();
        if sum <= shared {
            let left = shared - sum;
            return needs[index] + left / count + u32::from((index as u32) < left % count);
        }
        let at = |level: u32| needs.iter().map(|need| (*need).min(level).max(floor)).sum::<u32>();
        let (mut level, mut above) = (floor, shared.max(floor) + 1);
        while above - level > 1 {
            let middle = level + (above - level) / 2;
            if at(middle) <= shared { level = middle } else { above = middle }
        }
        let left = shared.saturating_sub(at(level)) as usize;
        let is_needy = |need: &u32| *need > level;
        let rank = needs[..index].iter().filter(|need| is_needy(need)).count();
        needs[index].min(level).max(floor) + u32::from(is_needy(&needs[index]) && rank < left)
    }

    /// The connections to each server that routers which were heard of have or may open, as far as this
    /// leader knows.
    pub fn taken(&self, now: Duration, (cap, fleet): (u32, u32)) -> u32 {
        let floor = floor_part(cap, fleet);
        self.routers.values().map(|part| part.taken(now, floor)).sum()
    }
}

impl RouterPart {
    /// A smaller part counts once the router says that it goes by it: the answer may not have
    /// arrived.
    fn taken(&self, now: Duration, floor: u32) -> u32 {
        let lasts = now < self.heard_at + PART_TTL;
        let part = if lasts { self.told.held.max(self.granted) } else { floor };
        part.max(self.told.open)
    }
}
