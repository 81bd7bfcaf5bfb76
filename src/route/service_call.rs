use super::counters::Counted;
use super::refusal::refuse;
use super::request::{Meta, ServiceRequest};
use super::{Answer, Refusal, RefusalCode, Router, Unsent, Whole, Work, WorkPermit};
use crate::backend::SendError;
use crate::control::{Repeat, Service};
use crate::event::Event;
use crate::ledger::Bill;
use crate::policy::PrefixKeys;
use crate::vms::Vm;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest answer of a plain service, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Attempts of a call that may be repeated.
const ATTEMPTS: usize = 3;
/// The work that a call is expected to be, compared with other calls of its pool.
pub(super) const CALL_COST: f64 = 1.0;
/// How long recording an outcome may take behind the request's deadline.
pub(super) const SETTLE_GRACE: Duration = Duration::from_secs(10);

/// How one attempt ended without an answer.
pub(super) enum Missed {
    /// No byte of this attempt left.
    NotSent,
    /// It may have run.
    MaybeRan,
}

impl Router {
    /// Serves a call of a plain service.
    pub async fn call_service(self: &Arc<Self>, request: ServiceRequest, unsent: Unsent) -> Answer {
        let counted = Arc::new(self.counters.enter());
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
        counted: &Arc<Counted>,
    ) -> Result<Answer, Refusal> {
        let service = self.find_service(request, &unsent)?;
        let meta = &request.meta;
        let (safe, keyed) = (request.method.is_safe(), meta.key.is_some());
        let repeatable = match service.repeat {
            Repeat::Freely => true,
            Repeat::ByKey => safe || keyed,
            Repeat::Never => safe,
        };
        if repeatable {
            let (pool, who) = (&service.pool, &meta.organisation);
            let place = self.enter(pool, who, CALL_COST, meta.deadline, &unsent).await?;
            let answer = self.call_freely(request, &service, unsent).await?;
            drop(place);
            self.bill_call(&request.meta, &service).await?;
            return Ok(Answer::Whole(answer));
        }
        let Some(key) = request.meta.key.clone() else {
            let text =
                "calls of this service may not be repeated; give an 'Idempotency-Key' header";
            return Err(Refusal::not_run(RefusalCode::BadRequest, text, &unsent));
        };
        // The work goes on if the caller leaves, so that the claim always gets its outcome.
        let (router, request) = (self.clone(), request.clone());
        let counted = counted.clone();
        let work = self.runtime.spawn(async move {
            let answer = router.call_once(request, service, key, unsent).await;
            drop(counted);
            answer
        });
        let lost = "the call was interrupted inside the router";
        work.await.unwrap_or_else(|_| Err(Refusal::unknown(RefusalCode::OutcomeUnknown, lost)))
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
                let text = format!("this organisation may not use service '{}'", request.service);
                Err(Refusal::not_run(RefusalCode::NotAllowed, text, unsent))
            }
            (None, _) => {
                let text = format!("there is no service '{}'", request.service);
                Err(Refusal::not_run(RefusalCode::UnknownService, text, unsent))
            }
        }
    }

    async fn call_freely(
        &self,
        request: &ServiceRequest,
        service: &Service,
        unsent: Unsent,
    ) -> Result<Whole, Refusal> {
        let mut proof = Some(unsent);
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let Some(vm) = self.pick(&service.pool, None, &tried, &PrefixKeys::default()) else {
                break;
            };
            tried.push(vm.vm.clone());
            match self.attempt_call(request, &vm, &mut proof, false).await {
                Ok(answer) => return Ok(answer),
                Err(Missed::NotSent | Missed::MaybeRan) => continue,
            }
        }
        let text = "no backend server of this service answered";
        let code = match proof {
            Some(_) => RefusalCode::NoServer,
            None => RefusalCode::BackendFailed,
        };
        Err(refuse(code, text, proof.as_ref()))
    }

    pub(super) async fn attempt_call(
        &self,
        request: &ServiceRequest,
        vm: &Vm,
        proof: &mut Option<Unsent>,
        fresh: bool,
    ) -> Result<Whole, Missed> {
        let (id, server) = (request.meta.request, vm.vm.clone());
        self.journal.record(Event::AttemptStarted { request: id, server, attempt: 1 });
        let call = self.servers.begin(&vm.vm);
        let Ok(mut lent) = self.connections.take(vm.address, fresh).await else {
            call.failed("no connection");
            return Err(Missed::NotSent);
        };
        let ready = self.lease.config().is_some() && self.vms.may_use(&vm.vm);
        if !ready {
            return Err(Missed::NotSent);
        }
        let lease = self.lease.clone();
        let work = Work::Service(request.service.clone());
        lent.guard(WorkPermit::open(lease, request.meta.organisation.clone(), work));
        let token = proof.take();
        let work = async {
            let response = lent.send(to_http(request)).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_BYTES).collect().await;
            let body = body.map_err(|e| SendError::MaybeSent(e.to_string()))?.to_bytes();
            let media = head.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
            let media = media.unwrap_or("application/octet-stream").to_owned();
            Ok(Whole { status: head.status.as_u16(), media, body })
        };
        match tokio::time::timeout_at(request.meta.deadline.into(), work).await {
            Ok(Ok(answer)) => {
                call.answered();
                Ok(answer)
            }
            Ok(Err(SendError::NotSent(_))) => {
                *proof = token;
                Err(Missed::NotSent)
            }
            Ok(Err(SendError::MaybeSent(reason))) => {
                call.failed(&reason);
                let server = vm.vm.clone();
                self.journal.record(Event::AttemptFailed { request: id, server, reason });
                Err(Missed::MaybeRan)
            }
            Err(_) => Err(Missed::MaybeRan),
        }
    }

    async fn bill_call(&self, meta: &Meta, service: &Service) -> Result<(), Refusal> {
        let bill = bill_of(meta, service);
        let cost = bill.cost;
        let deadline = Instant::now() + SETTLE_GRACE;
        let done = self.ledger.bill(&meta.organisation, meta.session.as_ref(), bill, deadline);
        if done.await.is_err() {
            let text = "the answer could not be billed and is withheld";
            return Err(Refusal::unknown(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request: meta.request, cost });
        Ok(())
    }
}

pub(super) fn bill_of(meta: &Meta, service: &Service) -> Bill {
    let item = format!("service {}", service.name);
    Bill { request: meta.request, item, prompt: 0, answer: 0, cost: service.price }
}

fn to_http(request: &ServiceRequest) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path.as_str())
        .header(header::CONTENT_TYPE, request.media.as_str())
        .header("x-request-id", request.meta.request.to_string());
    if let Some(key) = &request.meta.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    builder.body(Full::new(request.body.clone())).expect("checked when the request was read")
}
