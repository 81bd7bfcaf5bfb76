use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A router in one run of its process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Router {
    /// Its VM.
    pub vm: VmName,
    /// Random, made at process start.
    pub run: u64,
}

/// What the leader knows of one router's lease.
#[derive(Debug, Clone, Copy)]
struct Grant {
    /// When the lease surely has run out, on the leader's clock.
    expires: Duration,
    /// The revision that the router has said it works under.
    acked: u64,
}

/// Router leases as one leader granted them. Never replicated: a new leader starts empty and waits
/// out one period instead.
#[derive(Debug)]
pub struct LeaseTable {
    period: Duration,
    since: Duration,
    grants: BTreeMap<Router, Grant>,
}

impl LeaseTable {
    /// Starts the table of a leader elected at `since`.
    pub fn open(period: Duration, since: Duration) -> Self {
        Self { period, since, grants: BTreeMap::new() }
    }

    /// Notes that a router works under `acked` and is being answered at `now`.
    pub fn grant(&mut self, now: Duration, router: Router, acked: u64) {
        let expires = now + self.period;
        let grant = self.grants.entry(router).or_insert(Grant { expires, acked });
        grant.expires = grant.expires.max(expires);
        grant.acked = grant.acked.max(acked);
    }

    /// Whether every router that may work at all works under `revision` or a later one.
    ///
    /// ```
    /// use samphireshift::control::{LeaseTable, Router};
    /// use samphireshift::name::VmName;
    /// use std::time::Duration;
    /// let at = Duration::from_millis;
    /// let mut table = LeaseTable::open(at(100), at(0));
    /// table.grant(at(150), Router { vm: VmName::new("a"), run: 1 }, 4);
    /// assert!(table.in_force(at(160), 4));
    /// assert!(!table.in_force(at(160), 5));
    /// assert!(table.in_force(at(251), 5));
    /// ```
    pub fn in_force(&self, now: Duration, revision: u64) -> bool {
        self.is_settled(now) && self.lagging(now, revision).next().is_none()
    }

    /// Whether every lease that a predecessor granted has run out.
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.since + self.period
    }

    /// Routers that may still work under an older revision.
    pub fn lagging(&self, now: Duration, revision: u64) -> impl Iterator<Item = &Router> {
        let late = move |grant: &Grant| grant.acked < revision && now <= grant.expires;
        self.grants.iter().filter(move |(_, grant)| late(grant)).map(|(router, _)| router)
    }

    /// Routers with a live lease and the revision that each works under.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&Router, u64)> {
        let alive = move |grant: &Grant| now <= grant.expires;
        self.grants.iter().filter(move |(_, g)| alive(g)).map(|(router, g)| (router, g.acked))
    }

    /// Forgets leases that have run out.
    pub fn prune(&mut self, now: Duration) {
        self.grants.retain(|_, grant| now <= grant.expires);
    }
}
