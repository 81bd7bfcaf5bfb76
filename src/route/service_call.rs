use super::refusal::refuse;
use super::request::{RequestMeta, ServiceRequest};
use super::request_counter::CountedRequest;
use super::{Answer, BufferedAnswer, Refusal, RefusalCode, Router, Unsent, WorkPermit, WorkTarget};
use crate::backend::{REQUEST_ID_HEADER, SendError, is_answer_status};
use crate::control::{RetryPolicy, Service};
use crate::event::Event;
use crate::ledger::Bill;
use crate::policy::PrefixKeys;
use crate::vms::Vm;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest answer of a service.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Maximum number of attempts for a call that may be repeated.
const MAX_ATTEMPTS: usize = 3;
/// Expected work of a service call for fair queueing. It is the same for all calls, because nothing
/// is known of their size.
pub(super) const CALL_COST: f64 = 1.0;
/// Timeout for committing an outcome or a bill. It starts when the call has ended, so that it can
/// still be recorded after the request's deadline.
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an attempt at a service call gave no answer.
pub(super) enum CallError {
    /// No byte of this attempt was sent.
    NotSent,
    /// The call may have run.
    MaybeRan,
}

impl Router {
    /// Serves a call to a service.
    pub async fn call_service(self: &Arc<Self>, request: ServiceRequest, unsent: Unsent) -> Answer {
        let counted = Arc::new(self.counter.start());
        let id = request.meta.request;
        self.journal.record(Event::RequestAdmitted {
            request: id,
            organisation: request.meta.organisation.clone(),
            kind: request.service.to_string(),
        });
        if let Some(session) = request.meta.session.clone() {
            self.journal.record(Event::SessionJoined { request: id, session });
        }
        let served = self.serve_call(&request, unsent, &counted).await;
        served.unwrap_or_else(|refusal| self.refuse(id, refusal))
    }

    async fn serve_call(
        self: &Arc<Self>,
        request: &ServiceRequest,
        unsent: Unsent,
        counted: &Arc<CountedRequest>,
    ) -> Result<Answer, Refusal> {
        let service = self.find_service(request, &unsent)?;
        let meta = &request.meta;
        let (safe, keyed) = (request.method.is_safe(), meta.key.is_some());
        let repeatable = match service.retry {
            RetryPolicy::Always => true,
            RetryPolicy::ByKey => safe || keyed,
            RetryPolicy::Never => safe,
        };
        if repeatable {
            let (pool, organisation) = (&service.pool, &meta.organisation);
            let permit =
                self.acquire_permit(pool, organisation, CALL_COST, meta.deadline, &unsent).await?;
            let answer = self.call_with_retries(request, &service, unsent).await?;
            drop(permit);
            self.bill_call(&request.meta, &service).await?;
            return Ok(Answer::Buffered(answer));
        }
        let Some(key) = request.meta.key.clone() else {
            let text = "calls of this service are not idempotent; send an 'Idempotency-Key' header";
            return Err(Refusal::not_run(RefusalCode::BadRequest, text, &unsent));
        };
        // The task continues if the caller disconnects, so that the outcome of the claim is always
        // recorded.
        let (router, request) = (self.clone(), request.clone());
        let counted = counted.clone();
        let work = self.runtime.spawn(async move {
            let answer = router.call_once(request, service, key, unsent).await;
            drop(counted);
            answer
        });
        let text = "the router failed while handling the call; check with the service";
        work.await.unwrap_or_else(|_| Err(Refusal::may_have_run(RefusalCode::OutcomeUnknown, text)))
    }

    pub(super) fn find_service(
        &self,
        request: &ServiceRequest,
        unsent: &Unsent,
    ) -> Result<Service, Refusal> {
        let config = self.config(unsent)?;
        let organisation = config.organisations.get(&request.meta.organisation);
        let allowed = organisation.is_some_and(|o| o.services.contains(&request.service));
        match (config.services.get(&request.service), allowed) {
            (Some(service), true) => Ok(service.clone()),
            (Some(_), false) => {
                let text = format!(
                    "this organisation may not use service '{}'; ask an operator for access",
                    request.service
                );
                Err(Refusal::not_run(RefusalCode::NotAllowed, text, unsent))
            }
            (None, _) => {
                let text = format!("there is no service '{}'; check its name", request.service);
                Err(Refusal::not_run(RefusalCode::UnknownService, text, unsent))
            }
        }
    }

