//! The leader's part in keeping the limits that servers name: it hears of them from the routers, and
//! gives out the tokens that permit requests to these servers.

use super::Node;
use crate::control::RouterId;
use crate::group::since_start;
use crate::name::VmName;
use crate::peer::{ColdReport, ColdResponse, LimitReport, LimitResponse, WarmUpRateTable};
use crate::policy::{SharedLimits, WarmingServers, Witness};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The longest that the response to a report is delayed.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// The longest that a router is kept waiting for tokens before it may ask anew, for up to
/// `ROUTERS_PER_WAIT` routers; larger fleets ask less often.
const TOKEN_WAIT: Duration = Duration::from_millis(25);
/// See [`TOKEN_WAIT`].
const ROUTERS_PER_WAIT: u32 = 16;
/// The longest wait for tokens in a large fleet.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(300);
/// Interval at which tokens are given out while routers ask for them.
const GRANT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which limits that are over are forgotten.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits and tokens, of the newest term in which this daemon led the control group.
#[derive(Debug)]
pub struct LeaderLimits {
    inner: Mutex<TermLimits>,
    /// Changes with the version of the limits.
    changed: watch::Sender<u64>,
    /// Notified when a router asks for tokens.
    asked: Notify,
    /// The rates of servers that are cold.
    rates: Mutex<WarmUpRateTable>,
}

#[derive(Debug, Default)]
struct TermLimits {
    limits: SharedLimits,
    /// The limits as they were logged last.
    logged: BTreeMap<VmName, f64>,
    /// Wakes the response that waits for a router's tokens.
    waiting: BTreeMap<RouterId, Arc<Notify>>,
}

impl Default for LeaderLimits {
    fn default() -> Self {
        let (changed, asked) = (watch::Sender::new(0), Notify::new());
        Self { inner: Mutex::default(), changed, asked, rates: Mutex::default() }
    }
}

impl LeaderLimits {
    /// Runs `update` on the limits of a term, and tells of a new version.
    fn update<F, T>(&self, term: u64, update: F) -> T
    where
        F: FnOnce(&mut TermLimits) -> T,
    {
        let mut inner = self.inner.lock().expect("limits lock");
        if inner.limits.term() < term {
            *inner = TermLimits { limits: SharedLimits::new(term), ..TermLimits::default() };
        }
        let before = inner.limits.position();
        let result = update(&mut inner);
        if inner.limits.position() != before {
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }
}

impl TermLimits {
    fn log_changes(&mut self) {
        let named: BTreeMap<VmName, f64> =
            self.limits.named().map(|(server, limit)| (server.clone(), limit)).collect();
        for (server, limit) in
            named.iter().filter(|(server, limit)| self.logged.get(*server) != Some(*limit))
        {
            log::info!("server {server} takes {limit} requests a second from all routers together");
        }
        for server in self.logged.keys().filter(|server| !named.contains_key(*server)) {
            log::info!("server {server} is no longer limited");
        }
        self.logged = named;
    }

    fn distribute(&mut self, now: Duration) {
        for router in self.limits.distribute(now) {
            if let Some(waiting) = self.waiting.get(&router) {
                waiting.notify_one();
            }
        }
    }
}

impl Node {
    /// Tells the routers, as leader, which servers are warming up.
    pub fn set_warming(&self, warming: Vec<WarmingServers>) {
        let term = self.cluster.control().status().term;
        let count: usize = warming.iter().map(|group| group.servers.len()).sum();
        let is_news = self.limits.update(term, |inner| inner.limits.set_warming(warming));
        if is_news {
            log::info!("{count} servers are warming up");
            metrics::gauge!("samphireshift_warming_servers").set(count as f64);
        }
    }

    /// Sets the rates of servers that are cold, for routers that ask for them.
    pub fn set_warm_up_rates(&self, rates: WarmUpRateTable) {
        *self.limits.rates.lock().expect("rates lock") = rates;
    }

