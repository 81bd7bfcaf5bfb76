//! Calls that may not be repeated: claimed first, sent at most once.

use super::request::{Meta, ServiceRequest};
use super::service_call::{CALL_COST, SETTLE_GRACE, bill_of};
use super::{Answer, Refusal, RefusalCode, Router, Unsent, Whole};
use crate::control::Service;
use crate::event::Event;
use crate::ledger::{Claim, ClaimState, StoredAnswer};
use crate::name::IdempotencyKey;
use crate::policy::PrefixKeys;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The pause before a repeated call first looks again for the first one's outcome; it doubles.
const LOOK_FIRST: Duration = Duration::from_millis(20);
/// The longest such pause.
const LOOK_LAST: Duration = Duration::from_millis(500);

impl Router {
    /// Runs a call that may not be repeated: claimed first, sent at most once.
    pub(super) async fn call_once(
        self: Arc<Self>,
        request: ServiceRequest,
        service: Service,
        key: IdempotencyKey,
        unsent: Unsent,
    ) -> Result<Answer, Refusal> {
        let (meta, digest) = (&request.meta, digest_of(&request));
        let mut claim = self.claim(meta, &key, digest, &unsent).await?;
        let mut pause = LOOK_FIRST;
        if claim.request != meta.request {
            let (request, first) = (meta.request, claim.request);
            self.journal.record(Event::ClaimRepeated { request, first });
        }
        // A duplicate waits for the first one's outcome, and takes its place if it gives up.
        while claim.request != meta.request {
            if claim.digest != digest {
                let text = "this idempotency key was used for another call; use a new key";
                return Err(Refusal::not_run(RefusalCode::KeyReused, text, &unsent));
            }
            match claim.state {
                ClaimState::Answered(stored) => return Ok(Answer::Whole(replayed(stored))),
                ClaimState::Unknown => return Err(open_outcome()),
                ClaimState::Running if Instant::now() + pause >= meta.deadline => {
                    return Err(open_outcome());
                }
                ClaimState::Running => tokio::time::sleep(pause).await,
            }
            pause = (pause * 2).min(LOOK_LAST);
            let looked = self.claim(meta, &key, digest, &unsent).await;
            claim = looked.map_err(|_| open_outcome())?;
        }
        let (id, name) = (meta.request, service.name.clone());
        self.journal.record(Event::ClaimCommitted { request: id, service: name });
        self.run_claimed(&request, &service, &key, unsent).await
    }

    async fn claim(
        &self,
        meta: &Meta,
        key: &IdempotencyKey,
        digest: [u8; 32],
        unsent: &Unsent,
    ) -> Result<Claim, Refusal> {
        let done =
            self.ledger.claim(&meta.organisation, key, meta.request, digest, meta.deadline).await;
        done.map_err(|_| {
            // The claim may still be committed; nobody will ever send under it.
            self.ledger.release_later(&meta.organisation, key, meta.request);
            let text = "the claim could not be committed; ask again with the same key";
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
        let (pool, who) = (&service.pool, &meta.organisation);
        // The place is taken behind the claim: a slow ledger must not fill the pool.
        let place = match self.enter(pool, who, CALL_COST, meta.deadline, &unsent).await {
            Ok(place) => place,
            Err(refusal) => return self.release(meta, key, refusal).await,
        };
        let mut proof = Some(unsent);
        let mut tried = Vec::new();
        // The proof is gone as soon as an attempt may have run, and with it the loop.
        while let Some(unsent) = &proof {
            let picked = match self.find_service(request, unsent) {
                Ok(service) => self.pick(&service.pool, None, &tried, &PrefixKeys::default()),
                Err(refusal) => return self.release(meta, key, refusal).await,
            };
            let Some(vm) = picked else {
                let text = "no backend server of this service can take the call";
                let refusal = Refusal::not_run(RefusalCode::NoServer, text, unsent);
                return self.release(meta, key, refusal).await;
            };
            tried.push(vm.vm.clone());
            if let Ok(answer) = self.attempt_call(request, &vm, &mut proof, true).await {
                drop(place);
                return self.settle(meta, key, service, answer).await;
            }
        }
        drop(place);
        self.settle_unknown(meta, key).await
    }

    async fn release(
        &self,
        meta: &Meta,
        key: &IdempotencyKey,
        refusal: Refusal,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + SETTLE_GRACE;
        let released = self.ledger.release(&meta.organisation, key, meta.request, deadline).await;
        if released.is_err() {
            self.ledger.release_later(&meta.organisation, key, meta.request);
        }
        Err(refusal)
    }

    async fn settle(
        &self,
        meta: &Meta,
        key: &IdempotencyKey,
        service: &Service,
        answer: Whole,
    ) -> Result<Answer, Refusal> {
        let stored = StoredAnswer {
            status: answer.status,
            media: answer.media.clone(),
            body: answer.body.clone(),
        };
        let bill = bill_of(meta, service);
        let cost = bill.cost;
        let deadline = Instant::now() + SETTLE_GRACE;
        let outcome = Some((stored, bill));
        let done = self.ledger.settle(&meta.organisation, key, meta.request, outcome, deadline);
        if done.await.is_err() {
            let text =
                "the call ran, but its outcome could not be recorded; ask again with the same key";
            return Err(Refusal::unknown(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request: meta.request, cost });
        Ok(Answer::Whole(answer))
    }

    async fn settle_unknown(&self, meta: &Meta, key: &IdempotencyKey) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + SETTLE_GRACE;
        let done = self.ledger.settle(&meta.organisation, key, meta.request, None, deadline);
        if done.await.is_err() {
            log::warn!("request {}: its open outcome could not be recorded", meta.request);
        }
        Err(open_outcome())
    }
}

fn replayed(stored: StoredAnswer) -> Whole {
    let StoredAnswer { status, media, body } = stored;
    Whole { status, media, body }
}

fn open_outcome() -> Refusal {
    let text =
        "the call may or may not have run and will not be sent again; check with the service";
    Refusal::unknown(RefusalCode::OutcomeUnknown, text)
}

fn digest_of(request: &ServiceRequest) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [request.method.as_str(), request.service.as_str(), &request.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&request.body);
    hash.finalize().into()
}