    async fn call_with_retries(
        &self,
        request: &ServiceRequest,
        service: &Service,
        unsent: Unsent,
    ) -> Result<BufferedAnswer, Refusal> {
        let mut unsent_proof = Some(unsent);
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(vm) = self.pick_server(&service.pool, None, &tried, &PrefixKeys::default())
            else {
                break;
            };
            tried.push(vm.name.clone());
            match self.attempt_call(request, &vm, &mut unsent_proof).await {
                Ok(answer) => return Ok(answer),
                Err(CallError::NotSent | CallError::MaybeRan) => continue,
            }
        }
        let text = "no backend server of this service answered; retry later";
        let code = match unsent_proof {
            Some(_) => RefusalCode::NoServer,
            None => RefusalCode::BackendFailed,
        };
        Err(refuse(code, text, unsent_proof.as_ref()))
    }

    pub(super) async fn attempt_call(
        &self,
        request: &ServiceRequest,
        vm: &Vm,
        unsent_proof: &mut Option<Unsent>,
    ) -> Result<BufferedAnswer, CallError> {
        let (id, server) = (request.meta.request, vm.name.clone());
        self.journal.record(Event::AttemptStarted { request: id, server, attempt: 1 });
        let call = self.servers.begin_call(&vm.name);
        // A service need not name the request in its response, so each call has a connection of its
        // own: a late response to an earlier one cannot be taken for its response.
        let Ok(mut connection) = self.connections.acquire(vm.address, true).await else {
            call.record_failure("could not connect");
            return Err(CallError::NotSent);
        };
        let ready = self.lease.config().is_some() && self.vms.is_live(&vm.name);
        if !ready {
            return Err(CallError::NotSent);
        }
        let lease = self.lease.clone();
        let work = WorkTarget::Service(request.service.clone());
        let (caller, place) = (request.meta.organisation.clone(), vm.data_centre.clone());
        connection.set_permit(WorkPermit::new(lease, caller, work, place));
        let taken = unsent_proof.take();
        let work = async {
            let response = connection.send(to_http(request)).await?;
            let (head, mut body) = response.into_parts();
            let echoed = head.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
            if echoed.is_some_and(|echoed| echoed != id.to_string()) {
                let text = "the response carries the ID of another request".to_owned();
                return Err(SendError::MaybeSent(text));
            }
            if !is_answer_status(head.status) {
                let text =
                    format!("the response has the status {}, which no answer has", head.status);
                return Err(SendError::MaybeSent(text));
            }
            let body = body.read_whole(MAX_ANSWER_BYTES, &mut self.buffers.share()).await;
            let body = body.map_err(|error| SendError::MaybeSent(error.to_string()))?;
            let content_type = head.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
            let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
            Ok(BufferedAnswer { status: head.status.as_u16(), content_type, body })
        };
        match tokio::time::timeout_at(request.meta.deadline.into(), work).await {
            Ok(Ok(answer)) => {
                call.record_response();
                Ok(answer)
            }
            Ok(Err(SendError::NotSent(_))) => {
                *unsent_proof = taken;
                Err(CallError::NotSent)
            }
            Ok(Err(SendError::MaybeSent(reason))) => {
                call.record_failure(&reason);
                let server = vm.name.clone();
                self.journal.record(Event::AttemptFailed { request: id, server, reason });
                Err(CallError::MaybeRan)
            }
            Err(_) => Err(CallError::MaybeRan),
        }
    }

    async fn bill_call(&self, meta: &RequestMeta, service: &Service) -> Result<(), Refusal> {
        let bill = service_bill(meta, service);
        let cost = bill.cost;
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let done = self.ledger.bill(&meta.organisation, meta.session.as_ref(), bill, deadline);
        if done.await.is_err() {
            let text = "the answer is withheld because it could not be billed; retry later";
            return Err(Refusal::may_have_run(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request: meta.request, cost });
        Ok(())
    }
}

pub(super) fn service_bill(meta: &RequestMeta, service: &Service) -> Bill {
    let item = format!("service {}", service.name);
    Bill { request: meta.request, item, prompt_tokens: 0, answer_tokens: 0, cost: service.price }
}

fn to_http(request: &ServiceRequest) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path.as_str())
        .header(header::CONTENT_TYPE, request.content_type.as_str())
        .header("x-request-id", request.meta.request.to_string());
    if let Some(key) = &request.meta.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    builder
        .body(Full::new(request.body.clone()))
        .expect("the URI and headers were checked when the request was read")
}
