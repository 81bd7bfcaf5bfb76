use super::refusal::refuse;
use super::request::RequestMeta;
use super::version_selector::AttemptOutcome;
use super::{
    AdmissionPermit, Refusal, RefusalCode, Router, ServerCall, Unsent, WorkPermit, WorkTarget,
};
use crate::backend::{BackendBody, EngineCall, PooledConnection, REQUEST_ID_HEADER, SendError};
use crate::control::VersionState;
use crate::event::Event;
use crate::name::{OrganisationName, PoolName, VersionKey, VmName};
use crate::policy::PrefixKeys;
use crate::vms::Vm;
use http::{Response, StatusCode, header};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before servers that were already tried are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Upper limit for the `Retry-After` value of an engine that is passed on to callers.
const MAX_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// A successful response whose head has arrived; the body is still to be read.
pub(super) struct StartedResponse {
    pub response: Response<BackendBody>,
    pub server: VmName,
    pub call: ServerCall,
    pub connection: PooledConnection,
    /// Deadline for the first token.
    pub token_deadline: Instant,
}

/// State of the attempts of one request; all go to the same version.
pub(super) struct Attempts {
    pub organisation: OrganisationName,
    pub deadline: Instant,
    pub tried: Vec<VmName>,
    pub count: u32,
    pub prefix: PrefixKeys,
    pub cost: f64,
    pub permit: Option<AdmissionPermit>,
    /// Retry delay that the last overloaded server asked for.
    overload_delay: Option<Duration>,
}

impl Attempts {
    pub fn new(meta: &RequestMeta, prefix: PrefixKeys, cost: f64) -> Self {
        Self {
            organisation: meta.organisation.clone(),
            deadline: meta.deadline.into(),
            tried: Vec::new(),
            count: 0,
            prefix,
            cost,
            permit: None,
            overload_delay: None,
        }
    }

    /// Tries servers until one responds with a success status.
    ///
    /// `unsent` proves that no byte of an earlier attempt was sent. It becomes `None` with the
    /// first attempt that may have reached a server.
    pub async fn send(
        &mut self,
        router: &Router,
        call: &EngineCall,
        unsent: &mut Option<Unsent>,
    ) -> Result<StartedResponse, Refusal> {
        loop {
            let pool = self.check_version(router, &call.version, unsent.as_ref())?;
            if !self.may_attempt(router, unsent.is_some()) {
                return Err(self.attempts_exhausted(unsent.as_ref()));
            }
            self.acquire_permit(router, &pool, unsent.as_ref()).await?;
            let picked = self.pick_untried(router, &pool, &call.version).await;
            let Some(vm) = picked else { return Err(self.no_server_refusal(unsent.as_ref())) };
            self.count += 1;
            self.tried.push(vm.name.clone());
            let (request, server, attempt) = (call.request, vm.name.clone(), self.count);
            router.journal.record(Event::AttemptStarted { request, server, attempt });
            let active_call = router.servers.begin_call(&vm.name);
            let reason = match self.exchange(router, call, &vm, unsent).await {
                Ok(HeadReceived { response, connection, token_deadline }) => {
                    active_call.record_response();
                    active_call.record_prefix(&self.prefix);
                    let (server, call) = (vm.name.clone(), active_call);
                    return Ok(StartedResponse {
                        response,
                        server,
                        call,
                        connection,
                        token_deadline,
                    });
                }
                Err(AttemptError::Final(refusal)) => return Err(refusal),
                Err(AttemptError::Overloaded(reason, delay)) => {
                    active_call.record_overload();
                    self.overload_delay = Some(delay);
                    reason
                }
                Err(AttemptError::Retryable(reason)) => {
                    active_call.record_failure(&reason);
                    reason
                }
            };
            router.journal.record(Event::AttemptFailed {
                request,
                server: vm.name.clone(),
                reason,
            });
        }
    }

