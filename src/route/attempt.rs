use super::learned::Seen;
use super::refusal::refuse;
use super::request::Meta;
use super::{Place, Refusal, RefusalCode, Router, ServerCall, Unsent, Work, WorkPermit};
use crate::backend::{EngineCall, Lent, SendError};
use crate::control::VersionState;
use crate::event::Event;
use crate::name::{OrganisationName, PoolName, VersionKey, VmName};
use crate::policy::PrefixKeys;
use crate::vms::Vm;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The header that carries a request's identity back.
const REQUEST_HEADER: &str = "x-request-id";
/// How long to wait before servers that were tried are tried again.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// The longest wait that an engine's `Retry-After` may ask callers for.
const RETRY_LIMIT: Duration = Duration::from_secs(60);
/// Attempts of one request, the first included.
const ATTEMPTS: u32 = 4;

/// An answer whose head has come.
pub(super) struct Opened {
    pub response: Response<Incoming>,
    pub server: VmName,
    pub call: ServerCall,
    pub lent: Lent,
    /// When the first token must have come.
    pub first: Instant,
}

/// The attempts of one request, all on the same version.
pub(super) struct Attempts {
    pub organisation: OrganisationName,
    pub deadline: Instant,
    pub tried: Vec<VmName>,
    pub count: u32,
    pub prefix: PrefixKeys,
    pub cost: f64,
    pub place: Option<Place>,
    /// What the last server that was too busy asked for.
    busy: Option<Duration>,
}

impl Attempts {
    pub fn new(meta: &Meta, prefix: PrefixKeys, cost: f64) -> Self {
        Self {
            organisation: meta.organisation.clone(),
            deadline: meta.deadline.into(),
            tried: Vec::new(),
            count: 0,
            prefix,
            cost,
            place: None,
            busy: None,
        }
    }

    /// Tries servers until one answers with a head of status 200. `unsent` is the proof that no
    /// earlier attempt left; it is gone after the first that did.
    pub async fn open(
        &mut self,
        router: &Router,
        call: &EngineCall,
        unsent: &mut Option<Unsent>,
    ) -> Result<Opened, Refusal> {
        loop {
            let pool = self.admit(router, &call.version, unsent.as_ref())?;
            if !self.may_try(router, unsent.is_some()) {
                return Err(self.give_up(unsent.as_ref()));
            }
            self.enter(router, &pool, unsent.as_ref()).await?;
            let picked = self.pick(router, &pool, &call.version).await;
            let Some(vm) = picked else { return Err(self.no_server(unsent.as_ref())) };
            self.count += 1;
            self.tried.push(vm.vm.clone());
            let (request, server, attempt) = (call.request, vm.vm.clone(), self.count);
            router.journal.record(Event::AttemptStarted { request, server, attempt });
            let under_way = router.servers.begin(&vm.vm);
            let reason = match self.exchange(router, call, &vm, unsent).await {
                Ok(Exchanged { response, lent, first }) => {
                    under_way.answered();
                    under_way.holds(&self.prefix);
                    let (server, call) = (vm.vm.clone(), under_way);
                    return Ok(Opened { response, server, call, lent, first });
                }
                Err(Failed::Final(refusal)) => return Err(refusal),
                Err(Failed::Busy(reason, retry)) => {
                    under_way.overloaded();
                    self.busy = Some(retry);
                    reason
                }
                Err(Failed::Again(reason)) => {
                    under_way.failed(&reason);
                    reason
                }
            };
            router.journal.record(Event::AttemptFailed { request, server: vm.vm.clone(), reason });
        }
    }

    /// Waits for a place at the pool, once.
    async fn enter(
        &mut self,
        router: &Router,
        pool: &PoolName,
        unsent: Option<&Unsent>,
    ) -> Result<(), Refusal> {
        if self.place.is_some() {
            return Ok(());
        }
        let Some(unsent) = unsent else { return Ok(()) };
        let deadline = self.deadline.into_std();
        let entered = router.enter(pool, &self.organisation, self.cost, deadline, unsent);
        self.place = Some(entered.await?);
        Ok(())
    }

    /// Whether another attempt may be made. One that follows an attempt that may have reached a
    /// server costs budget.
    fn may_try(&self, router: &Router, unsent: bool) -> bool {
        if self.count >= ATTEMPTS || Instant::now() >= self.deadline {
            return false;
        }
        if self.count == 0 {
            router.budgets.began(&self.organisation);
            // The next version of a cascade is asked for the first time: no retry.
            return true;
        }
        unsent || router.budgets.take(&self.organisation)
    }

