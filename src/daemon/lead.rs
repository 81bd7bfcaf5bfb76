//! What the control group's leader does for routers: leases and the wait for `in force`.

use super::Node;
use crate::control::{LeaseTable, RouterId};
use crate::group::since_start;
use crate::name::VmName;
use crate::peer::{LeaseAnswer, LeaseAsk, PoolNews};
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
        self.await_newer(&ask).await;
        // The lease is noted before the configuration is read: a wait for `in force` that did not
        // see this lease was answered before, so its revision is in what is read now. Whether this
        // daemon still leads is asked last: the configuration was current then.
        let noted = self.note_ack(&ask);
        let config = self.control(|state| state.config().clone());
        if !noted || !self.cluster.control().may_serve_reads() {
            return LeaseAnswer::NotLeader {
                leader: self.leader(),
                address: self.leader_address(),
            };
        }
        let config =
            Some(config).filter(|config| config.revision > ask.revision || config.revision == 0);
        let (counted, learned) = self.take_report(&ask);
        let news = self.news(&ask);
        LeaseAnswer::Granted { config, stamp: self.journal.stamp(), counted, learned, news }
    }

    /// Notes the router's revision and its lease; false where this daemon may not grant any.
    fn note_ack(&self, ask: &LeaseAsk) -> bool {
        self.with_leases(|table, now| table.grant(now, ask.router.clone(), ask.revision)).is_some()
    }

    /// Waits for a newer configuration or VM list, as long as the router's lease allows.
    async fn await_newer(&self, ask: &LeaseAsk) {
        let mut applied = self.cluster.control().applied();
        let mut listing = self.pools.listing.subscribe();
        let until = Instant::now() + self.settings.renew;
        while self.control(|state| state.config().revision) <= ask.revision
            && !self.pools.has_news(ask.pools.as_ref())
        {
            let changed = async {
                tokio::select! {
                    changed = applied.changed() => changed.is_ok(),
                    changed = listing.changed() => changed.is_ok(),
                }
            };
            if !matches!(tokio::time::timeout_at(until.into(), changed).await, Ok(true)) {
                return;
            }
        }
    }

    /// Takes a router's report on pools in and tells it what it lacks.
    fn news(&self, ask: &LeaseAsk) -> Option<PoolNews> {
        let report = ask.pools.as_ref()?;
        let term = self.cluster.control().status().term;
        self.pools.take(term, &ask.router, &report.tallies);
        let members = self.cluster.control().status().members;
        let voters = members.voters.iter().map(|member| member.address).collect();
        let live = self.with_leases(|table, now| table.live(now).count());
        let routers = live.unwrap_or_default() as u32;
        Some(PoolNews { listing: self.pools.unseen(report.listing), voters, routers })
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
                (table.is_in_force(now, revision), lagging)
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
        self.with_leases(|table, now| table.is_in_force(now, revision)).unwrap_or(false)
    }

    /// Routers with a live lease. The outer `None` says that this daemon does not lead, the inner
    /// one that leases of a predecessor may still be alive.
    pub fn live_routers(&self) -> Option<Option<Vec<RouterId>>> {
        self.with_leases(|table, now| {
            let live = || table.live(now).map(|(router, _)| router.clone()).collect();
            table.earlier_leases_expired(now).then(live)
        })
    }

    /// Works on the lease table of the current term; `None` where this daemon does not lead.
    fn with_leases<F, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce(&mut LeaseTable, Duration) -> T,
    {
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            return None;
        }
        let mut leases = self.leases.lock().expect("lease table lock");
        if leases.as_ref().is_none_or(|leases| leases.term < status.term) {
            let table = LeaseTable::new(self.settings.lease, status.leader_since);
            *leases = Some(LeaderLeases { term: status.term, table });
        }
        let leases = leases.as_mut().filter(|leases| leases.term == status.term)?;
        let done = work(&mut leases.table, since_start());
        control.may_serve_reads().then_some(done)
    }
}