    /// Waits for a permit at the pool, unless this request already has one or was already sent.
    async fn acquire_permit(
        &mut self,
        router: &Router,
        pool: &PoolName,
        unsent: Option<&Unsent>,
    ) -> Result<(), Refusal> {
        if self.permit.is_some() {
            return Ok(());
        }
        let Some(unsent) = unsent else { return Ok(()) };
        let deadline = self.deadline.into_std();
        let acquired = router.acquire_permit(pool, &self.organisation, self.cost, deadline, unsent);
        self.permit = Some(acquired.await?);
        Ok(())
    }

    /// Whether another attempt may be made. It is charged to the retry budget if an earlier attempt
    /// may have reached a server.
    fn may_attempt(&self, router: &Router, unsent: bool) -> bool {
        if self.count >= MAX_ATTEMPTS || Instant::now() >= self.deadline {
            return false;
        }
        if self.count == 0 {
            router.budgets.record_first(&self.organisation);
            // The first attempt at the next version of a cascade is not a retry.
            return true;
        }
        unsent || router.budgets.try_spend(&self.organisation)
    }

    async fn exchange(
        &self,
        router: &Router,
        call: &EngineCall,
        vm: &Vm,
        unsent: &mut Option<Unsent>,
    ) -> Result<HeadReceived, AttemptError> {
        let retryable = |error: SendError| AttemptError::Retryable(error.to_string());
        // A pooled connection may be dead without the router noticing. The head of a buffered
        // answer only arrives when the whole answer is ready, so a dead connection would be
        // detected late. Retries use a fresh connection so that they cannot hit a dead one again.
        let fresh = !call.stream || self.count > 1;
        let mut connection =
            router.connections.acquire(vm.address, fresh).await.map_err(retryable)?;
        // Last check before the first byte is sent: the lease, the state of the version and the
        // server may have changed while the connection was opened.
        self.check_version(router, &call.version, unsent.as_ref()).map_err(AttemptError::Final)?;
        if !router.vms.is_live(&vm.name) {
            return Err(AttemptError::Retryable("the server is being removed".to_owned()));
        }
        let work = WorkTarget::Version(call.version.clone());
        let lease = router.lease.clone();
        let place = vm.data_centre.clone();
        connection.set_permit(WorkPermit::new(lease, self.organisation.clone(), work, place));
        let proof = unsent.take();
        let token_deadline = self.token_deadline(router, call.stream);
        let sent = tokio::time::timeout_at(token_deadline, connection.send(call.to_http())).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(reason))) => {
                *unsent = proof;
                return Err(AttemptError::Retryable(reason));
            }
            Ok(Err(SendError::MaybeSent(reason))) => return Err(AttemptError::Retryable(reason)),
            Err(_) if Instant::now() < self.deadline => {
                return Err(AttemptError::Retryable(
                    "no response within the time limit".to_owned(),
                ));
            }
            Err(_) => {
                let text =
                    "the deadline passed before the backend server responded; allow more time";
                return Err(AttemptError::Final(Refusal::may_have_run(
                    RefusalCode::DeadlinePassed,
                    text,
                )));
            }
        };
        if is_version_failure(response.status()) {
            router.record_outcome(
                &self.organisation,
                &call.kind,
                &call.version,
                AttemptOutcome::Failed,
            );
        }
        check_head(call, &response)?;
        if !response.headers().contains_key(REQUEST_ID_HEADER) {
            connection.set_single_use();
        }
        Ok(HeadReceived { response, connection, token_deadline })
    }

    /// Deadline for the first token of an attempt that starts now. A streamed attempt gets at most
    /// half of the remaining time, which leaves time for a retry; a buffered one gets all of it.
    fn token_deadline(&self, router: &Router, stream: bool) -> Instant {
        if !stream {
            return self.deadline;
        }
        let now = Instant::now();
        let half = self.deadline.saturating_duration_since(now) / 2;
        now + router.first_token.min(half)
    }

    /// Picks a server that was not tried yet. If there is none, pauses and picks among all of them.
    async fn pick_untried(
        &mut self,
        router: &Router,
        pool: &PoolName,
        version: &VersionKey,
    ) -> Option<Arc<Vm>> {
        let picked = router.pick_server(pool, Some(version), &self.tried, &self.prefix);
        if picked.is_some() || self.tried.is_empty() {
            return picked;
        }
        self.tried.clear();
        tokio::time::sleep(RETRY_PAUSE).await;
        router.pick_server(pool, Some(version), &self.tried, &self.prefix)
    }

    /// Checks that requests may be sent to the version now, and returns its pool.
    fn check_version(
        &self,
        router: &Router,
        version: &VersionKey,
        unsent: Option<&Unsent>,
    ) -> Result<PoolName, Refusal> {
        let Some(config) = router.lease.config() else {
            let text = "this daemon has lost contact with its cluster; retry with another daemon";
            return Err(refuse(RefusalCode::NoLease, text, unsent));
        };
        let allowed = config.organisations.get(&self.organisation);
        if !allowed.is_some_and(|organisation| organisation.allows(version)) {
            let text =
                format!("this organisation may not use version '{version}'; see GET /v1/models");
            return Err(refuse(RefusalCode::NotAllowed, text, unsent));
        }
        match config.versions.get(version) {
            Some(found) if found.state != VersionState::Withdrawn => Ok(found.pool.clone()),
            _ => {
                let text = format!("version '{version}' was withdrawn; start a new session");
                Err(refuse(RefusalCode::VersionWithdrawn, text, unsent))
            }
        }
    }

    fn attempts_exhausted(&self, unsent: Option<&Unsent>) -> Refusal {
        if Instant::now() >= self.deadline {
            return refuse(
                RefusalCode::DeadlinePassed,
                "the deadline passed; allow more time",
                unsent,
            );
        }
        if self.overload_delay.is_some() {
            return self.no_server_refusal(unsent);
        }
        let text = "all attempts failed on the backend servers; retry the request";
        refuse(RefusalCode::BackendFailed, text, unsent)
    }

    fn no_server_refusal(&self, unsent: Option<&Unsent>) -> Refusal {
        let Some(retry_after) = self.overload_delay else {
            let text = "no backend server is available; retry later";
            return refuse(RefusalCode::NoServer, text, unsent);
        };
        let text = "all backend servers that were tried are overloaded; retry later";
        let refusal = refuse(RefusalCode::Overloaded, text, unsent);
        Refusal { retry_after: Some(retry_after), ..refusal }
    }
}