    async fn exchange(
        &self,
        router: &Router,
        call: &EngineCall,
        vm: &Vm,
        unsent: &mut Option<Unsent>,
    ) -> Result<Exchanged, Failed> {
        let again = |error: SendError| Failed::Again(error.to_string());
        // A pooled connection may have gone silent. A whole answer's head says nothing until all of
        // it is there, so that this would be found late; and no retry is to meet it again.
        let fresh = !call.stream || self.count > 1;
        let mut lent = router.connections.take(vm.address, fresh).await.map_err(again)?;
        // The last step before the first byte: the lease, the version's state and the server may
        // have changed while the connection was opened.
        self.admit(router, &call.version, unsent.as_ref()).map_err(Failed::Final)?;
        if !router.vms.may_use(&vm.vm) {
            return Err(Failed::Again("the server is leaving".to_owned()));
        }
        let work = Work::Version(call.version.clone());
        let lease = router.lease.clone();
        lent.guard(WorkPermit::open(lease, self.organisation.clone(), work));
        let proof = unsent.take();
        let first = self.first_limit(router, call.stream);
        let sent = tokio::time::timeout_at(first, lent.send(call.to_http())).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(reason))) => {
                *unsent = proof;
                return Err(Failed::Again(reason));
            }
            Ok(Err(SendError::MaybeSent(reason))) => return Err(Failed::Again(reason)),
            Err(_) if Instant::now() < self.deadline => {
                return Err(Failed::Again("no answer within the limit".to_owned()));
            }
            Err(_) => {
                let text = "the deadline passed before the backend server answered";
                return Err(Failed::Final(Refusal::unknown(RefusalCode::DeadlinePassed, text)));
            }
        };
        if is_fault(response.status()) {
            router.note(&self.organisation, &call.kind, &call.version, Seen::Failed);
        }
        check_head(call, &response)?;
        Ok(Exchanged { response, lent, first })
    }

    /// When an attempt that begins now must have brought its first token. A stream may be tried
    /// again while half of the time is left; a whole answer gets all of it.
    fn first_limit(&self, router: &Router, stream: bool) -> Instant {
        if !stream {
            return self.deadline;
        }
        let now = Instant::now();
        let share = self.deadline.saturating_duration_since(now) / 2;
        now + router.first_token.min(share)
    }

    /// Picks a server, one that was not tried if there is any.
    async fn pick(
        &mut self,
        router: &Router,
        pool: &PoolName,
        version: &VersionKey,
    ) -> Option<Arc<Vm>> {
        let picked = router.pick(pool, Some(version), &self.tried, &self.prefix);
        if picked.is_some() || self.tried.is_empty() {
            return picked;
        }
        self.tried.clear();
        tokio::time::sleep(RETURN_PAUSE).await;
        router.pick(pool, Some(version), &self.tried, &self.prefix)
    }

    /// Whether the version may be given work now; its pool.
    fn admit(
        &self,
        router: &Router,
        version: &VersionKey,
        unsent: Option<&Unsent>,
    ) -> Result<PoolName, Refusal> {
        let Some(config) = router.lease.config() else {
            let text = "this daemon is cut off from its cluster; another one can serve the request";
            return Err(refuse(RefusalCode::NoLease, text, unsent));
        };
        let allowed = config.organisations.get(&self.organisation);
        if !allowed.is_some_and(|organisation| organisation.allows(version)) {
            let text = format!("this organisation may not use '{version}'");
            return Err(refuse(RefusalCode::NotAllowed, text, unsent));
        }
        match config.versions.get(version) {
            Some(found) if found.state != VersionState::Withdrawn => Ok(found.pool.clone()),
            _ => {
                let text = format!("version '{version}' was withdrawn; begin a new session");
                Err(refuse(RefusalCode::VersionWithdrawn, text, unsent))
            }
        }
    }

    fn give_up(&self, unsent: Option<&Unsent>) -> Refusal {
        if Instant::now() >= self.deadline {
            return refuse(RefusalCode::DeadlinePassed, "the deadline passed", unsent);
        }
        if self.busy.is_some() {
            return self.no_server(unsent);
        }
        let text = "every backend server that was tried failed";
        refuse(RefusalCode::BackendFailed, text, unsent)
    }

    fn no_server(&self, unsent: Option<&Unsent>) -> Refusal {
        let Some(retry) = self.busy else {
            let text = "no backend server can take the request now";
            return refuse(RefusalCode::NoServer, text, unsent);
        };
        let text = "every backend server that was tried has too much to do";
        let refusal = refuse(RefusalCode::Overloaded, text, unsent);
        Refusal { retry: Some(retry), ..refusal }
    }
}

/// How an attempt ended without an answer.
enum Failed {
    /// The server failed; another may do.
    Again(String),
    /// The server has too much to do; another may have less.
    Busy(String, Duration),
    /// No other server would do better.
    Final(Refusal),
}

/// An exchange whose head has come.
struct Exchanged {
    response: Response<Incoming>,
    lent: Lent,
    first: Instant,
}

/// When a busy server wants to be asked again.
fn retry_after(response: &Response<Incoming>) -> Duration {
    let value = response.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| text.trim().parse().ok()).map(Duration::from_secs);
    seconds.unwrap_or(Duration::from_secs(1)).min(RETRY_LIMIT)
}

/// Whether a status speaks against the version, rather than for a server with too much to do.
fn is_fault(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE
}

fn check_head(call: &EngineCall, response: &Response<Incoming>) -> Result<(), Failed> {
    let echoed = response.headers().get(REQUEST_HEADER).and_then(|value| value.to_str().ok());
    if echoed.is_some_and(|id| id != call.request.to_string()) {
        return Err(Failed::Again("the answer belongs to another request".to_owned()));
    }
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    if matches!(status.as_u16(), 429 | 503) {
        return Err(Failed::Busy(format!("status {status}"), retry_after(response)));
    }
    if status.is_client_error() {
        let text = format!("the engine refused the request with status {status}");
        return Err(Failed::Final(Refusal::unknown(RefusalCode::BackendRefused, text)));
    }
    Err(Failed::Again(format!("status {status}")))
}
