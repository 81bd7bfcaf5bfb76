//! Service calls that must not run twice: the router commits a claim first, then sends the call at
//! most once.

use super::request::{RequestMeta, ServiceRequest};
use super::service_call::{CALL_COST, RECORD_TIMEOUT, service_bill};
use super::{Answer, BufferedAnswer, Refusal, RefusalCode, Router, Unsent};
use crate::control::Service;
use crate::event::Event;
use crate::ledger::{Claim, ClaimState, StoredAnswer};
use crate::name::IdempotencyKey;
use crate::policy::PrefixKeys;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before a duplicate call first polls for the outcome of the first call; doubles each time.
const FIRST_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two such polls.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(500);

impl Router {
    /// Runs a call that must not run twice: commits a claim, then sends the call at most once.
    pub(super) async fn call_once(
        self: Arc<Self>,
        request: ServiceRequest,
        service: Service,
        key: IdempotencyKey,
        unsent: Unsent,
    ) -> Result<Answer, Refusal> {
        let (meta, digest) = (&request.meta, request_digest(&request));
        let mut claim = self.claim(meta, &key, digest, &unsent).await?;
        let mut pause = FIRST_POLL_PAUSE;
        if claim.request != meta.request {
            let (request, first) = (meta.request, claim.request);
            self.journal.record(Event::ClaimRepeated { request, first });
        }
        // A duplicate waits for the outcome of the first call, and runs itself if that one releases
        // its claim.
        while claim.request != meta.request {
            if claim.digest != digest {
                let text =
                    "this idempotency key was already used for a different call; use a new key";
                return Err(Refusal::not_run(RefusalCode::KeyReused, text, &unsent));
            }
            match claim.state {
                ClaimState::Answered(stored) => return Ok(Answer::Buffered(stored_answer(stored))),
                ClaimState::Unknown => return Err(unknown_outcome()),
                ClaimState::Running if Instant::now() + pause >= meta.deadline => {
                    return Err(unknown_outcome());
                }
                ClaimState::Running => tokio::time::sleep(pause).await,
            }
            pause = (pause * 2).min(MAX_POLL_PAUSE);
            let polled = self.claim(meta, &key, digest, &unsent).await;
            claim = polled.map_err(|_| unknown_outcome())?;
        }
        let (id, name) = (meta.request, service.name.clone());
        self.journal.record(Event::ClaimCommitted { request: id, service: name });
        self.run_claimed(&request, &service, &key, unsent).await
    }

    async fn claim(
        &self,
        meta: &RequestMeta,
        key: &IdempotencyKey,
        digest: [u8; 32],
        unsent: &Unsent,
    ) -> Result<Claim, Refusal> {
        let done =
            self.ledger.claim(&meta.organisation, key, meta.request, digest, meta.deadline).await;
        done.map_err(|_| {
            // The claim may still be committed, but this request will never be sent under it.
            self.ledger.release_in_background(&meta.organisation, key, meta.request);
            let text = "the claim could not be committed; retry with the same key";
            Refusal::not_run(RefusalCode::NoLedger, text, unsent)
        })
    }

    async fn run_claimed(
        &self,
        request: &ServiceRequest,
        service: &Service,
        key: &IdempotencyKey,
        unsent: Unsent,
    ) -> Result<Answer, Refusal> {
        let meta = &request.meta;
        let (pool, organisation) = (&service.pool, &meta.organisation);
        // The permit is acquired after the claim, so that a slow ledger does not use up the pool.
        let permit = match self
            .acquire_permit(pool, organisation, CALL_COST, meta.deadline, &unsent)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => return self.release_claim(meta, key, refusal).await,
        };
        let mut unsent_proof = Some(unsent);
        let mut tried = Vec::new();
        // The loop ends with the first attempt that may have run, because the proof is gone then.
        while let Some(unsent) = &unsent_proof {
            let picked = match self.find_service(request, unsent) {
                Ok(service) => {
                    self.pick_server(&service.pool, None, &tried, &PrefixKeys::default())
                }
                Err(refusal) => return self.release_claim(meta, key, refusal).await,
            };
            let Some(vm) = picked else {
                let text = "no backend server of this service is available; retry later";
                let refusal = Refusal::not_run(RefusalCode::NoServer, text, unsent);
                return self.release_claim(meta, key, refusal).await;
            };
            tried.push(vm.name.clone());
            if let Ok(answer) = self.attempt_call(request, &vm, &mut unsent_proof).await {
                drop(permit);
                return self.record_call_outcome(meta, key, service, answer).await;
            }
        }
        drop(permit);
        self.record_unknown_outcome(meta, key).await
    }

    async fn release_claim(
        &self,
        meta: &RequestMeta,
        key: &IdempotencyKey,
        refusal: Refusal,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let released =
            self.ledger.release_claim(&meta.organisation, key, meta.request, deadline).await;
        if released.is_err() {
            self.ledger.release_in_background(&meta.organisation, key, meta.request);
        }
        Err(refusal)
    }

    async fn record_call_outcome(
        &self,
        meta: &RequestMeta,
        key: &IdempotencyKey,
        service: &Service,
        answer: BufferedAnswer,
    ) -> Result<Answer, Refusal> {
        let stored = StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        };
        let bill = service_bill(meta, service);
        let cost = bill.cost;
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let outcome = Some((stored, bill));
        let done =
            self.ledger.record_outcome(&meta.organisation, key, meta.request, outcome, deadline);
        if done.await.is_err() {
            let text =
                "the call ran, but its outcome could not be recorded; retry with the same key";
            return Err(Refusal::may_have_run(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request: meta.request, cost });
        Ok(Answer::Buffered(answer))
    }

    async fn record_unknown_outcome(
        &self,
        meta: &RequestMeta,
        key: &IdempotencyKey,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let done =
            self.ledger.record_outcome(&meta.organisation, key, meta.request, None, deadline);
        if done.await.is_err() {
            log::warn!(
                "request {}: could not record the unknown outcome of its call in the ledger",
                meta.request
            );
        }
        Err(unknown_outcome())
    }
}

fn stored_answer(stored: StoredAnswer) -> BufferedAnswer {
    let StoredAnswer { status, content_type, body } = stored;
    BufferedAnswer { status, content_type, body }
}

fn unknown_outcome() -> Refusal {
    let text =
        "it is unknown whether the call ran; it will not be sent again; check with the service";
    Refusal::may_have_run(RefusalCode::OutcomeUnknown, text)
}

fn request_digest(request: &ServiceRequest) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [request.method.as_str(), request.service.as_str(), &request.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&request.body);
    hash.finalize().into()
}
