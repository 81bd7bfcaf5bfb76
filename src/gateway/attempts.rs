//! Attempts of a call at one server after another, until one responds.

use super::accepted_call::{AttemptHistory, Call};
use super::attempt_trail::StepOutcome;
use super::exchange::{Exchange, SendOutcome};
use super::server_selection::{SelectedServer, Selection};
use super::{Access, GatewayError};
use crate::name::VmName;
use crate::policy::{Helper, SENT_RANK};
use http::StatusCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The most servers tried for one call, besides those that could not be connected to.
const MAX_SERVERS_TRIED: usize = 8;
/// The most servers and routers tried for one call, besides servers that could not be connected to.
const MAX_TARGETS_TRIED: usize = 12;
/// Routers that may refuse a call that is passed on before the caller is told to come back.
const MAX_REFUSALS: u32 = 2;
/// The part of the route's target latency, from its arrival, that a call may wait for a limited server;
/// the rest is for the answer. A longer queue would only make all answers late.
const LIMIT_WAIT_FRACTION: f64 = 0.5;
/// The part of its remaining time that a call may wait for a limited server.
const LIMIT_LEFT_FRACTION: f64 = 0.5;
/// The rank in the queue of the most urgent call that has not been sent.
const FIRST_RANK: u8 = SENT_RANK + 1;

/// Where a call is sent.
#[derive(Debug)]
enum Target {
    Server(SelectedServer),
    Router(Helper),
}

impl Target {
    fn name(&self) -> &VmName {
        match self {
            Target::Server(selected) => &selected.server.vm.name,
            Target::Router(helper) => &helper.vm,
        }
    }
}

impl Call {
    /// Sends the call to one server after another until one responds. When a stream is resumed,
    /// `last_event` is the id of the last event that the caller has received.
    pub(super) async fn next_exchange(
        &self,
        history: &mut AttemptHistory,
        last_event: Option<u64>,
    ) -> Result<Box<Exchange>, GatewayError> {
        let session = self.head.session.as_deref();
        loop {
            if history.sends > 0 && !self.allows_retry(history) {
                return Err(self.final_error(history));
            }
            if let Some(delay) = history.take_repeat_delay() {
                tokio::time::sleep(delay).await;
            }
            if history.sends > 0 && self.may_end_servers(history) {
                return Err(self.final_error(history));
            }
            let target = self.next_target(history).await?;
            // This may have been found while the call was under way.
            if let Some(suspect) = self.gateway.parts.blocked(&self.suspects) {
                return Err(match &history.last_failure {
                    Some(cause) => GatewayError::ResponseLost(cause.clone()),
                    None => GatewayError::Blocked(suspect),
                });
            }
            let budget_taken = std::mem::take(&mut history.budget_taken);
            let is_retry = history.sends > 0;
            if is_retry && !budget_taken && !self.gateway.take_retry(&self.pool) {
                return Err(self.final_error(history));
            }
            let name = target.name().clone();
            history.servers.push(name.clone());
            let timeout = self.response_timeout(history);
            history.trail.begin(self.log_id(), &name);
            metrics::counter!("samphireshift_attempts_total").increment(1);
            let outcome = match target {
                Target::Server(selected) => {
                    let version = selected.server.vm.version.clone();
                    history.sends += 1;
                    let outcome = self.send(selected, last_event, timeout, &history.may_run).await;
                    if let (SendOutcome::Answered(_), Some(session)) = (&outcome, session) {
                        self.gateway.sessions.record(session, version);
                    }
                    if let SendOutcome::NotSent(_)
                    | SendOutcome::Unreached(_)
                    | SendOutcome::NoPath = outcome
                    {
                        history.sends -= 1;
                        // What was not sent is no repeat: the next attempt needs no budget of its own.
                        history.budget_taken = is_retry || budget_taken;
                    }
                    if let SendOutcome::Unreached(_) = outcome {
                        history.unreached += 1;
                    }
                    outcome
                }
                Target::Router(helper) => {
                    history.may_run.store(true, Ordering::SeqCst);
                    self.pass_on(&helper, history, last_event, timeout).await
                }
            };
            // A lost answer has a cause in the history.
            if !matches!(outcome, SendOutcome::Answered(_)) {
                history.may_run.store(false, Ordering::SeqCst);
            }
            history.trail.end(StepOutcome::of(&outcome));
            match outcome {
                SendOutcome::Answered(exchange) => {
                    let (status, attempt) = (exchange.response.status(), history.sends);
                    log::debug!(
                        "call {}: {name} responded with {status} on attempt {attempt}",
                        self.log_id(),
                    );
                    return Ok(exchange);
                }
                SendOutcome::NotSent(cause) => {
                    log::info!("call {}: could not send to {name}: {cause}", self.log_id());
                }
                SendOutcome::Unreached(cause) => {
                    log::info!("call {}: could not reach {name}: {cause}", self.log_id());
                }
                SendOutcome::NoPath => {
                    history.no_path = true;
                    log::info!(
                        "call {}: not sent to {name}, as no server of its pool can be reached",
                        self.log_id()
                    );
                }
                SendOutcome::Refused { status, wait } => {
                    history.refusals += 1;
                    history.servers.push(name.clone());
                    log::info!("call {}: router {name} refuses it: {status}", self.log_id());
                    if status.is_client_error() || history.refusals >= MAX_REFUSALS {
                        return Err(self.refusal(history, status, wait));
                    }
                }
                SendOutcome::NotRun(status) => {
                    log::info!("call {}: server {name} did not run it: {status}", self.log_id());
                }
                SendOutcome::Lost(cause) => {
                    log::info!(
                        "call {}: no valid response from {name} of pool {}: {cause}",
                        self.log_id(),
                        self.pool
                    );
                    history.record_loss(cause);
                }
            }
        }
    }

