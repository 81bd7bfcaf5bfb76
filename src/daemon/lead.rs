//! What the control group's leader does for routers: leases and the wait for `in force`.

use super::Node;
use crate::control::{LeaseTable, Router};
use crate::group::since_start;
use crate::name::VmName;
use crate::peer::{LeaseAnswer, LeaseAsk};
use std::time::{Duration, Instant};

/// How often a wait for `in force` looks again.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The lease table of one term.
#[derive(Debug)]
pub struct LeaderLeases {
    term: u64,
    table: LeaseTable,
}

impl Node {
    /// Answers a router, at once where it lacks the newest configuration, else when a newer one
    /// comes or it is time to renew.
    pub async fn grant(&self, ask: LeaseAsk) -> LeaseAnswer {
        self.journal.observe(ask.stamp);
        self.note_ack(&ask);
        self.take_report(&ask);
        self.await_newer(ask.revision).await;
        // The lease is noted before the configuration is read: a wait for `in force` that did not
        // see this lease was answered before, so its revision is in what is read now. Whether this
        // daemon still leads is asked last: the configuration was current then.
        let noted = self.note_ack(&ask);
        let config = self.control(|state| state.config().clone());
        if !noted || !self.cluster.control().may_serve() {
            return LeaseAnswer::NotLeader { leader: self.leader() };
        }
        let config =
            Some(config).filter(|config| config.revision > ask.revision || config.revision == 0);
        let (counted, learned) = self.take_report(&ask);
        LeaseAnswer::Granted { config, stamp: self.journal.stamp(), counted, learned }
    }

    /// Notes the router's revision and its lease; false where this daemon may not grant any.
    fn note_ack(&self, ask: &LeaseAsk) -> bool {
        self.with_leases(|table, now| table.grant(now, ask.router.clone(), ask.revision)).is_some()
    }

    async fn await_newer(&self, revision: u64) {
        let mut applied = self.cluster.control().applied();
        let until = Instant::now() + self.settings.renew;
        while self.control(|state| state.config().revision) <= revision {
            let changed = tokio::time::timeout_at(until.into(), applied.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return;
            }
        }
    }

    /// Waits until a revision is in force everywhere; gives up after `wait`.
    pub async fn await_in_force(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Option<(bool, Vec<VmName>)> {
        let until = Instant::now() + wait;
        loop {
            let seen = self.with_leases(|table, now| {
                table.prune(now);
                let lagging = table.lagging(now, revision).map(|r| r.vm.clone()).collect();
                (table.in_force(now, revision), lagging)
            });
            let (reached, lagging) = seen?;
            if reached || Instant::now() >= until {
                return Some((reached, lagging));
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Whether a revision is in force everywhere; false where this daemon does not lead.
    pub fn is_in_force(&self, revision: u64) -> bool {
        self.with_leases(|table, now| table.in_force(now, revision)).unwrap_or(false)
    }

    /// Routers with a live lease. The outer `None` says that this daemon does not lead, the inner
    /// one that leases of a predecessor may still be alive.
    pub fn live_routers(&self) -> Option<Option<Vec<Router>>> {
        self.with_leases(|table, now| {
            let live = || table.live(now).map(|(router, _)| router.clone()).collect();
            table.is_settled(now).then(live)
        })
    }

    /// Works on the lease table of the current term; `None` where this daemon does not lead.
    fn with_leases<F, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce(&mut LeaseTable, Duration) -> T,
    {
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve() {
            return None;
        }
        let mut leases = self.leases.lock().expect("lease table lock");
        if leases.as_ref().is_none_or(|leases| leases.term < status.term) {
            let table = LeaseTable::open(self.settings.lease, status.since);
            *leases = Some(LeaderLeases { term: status.term, table });
        }
        let leases = leases.as_mut().filter(|leases| leases.term == status.term)?;
        let done = work(&mut leases.table, since_start());
        control.may_serve().then_some(done)
    }
}
