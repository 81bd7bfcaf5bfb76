use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies one run of a router process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouterId {
    /// The VM that the router runs on.
    pub vm: VmName,
    /// A random number, drawn when the process starts.
    pub run: u64,
}

/// The leader's view of one router's lease.
#[derive(Debug, Clone, Copy)]
struct Grant {
    /// When the last lease that was granted has certainly expired, on the leader's clock.
    expires: Duration,
    /// The revision that the router has acknowledged to apply.
    acknowledged: u64,
}

/// The router leases that one leader has granted. The table is not replicated: a new leader starts
/// with an empty one and waits for one lease period, after which every earlier lease has expired.
#[derive(Debug)]
pub struct LeaseTable {
    period: Duration,
    since: Duration,
    grants: BTreeMap<RouterId, Grant>,
}

impl LeaseTable {
    /// Creates the empty table of a leader that was elected at `since`, on its own clock.
    pub fn new(period: Duration, since: Duration) -> Self {
        Self { period, since, grants: BTreeMap::new() }
    }

    /// Records a lease granted at `now` to a router that applies the revision `acknowledged`.
    pub fn grant(&mut self, now: Duration, router: RouterId, acknowledged: u64) {
        let expires = now + self.period;
        let grant = self.grants.entry(router).or_insert(Grant { expires, acknowledged });
        grant.expires = grant.expires.max(expires);
        grant.acknowledged = grant.acknowledged.max(acknowledged);
    }

    /// Records that a router applies the revision `acknowledged`, without granting it a lease.
    pub fn acknowledge(&mut self, router: &RouterId, acknowledged: u64) {
        if let Some(grant) = self.grants.get_mut(router) {
            grant.acknowledged = grant.acknowledged.max(acknowledged);
        }
    }

    /// Whether every router that can hold a lease at `now` applies `revision` or a later one. At a
    /// later time than the present: whether that holds then, if no lease is granted for an older one.
    ///
    /// ```
    /// use samphireshift::control::{LeaseTable, RouterId};
    /// use samphireshift::name::VmName;
    /// use std::time::Duration;
    /// let at = Duration::from_millis;
    /// let mut table = LeaseTable::new(at(100), at(0));
    /// table.grant(at(150), RouterId { vm: VmName::new("a"), run: 1 }, 4);
    /// assert!(table.is_in_force(at(160), 4));
    /// assert!(!table.is_in_force(at(160), 5));
    /// assert!(table.is_in_force(at(251), 5));
    /// ```
    pub fn is_in_force(&self, now: Duration, revision: u64) -> bool {
        self.earlier_leases_expired(now) && self.lagging(now, revision).next().is_none()
    }

    /// Whether every lease granted by an earlier leader has expired.
    pub fn earlier_leases_expired(&self, now: Duration) -> bool {
        now >= self.since + self.period
    }

    /// Routers with a live lease that have not acknowledged `revision` yet.
    pub fn lagging(&self, now: Duration, revision: u64) -> impl Iterator<Item = &RouterId> {
        let late = move |grant: &Grant| grant.acknowledged < revision && now <= grant.expires;
        self.grants.iter().filter(move |(_, grant)| late(grant)).map(|(router, _)| router)
    }

    /// Routers with a live lease, each with the revision that it has acknowledged.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&RouterId, u64)> {
        let alive = move |grant: &Grant| now <= grant.expires;
        self.grants
            .iter()
            .filter(move |(_, g)| alive(g))
            .map(|(router, g)| (router, g.acknowledged))
    }

    /// Removes expired leases.
    pub fn prune(&mut self, now: Duration) {
        self.grants.retain(|_, grant| now <= grant.expires);
    }
}
