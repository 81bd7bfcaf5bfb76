//! Admission control: each pool's overload gate, fed with what this router sees.

use super::accepted_call::{AttemptHistory, Call};
use super::server_selection::SelectedServer;
use super::{Gateway, GatewayError};
use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::{OfferedCall, OverloadGate, Overloaded, PoolLoad, ServerLoad};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The gates of all pools.
#[derive(Debug, Default)]
pub struct Rooms {
    gates: Mutex<HashMap<PoolName, OverloadGate>>,
}

impl Rooms {
    fn with_gate<F, T>(&self, pool: &PoolName, work: F) -> T
    where
        F: FnOnce(Duration, &mut OverloadGate) -> T,
    {
        let now = since_start();
        let mut gates = self.gates.lock().expect("gate lock");
        if !gates.contains_key(pool) {
            gates.insert(pool.clone(), OverloadGate::new(now));
        }
        work(now, gates.get_mut(pool).expect("the gate was just inserted"))
    }
}

impl Gateway {
    /// The load of a pool's servers that take calls; `None` if it is not known.
    fn pool_load(&self, pool: &PoolName) -> Option<PoolLoad> {
        let servers = self.servers.pool(pool);
        let taking = servers.iter().filter(|server| server.backoff_left().is_zero());
        let loads: Vec<ServerLoad> = taking.map(|server| server.load()).collect();
        PoolLoad::new(&loads)
    }
}

impl Call {
    /// Decides whether the call may go to its pool, before it is sent to a server for the first time.
    /// Calls that were already sent or that resume a stream, and calls that another router passed on, are
    /// admitted without a check.
    ///
    /// # Errors
    /// [`GatewayError::Overloaded`] if the call is refused; it has not run.
    pub(super) fn enter_pool(
        &self,
        history: &AttemptHistory,
        selected: &SelectedServer,
    ) -> Result<(), GatewayError> {
        let goes_on = history.sends > 0
            || !history.servers.is_empty()
            || self.head.last_event.is_some()
            || self.hop.is_some();
        if goes_on || !self.gateway.settings.admission {
            return Ok(());
        }
        let is_open = selected.server.load().is_open();
        // No router tells the leader yet, so a free place decides.
        let load = if is_open { None } else { self.gateway.pool_load(&self.pool) };
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let offered = OfferedCall {
            route: &self.route.name,
            organisation: self.organisation.as_ref(),
            rank: self.rank,
            is_open,
            by_rank: self.priority.is_some(),
            target: (self.started + self.route.latency_target).saturating_duration_since(now),
            left,
        };
        let routers = self.gateway.router_count.load(Ordering::Relaxed);
        let decision = self.gateway.rooms.with_gate(&self.pool, |now, gate| {
            gate.offer(now, load, &offered, rand::random(), routers)
        });
        decision.map_err(|refused| self.refuse_overloaded(&refused))
    }

    fn refuse_overloaded(&self, refused: &Overloaded) -> GatewayError {
        let cause = refused.cause.name();
        metrics::counter!("samphireshift_overload_refusals_total", "cause" => cause).increment(1);
        let pool = self.pool.to_string();
        metrics::gauge!("samphireshift_pool_wait_seconds", "pool" => pool.clone())
            .set(refused.expected.as_secs_f64());
        log::info!(
            "call {}: no room in pool {pool} for rank {} of {}: {refused}",
            self.log_id(),
            self.rank,
            self.organisation.as_ref().map_or("no organisation", |name| name.as_str()),
        );
        GatewayError::Overloaded { pool, wait: refused.wait }
    }

    /// Records how long after its attempt a response or its first event came, when `turns` were in
    /// line for each place at its server.
    pub(super) fn record_first(&self, time: Duration, turns: f64) {
        if self.gateway.settings.admission {
            let route = &self.route.name;
            let record = |_, gate: &mut OverloadGate| gate.record_first(route, time, turns);
            self.gateway.rooms.with_gate(&self.pool, record);
        }
    }

    /// Records how long after its attempt a whole answer had come.
    pub(super) fn record_whole(&self, time: Duration, turns: f64) {
        if self.gateway.settings.admission {
            let route = &self.route.name;
            let record = |now, gate: &mut OverloadGate| gate.record_whole(now, route, time, turns);
            self.gateway.rooms.with_gate(&self.pool, record);
        }
    }
}