    /// Selects a server for the next attempt, or another router if no server can be reached.
    async fn next_target(&self, history: &AttemptHistory) -> Result<Target, GatewayError> {
        let path = self.gateway.paths.pool(&self.pool);
        if path.is_lost() || path.is_narrow() {
            if let Some(helper) = self.next_helper(history).await {
                return Ok(helper);
            }
            // A server that can be reached, or has come since then, is worth a try.
            if path.is_lost() && path.refuses_connections(&self.gateway) {
                return Err(match self.final_error(history) {
                    GatewayError::NoServer(pool) => GatewayError::NoPath(pool),
                    error => error,
                });
            }
        }
        match self.next_server(history).await {
            Ok(selected) => Ok(Target::Server(selected)),
            Err(error) if history.unreached == 0 && !history.no_path => Err(error),
            Err(error) => self.next_helper(history).await.ok_or(error),
        }
    }

    /// Selects another router for the next attempt. A call is passed on once only.
    async fn next_helper(&self, history: &AttemptHistory) -> Option<Target> {
        if self.hop.is_some() || history.targets_tried() >= MAX_TARGETS_TRIED {
            return None;
        }
        let usable = |helper: &Helper| {
            !history.servers.contains(&helper.vm) && self.may_be_served_in(&helper.data_centre)
        };
        self.gateway.helpers.pick(&self.gateway, usable).await.map(Target::Router)
    }

    /// The error for a call that other routers refuse. What they refuse they have not run.
    fn refusal(
        &self,
        history: &AttemptHistory,
        status: StatusCode,
        wait: Option<Duration>,
    ) -> GatewayError {
        match self.final_error(history) {
            GatewayError::NoServer(_) | GatewayError::ServersFull => {
                GatewayError::PassedOn { status, wait }
            }
            error => error,
        }
    }