    /// Takes in which servers a router holds to be cold; all routers learn of it with their limits.
    pub fn share_cold(&self, report: &ColdReport) -> ColdResponse {
        if !self.cluster.control().may_serve_reads() {
            return ColdResponse::NotLeader { address: self.leader_address() };
        }
        let (now, term) = (since_start(), self.cluster.control().status().term);
        let (vm, data_centre) = (report.router.vm.clone(), report.data_centre.clone());
        let witness = Witness { vm, data_centre };
        let (is_news, place) = self.limits.update(term, |inner| {
            let is_news = inner.limits.presume_cold(now, &witness, &report.servers);
            (is_news, inner.limits.place(now, &report.router))
        });
        if is_news {
            let (router, count) = (&report.router.vm, report.servers.len());
            log::info!("router {router} tells of {count} servers that may be cold");
        }
        let rates = self.limits.rates.lock().expect("rates lock").clone();
        let is_newer = rates.number.is_some() && rates.number != report.rates_of;
        ColdResponse::Known { rates: is_newer.then_some(rates), place, time: common_time() }
    }

    /// Counts a router's report, and answers once there are tokens for it or something that it does
    /// not know, or after a while.
    pub async fn share_limits(&self, report: LimitReport) -> LimitResponse {
        let not_leader = LimitResponse::NotLeader { address: self.leader_address() };
        let term = self.cluster.control().status().term;
        let mut changed = self.limits.changed.subscribe();
        let wake = self.limits.update(term, |inner| {
            inner.limits.record(since_start(), &report.router, &report.demand);
            inner.waiting.entry(report.router.clone()).or_default().clone()
        });
        if !self.cluster.control().may_serve_reads() {
            return not_leader;
        }
        self.limits.update(term, |inner| inner.distribute(since_start()));
        self.limits.asked.notify_one();
        if report.wait {
            let deadline = Instant::now() + longest_wait(&report);
            let has_news =
                |inner: &mut TermLimits| inner.limits.has_news(&report.router, report.known);
            while !self.limits.update(term, has_news) {
                tokio::select! {
                    () = wake.notified() => {}
                    _ = changed.changed() => {}
                    () = tokio::time::sleep_until(deadline) => break,
                }
            }
        }
        if !self.cluster.control().may_serve_reads() {
            return not_leader;
        }
        let LimitReport { router, known, demand, .. } = &report;
        let answer =
            |inner: &mut TermLimits| inner.limits.answer(since_start(), router, *known, demand);
        LimitResponse::Known(self.limits.update(term, answer))
    }
}

/// The time of day when this was first asked for, and the steady time since: it makes no leap while the
/// process runs, and the next leader's is close to it.
fn common_time() -> Duration {
    static DAY_OFFSET: OnceLock<Duration> = OnceLock::new();
    let day = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let offset = *DAY_OFFSET.get_or_init(|| day().saturating_sub(since_start()));
    since_start().saturating_add(offset)
}

fn longest_wait(report: &LimitReport) -> Duration {
    if report.demand.asks.is_empty() {
        return MAX_WAIT;
    }
    let factor = (report.demand.fleet / ROUTERS_PER_WAIT).max(1);
    (TOKEN_WAIT * factor).min(MAX_TOKEN_WAIT)
}

/// Gives out tokens while this daemon leads the control group, forever.
pub async fn keep_server_limits(node: Arc<Node>) {
    let mut expired_at = Instant::now();
    loop {
        let has_asks = node.limits.inner.lock().expect("limits lock").limits.has_asks();
        match has_asks {
            true => tokio::time::sleep(GRANT_INTERVAL).await,
            false => {
                // A timeout only means that nothing was asked for.
                let _ = tokio::time::timeout(EXPIRE_INTERVAL, node.limits.asked.notified()).await;
            }
        }
        let control = node.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            tokio::time::sleep(GRANT_INTERVAL).await;
            continue;
        }
        node.limits.update(status.term, |inner| inner.distribute(since_start()));
        if expired_at.elapsed() >= EXPIRE_INTERVAL {
            expired_at = Instant::now();
            expire(&node, status.term);
        }
    }
}

fn expire(node: &Node, term: u64) {
    let list = node.pools.vm_list.borrow().clone();
    let listed: Option<HashSet<&VmName>> =
        list.as_ref().map(|list| list.vms.iter().map(|vm| &vm.name).collect());
    let is_listed = |server: &VmName| listed.as_ref().is_none_or(|listed| listed.contains(server));
    let count = node.limits.update(term, |inner| {
        inner.limits.expire(since_start(), is_listed);
        inner.log_changes();
        let TermLimits { limits, waiting, .. } = inner;
        waiting.retain(|router, _| limits.is_known(router));
        limits.count()
    });
    metrics::gauge!("samphireshift_limited_servers").set(count as f64);
}
