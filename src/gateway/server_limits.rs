//! The limits that servers name: what this router has heard, its tokens, and the calls that wait for
//! one.

use super::NamedLimit;
use super::cold_news::{ColdCause, ColdNews};
use super::token_queue::{Grant, Place, TokenQueue, expected_wait};
use crate::group::since_start;
use crate::name::{PoolName, VmName};
use crate::policy::{
    Admission, ColdServer, LimitChange, LimitDemand, LimitKnowledge, LimitNews, LimitPosition,
    LocalLimits, ReturnSchedule, SendToken, TokenSource, TurnPlace, WarmUpBounds,
};
use crate::vms::Vm;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};

/// A limit is logged again only if it has changed by more than this fraction.
const LOGGED_CHANGE: f64 = 0.25;

/// The limits of servers, and the tokens that permit requests to them.
#[derive(Debug)]
pub struct ServerLimits {
    inner: Mutex<Inner>,
    /// Servers with a limit or warming up; without any, nothing has to be looked up.
    count: AtomicUsize,
    /// Notified when there is something to report to the leader.
    pub news: Notify,
    /// Servers that are held to be cold, and what the leader is to know of them.
    pub cold: ColdNews,
}

#[derive(Debug)]
struct Inner {
    local: LocalLimits,
    queue: TokenQueue,
    returns: HashMap<PoolName, ReturnSchedule>,
    /// The limits as they were logged last.
    logged: HashMap<VmName, f64>,
}

/// Whether a call may be sent to a server.
#[derive(Debug)]
pub enum SendPermit {
    /// The server has no limit and is warm.
    Free,
    /// One request may be sent.
    Token(LimitToken),
}

/// A token for one request. If it is dropped unspent, another call may use it.
#[derive(Debug)]
pub struct LimitToken {
    limits: Arc<ServerLimits>,
    server: VmName,
    token: SendToken,
    is_spent: bool,
}

/// A call's place in the queue; it leaves the queue when this is dropped.
struct QueuePlace<'a> {
    limits: &'a ServerLimits,
    place: Place,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.limits.lock().queue.remove(self.place);
    }
}

impl Drop for LimitToken {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = since_start();
            let mut inner = self.limits.lock();
            let inner = &mut *inner;
            inner.local.give_back(now, &self.server, self.token);
            inner.queue.hand_out(now, &mut inner.local);
        }
    }
}

impl SendPermit {
    /// Marks the permission as used.
    pub fn spend(&mut self) {
        if let Self::Token(token) = self {
            count_limited_send(match token.token.source {
                TokenSource::Leader => "leader",
                TokenSource::OwnPart => "own_part",
                TokenSource::WarmUp => "warm_up",
            });
            token.is_spent = true;
        }
    }

    /// The server that a request was sent to has named a limit. Counts the request if it was sent
    /// without a permission, as no limit was known.
    pub fn limit_named(&self) {
        if let Self::Free = self {
            count_limited_send("none");
        }
    }

    /// Takes it back that the permission was used, as nothing was sent.
    pub fn unspend(&mut self) {
        if let Self::Token(token) = self {
            token.is_spent = false;
        }
    }
}

/// Counts a request to a server that takes few, by what permitted it.
fn count_limited_send(permission: &'static str) {
    metrics::counter!("samphireshift_limited_sends_total", "permission" => permission).increment(1);
}

impl LimitToken {
    /// The server that the token is for.
    pub fn server(&self) -> &VmName {
        &self.server
    }

    fn is_valid(&self) -> bool {
        self.limits.lock().local.is_valid(since_start(), self.token)
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        let inner = Inner {
            local: LocalLimits::new(rand::random()),
            queue: TokenQueue::default(),
            returns: HashMap::new(),
            logged: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
            count: AtomicUsize::new(0),
            news: Notify::new(),
            cold: ColdNews::default(),
        }
    }
}