/// Why an attempt got no answer.
enum AttemptError {
    /// The server failed; another server may succeed.
    Retryable(String),
    /// The server is overloaded (reason, retry delay it asked for); another server may have
    /// capacity.
    Overloaded(String, Duration),
    /// Another server would give the same result.
    Final(Refusal),
}

/// Result of one exchange: a successful response whose head has arrived.
struct HeadReceived {
    response: Response<BackendBody>,
    connection: PooledConnection,
    token_deadline: Instant,
}

/// Retry delay that an overloaded server asks for; 1 s if it names none.
fn retry_after(response: &Response<BackendBody>) -> Duration {
    let value = response.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| text.trim().parse().ok()).map(Duration::from_secs);
    seconds.unwrap_or(Duration::from_secs(1)).min(MAX_ENGINE_RETRY_AFTER)
}

/// Whether a status counts as a failure of the version. 503 doesn't: it means that the server is
/// overloaded.
fn is_version_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE
}

fn check_head(call: &EngineCall, response: &Response<BackendBody>) -> Result<(), AttemptError> {
    let echoed = response.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if echoed.is_some_and(|id| id != call.request.to_string()) {
        return Err(AttemptError::Retryable(
            "the response carries the ID of another request".to_owned(),
        ));
    }
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    if matches!(status.as_u16(), 429 | 503) {
        return Err(AttemptError::Overloaded(format!("status {status}"), retry_after(response)));
    }
    if status.is_client_error() {
        let text = format!(
            "the backend server rejected the request with status {status}; check the request"
        );
        return Err(AttemptError::Final(Refusal::may_have_run(RefusalCode::BackendRefused, text)));
    }
    Err(AttemptError::Retryable(format!("status {status}")))
}