    /// Selects the server for the next attempt. If servers would take the call but for their limits,
    /// waits until one may be sent the call; returns at once if that would be too late.
    async fn next_server(&self, history: &AttemptHistory) -> Result<SelectedServer, GatewayError> {
        loop {
            if history.targets_tried() >= MAX_SERVERS_TRIED {
                return Err(self.final_error(history));
            }
            let servers = match self.select_server(&history.servers) {
                Selection::Server(selected) => {
                    self.enter_pool(history, &selected)?;
                    return Ok(selected);
                }
                Selection::Limited(servers) => servers,
                Selection::Nothing => return Err(self.final_error(history)),
            };
            let (until, rank) = self.limit_wait(history);
            let token = tokio::select! {
                token = self.gateway.limits.wait(&servers, rank, until) => token,
                // What they were waited for, others may serve, or nobody.
                () = self.until_barred(&servers) => continue,
            };
            let Some(token) = token else {
                if rank == SENT_RANK {
                    log::info!(
                        "call {}: not tried again, as {} servers of pool {} that name limits take it \
                         too late",
                        self.log_id(),
                        servers.len(),
                        self.pool
                    );
                }
                return Err(self.limited_error(history, &servers));
            };
            let session_version = self.session_version();
            let criteria = self.criteria(session_version.as_ref(), &[]);
            if let Some(selected) = self.gateway.select_with_token(&criteria, token) {
                return Ok(selected);
            }
            // Without a lease no token can be used, and the next one would come at once.
            if !self.gateway.lease.is_valid() {
                return Err(self.final_error(history));
            }
        }
    }

    /// Completes when a newer configuration lets the call go to none of these servers.
    async fn until_barred(&self, servers: &[VmName]) {
        let mut installed = self.gateway.installed.subscribe();
        while self.is_any_in_use(servers) && installed.changed().await.is_ok() {}
    }

    /// Until when the call may wait for a limited server, and its rank among those that wait. A call
    /// that was sent before cannot be refused as one that has not run.
    fn limit_wait(&self, history: &AttemptHistory) -> (Instant, u8) {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let latest = now + left.mul_f64(LIMIT_LEFT_FRACTION);
        if history.sends > 0 {
            return (latest, SENT_RANK);
        }
        let in_time = self.started + self.route.latency_target.mul_f64(LIMIT_WAIT_FRACTION);
        (in_time.min(latest), FIRST_RANK + self.rank)
    }

    /// Checks the call against a configuration installed since it was accepted; returns the error
    /// if its route is gone or its key no longer valid.
    fn recheck_access(&self) -> Option<GatewayError> {
        let index = self.gateway.route_index()?;
        if index.config.revision == self.index.config.revision {
            return None;
        }
        let target = format!("{}{}", self.route.host, self.uri.path());
        match index.route(&self.route.host, self.uri.path()) {
            None => Some(GatewayError::NoRoute(target)),
            Some(route) => match index.authorize(route, self.key.as_ref()) {
                Access::Denied => Some(GatewayError::InvalidKey),
                // The key belongs to another organisation now.
                Access::Organisation(holder)
                    if self.organisation.as_ref() != Some(&holder.name) =>
                {
                    Some(GatewayError::InvalidKey)
                }
                Access::Anonymous | Access::Organisation(_) => None,
            },
        }
    }

    fn final_error(&self, history: &AttemptHistory) -> GatewayError {
        if history.sends == 0
            && let Some(error) = self.recheck_access()
        {
            return error;
        }
        match &history.last_failure {
            Some(cause) => GatewayError::ResponseLost(cause.clone()),
            // Without a lease nothing is written to any server.
            None if !self.gateway.lease.is_valid() => GatewayError::NoLease,
            None if let Some(obstacle) = self.obstacle() => {
                GatewayError::of_obstacle(obstacle, &self.pool)
            }
            None if history.sends > 0 => GatewayError::ServersFull,
            None => GatewayError::NoServer(self.pool.to_string()),
        }
    }

    /// The error for a call that these servers would take but for their limits.
    fn limited_error(&self, history: &AttemptHistory, servers: &[VmName]) -> GatewayError {
        match self.final_error(history) {
            GatewayError::NoServer(pool) => {
                let wait = self.gateway.limits.return_wait(
                    &self.pool,
                    servers,
                    FIRST_RANK + self.rank,
                    self.deadline.saturating_duration_since(Instant::now()),
                );
                GatewayError::ServersLimited { pool, wait }
            }
            error => error,
        }
    }
}