impl ServerLimits {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("limit lock")
    }

    fn update_count(&self, inner: &Inner) {
        let warm_ups = inner.local.warm_ups();
        let (limited, warming) = (inner.local.count(), warm_ups.count());
        let presumed = warm_ups.presumed_count();
        metrics::gauge!("samphireshift_presumed_cold_servers").set(presumed as f64);
        if self.count.swap(limited + warming, Ordering::Relaxed) != limited + warming {
            metrics::gauge!("samphireshift_limited_servers").set(limited as f64);
            metrics::gauge!("samphireshift_warming_servers").set(warming as f64);
        }
    }

    /// Whether any server has a limit or is warming up.
    pub fn is_any(&self) -> bool {
        self.count.load(Ordering::Relaxed) > 0
    }

    /// Records what a response to a call sent at `sent_at` says of its server's limit.
    pub fn hear(&self, server: &VmName, named: NamedLimit, sent_at: Instant) {
        let limit = match named {
            NamedLimit::Unreadable => {
                log::warn!(
                    "server {server} names a limit that is no rate; what it said before holds"
                );
                return;
            }
            NamedLimit::Unchanged => return,
            NamedLimit::Absent if !self.is_any() => return,
            NamedLimit::Absent => None,
            NamedLimit::PerSecond(limit) => Some(limit),
        };
        let now = since_start();
        let sent_at = now.saturating_sub(sent_at.elapsed());
        let mut inner = self.lock();
        let is_news = inner.local.hear(now, sent_at, server, limit);
        self.update_count(&inner);
        inner.log_changes();
        if is_news {
            self.news.notify_one();
        }
    }

    /// Sets what a cold server may get.
    pub fn set_bounds(&self, bounds: WarmUpBounds) {
        self.lock().local.warm_ups_mut().set_bounds(bounds);
    }

    /// Sets this router's place in the order of turns, if the leader knows it.
    pub fn set_place(&self, place: Option<TurnPlace>) {
        self.lock().local.warm_ups_mut().set_place(place);
    }

    /// Takes in the leader's time, by which turns are laid out, from the answer to what was asked at
    /// `asked_at`.
    pub fn hear_time(&self, asked_at: Duration, leader_time: Duration) {
        self.lock().local.warm_ups_mut().hear_time(since_start(), asked_at, leader_time);
    }

    /// Holds servers to be cold for a while. Those of pools without a rate take any number of calls.
    pub fn presume_cold<'a, I>(&self, servers: I, cause: ColdCause)
    where
        I: IntoIterator<Item = &'a Vm>,
    {
        if !self.cold.has_rates() {
            return;
        }
        let now = since_start();
        let (mut inner, mut count) = (self.lock(), 0);
        let warm_ups = inner.local.warm_ups_mut();
        warm_ups.set_day_offset(day_offset(now));
        for vm in servers {
            let Some(rate) = self.cold.rate(&vm.pool) else { continue };
            let (lasts, until_told) = (cause.lasts(), cause.ends_when_told());
            count += u32::from(warm_ups.presume(now, &vm.name, rate, lasts, until_told));
            if cause.is_reported() {
                let server = vm.name.clone();
                let sign = cause.sign();
                self.cold.report(now, ColdServer { server, rate, lasts, sign });
            }
        }
        self.update_count(&inner);
        drop(inner);
        if count > 0 {
            log::info!("{count} servers are held to be cold: {cause}");
            metrics::counter!("samphireshift_presumed_cold_total", "cause" => cause.label())
                .increment(count.into());
        }
    }

    /// Takes in that a server says, in the answer to a call sent at `sent_at`, that it is warm.
    pub fn hear_warm(&self, server: &VmName, sent_at: Instant) {
        if self.is_any() {
            let sent_at = since_start().saturating_sub(sent_at.elapsed());
            self.lock().local.warm_ups_mut().hear_warm(sent_at, server);
        }
    }

    /// Whether a call may be sent to a server now.
    pub fn admission(&self, server: &VmName) -> Admission {
        match self.is_any() {
            true => self.lock().local.admission(since_start(), server),
            false => Admission::Free,
        }
    }

    /// Permission to send a call to a server; `None` if there is no token for it now.
    pub fn reserve(self: &Arc<Self>, server: &VmName) -> Option<SendPermit> {
        if !self.is_any() {
            return Some(SendPermit::Free);
        }
        let now = since_start();
        let mut inner = self.lock();
        if inner.local.admission(now, server) == Admission::Free {
            return Some(SendPermit::Free);
        }
        let token = inner.local.take(now, server)?;
        Some(SendPermit::Token(self.token(server.clone(), token)))
    }

    /// Checks a permission just before the call is sent: since it was reserved, the server may have
    /// named a limit, or the token may have expired.
    pub fn renew(self: &Arc<Self>, server: &VmName, permit: SendPermit) -> Option<SendPermit> {
        match permit {
            SendPermit::Token(token) if token.is_valid() => Some(SendPermit::Token(token)),
            SendPermit::Token(_) | SendPermit::Free => self.reserve(server),
        }
    }

    /// Records that a call would have gone to a server, had there been a token.
    pub fn want(&self, server: &VmName) {
        if self.lock().local.want(since_start(), server) {
            self.news.notify_one();
        }
    }

    /// Waits for a token of any of these servers until `until`; returns at once if it is not expected
    /// to come in time.
    pub async fn wait(
        self: &Arc<Self>,
        servers: &[VmName],
        rank: u8,
        until: Instant,
    ) -> Option<LimitToken> {
        let (place, receiver) = self.enqueue(servers, rank, until)?;
        let _place = QueuePlace { limits: self, place };
        let (server, token) = tokio::time::timeout_at(until.into(), receiver).await.ok()?.ok()?;
        Some(self.token(server, token))
    }

    fn enqueue(
        &self,
        servers: &[VmName],
        rank: u8,
        until: Instant,
    ) -> Option<(Place, oneshot::Receiver<Grant>)> {
        let now = since_start();
        let until = now + until.saturating_duration_since(Instant::now());
        let mut inner = self.lock();
        let inner = &mut *inner;
        let ahead = inner.queue.count_ahead(rank, servers);
        if now.saturating_add(expected_wait(now, &inner.local, servers, rank, ahead)) > until {
            return None;
        }
        let queued = inner.queue.push(rank, servers, until);
        inner.queue.hand_out(now, &mut inner.local);
        inner.queue.give_up_late(now, &inner.local);
        self.news.notify_one();
        Some(queued)
    }

    /// How long a caller that cannot be served in time, and has `left` of it, should stay away.
    pub fn return_wait(
        &self,
        pool: &PoolName,
        servers: &[VmName],
        rank: u8,
        left: Duration,
    ) -> Duration {
        let now = since_start();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let ahead = inner.queue.count_ahead(rank, servers);
        let least = expected_wait(now, &inner.local, servers, rank, ahead + 1);
        let rate = servers.iter().map(|server| inner.local.expected_rate(now, server, rank)).sum();
        inner.returns.entry(pool.clone()).or_default().promise(now, rank, least, rate, left)
    }

    /// Hands tokens of this router's own to waiting calls, while there is no leader.
    pub fn hand_out(&self) {
        let now = since_start();
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.local.warm_ups_mut().expire(now);
        inner.queue.hand_out(now, &mut inner.local);
        inner.queue.give_up_late(now, &inner.local);
        self.update_count(inner);
    }

    /// The state of the limits that the leader told last.
    pub fn position(&self) -> LimitPosition {
        self.lock().local.position()
    }

    /// What is to be reported to the leader now.
    pub fn report(&self) -> LimitDemand {
        let now = since_start();
        let inner = self.lock();
        inner.local.report(now, inner.queue.asks(now))
    }

    /// Takes in the leader's answer to the report that was sent at `asked_at`.
    pub fn apply(&self, asked_at: Duration, news: &LimitNews) {
        let now = since_start();
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.local.warm_ups_mut().set_day_offset(day_offset(now));
        if inner.local.apply(now, asked_at, news) {
            self.news.notify_one();
        }
        inner.queue.hand_out(now, &mut inner.local);
        inner.queue.give_up_late(now, &inner.local);
        self.update_count(inner);
        inner.log_changes();
    }

    /// Sets the number of routers that share the limits.
    pub fn set_fleet(&self, routers: u32) {
        self.lock().local.set_fleet(since_start(), routers);
    }

    /// Forgets servers that are no longer in the VM list.
    pub fn retain<F>(&self, is_listed: F)
    where
        F: Fn(&VmName) -> bool,
    {
        let mut inner = self.lock();
        inner.local.retain(since_start(), &is_listed);
        inner.log_changes();
        inner.logged.retain(|server, _| is_listed(server));
        self.update_count(&inner);
    }

    fn token(self: &Arc<Self>, server: VmName, token: SendToken) -> LimitToken {
        LimitToken { limits: self.clone(), server, token, is_spent: false }
    }
}

/// How far this machine's time of day is ahead of `now`.
fn day_offset(now: Duration) -> Duration {
    let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    day.saturating_sub(now)
}

impl Inner {
    fn log_changes(&mut self) {
        for change in self.local.take_changes() {
            let LimitChange { server, state, .. } = &change;
            match state {
                LimitKnowledge::Named(limit) if self.is_logged(server, *limit) => continue,
                LimitKnowledge::Named(limit) => drop(self.logged.insert(server.clone(), *limit)),
                LimitKnowledge::Ended | LimitKnowledge::Forgotten => {
                    self.logged.remove(server);
                }
            }
            log::info!("{change}");
        }
    }

    /// Whether a limit was logged that differs little.
    fn is_logged(&self, server: &VmName, limit: f64) -> bool {
        let before = self.logged.get(server);
        before.is_some_and(|before| (limit - before).abs() <= LOGGED_CHANGE * before)
    }
}
