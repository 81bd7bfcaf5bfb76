use super::attempt::Attempts;
use super::chat::{estimate_cost, prefix_keys};
use super::refusal::refuse;
use super::request::{ChatRequest, RequestMeta};
use super::version_selector::AttemptOutcome;
use super::{Answer, BufferedAnswer, Refusal, RefusalCode, Router, Unsent};
use crate::backend::{EngineCall, RatingRequest, Usage, request_rating};
use crate::control::FallbackPolicy;
use crate::event::Event;
use crate::name::VersionKey;
use crate::policy::VersionChoice;
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time that an answer is held back to wait for its rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(1);
/// The first (cheaper) version of a cascade and its rating get the remaining time divided by this,
/// so that the next version still has time to answer.
const FIRST_VERSION_DIVISOR: u32 = 2;

/// Tokens and cost of all answers to one request; both answers of a cascade are billed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TotalUsage {
    pub usage: Usage,
    pub cost: u64,
}

impl TotalUsage {
    /// Adds one answer; `cost` is in millionths of the billing currency.
    pub fn add(&mut self, usage: Usage, cost: u64) {
        self.usage.prompt_tokens += usage.prompt_tokens;
        self.usage.completion_tokens += usage.completion_tokens;
        self.cost += cost;
    }
}

/// A complete answer, the version that gave it, and its rating where it is known.
struct RatedAnswer {
    version: VersionKey,
    body: Bytes,
    rating: Option<f64>,
}

impl Router {
    /// Answers a request that is not streamed.
    ///
    /// The answer comes from the chosen version. In a cascade it comes from the next version if the
    /// first answer is not rated at or above the quality target. In a session it always comes from
    /// the version that the session is pinned to.
    pub(super) async fn answer_buffered(
        self: &Arc<Self>,
        request: &ChatRequest,
        choice: &VersionChoice,
        unsent: &mut Option<Unsent>,
    ) -> Result<Answer, Refusal> {
        let meta = &request.meta;
        let mut total = TotalUsage::default();
        let mut answer = match &choice.escalate_to {
            None => {
                self.answer_with(request, &choice.version, meta.deadline, &mut total, unsent)
                    .await?
            }
            Some(next) => self.cascade(request, choice, next, &mut total, unsent).await?,
        };
        if choice.escalate_to.is_some()
            && let Some(pinned) = self.pin_session(meta, &answer.version, unsent.as_ref()).await?
        {
            answer = self.answer_with(request, &pinned, meta.deadline, &mut total, unsent).await?;
        }
        self.bill_total(meta, &answer.version, total).await?;
        if answer.rating.is_none() {
            self.rate_in_background(meta, &engine_call(request, &answer.version), &answer.body);
        }
        let content_type = "application/json".to_owned();
        Ok(Answer::Buffered(BufferedAnswer { status: 200, content_type, body: answer.body }))
    }

    /// Gets a rated answer from the chosen version, and another one from `next` if the first fails
    /// or is not rated at or above the target within its share of the time.
    async fn cascade(
        self: &Arc<Self>,
        request: &ChatRequest,
        choice: &VersionChoice,
        next: &VersionKey,
        total: &mut TotalUsage,
        unsent: &mut Option<Unsent>,
    ) -> Result<RatedAnswer, Refusal> {
        let meta = &request.meta;
        let remaining = meta.deadline.saturating_duration_since(Instant::now());
        let until = Instant::now() + remaining / FIRST_VERSION_DIVISOR;
        let first = self.answer_with(request, &choice.version, until, total, unsent).await;
        let Ok(mut first) = first else {
            return self.answer_with(request, next, meta.deadline, total, unsent).await;
        };
        let call = engine_call(request, &first.version);
        first.rating = self.rate_now(meta, &call, &first.body, until).await;
        let (target, exhausted) = self.quality_target(meta);
        if first.rating.is_some_and(|quality| quality >= target) {
            return Ok(first);
        }
        self.journal.record(Event::AnswerEscalated {
            request: meta.request,
            version: next.clone(),
            quality: first.rating,
        });
        match self.answer_with(request, next, meta.deadline, total, unsent).await {
            Err(_) if exhausted == FallbackPolicy::BestAvailable => Ok(first),
            answer => answer,
        }
    }

    /// Gets an answer from one version and adds its usage to `total`.
    async fn answer_with(
        self: &Arc<Self>,
        request: &ChatRequest,
        version: &VersionKey,
        deadline: Instant,
        total: &mut TotalUsage,
        unsent: &mut Option<Unsent>,
    ) -> Result<RatedAnswer, Refusal> {
        let call = engine_call(request, version);
        let meta = RequestMeta { deadline, ..request.meta.clone() };
        let mut attempts = Attempts::new(&meta, prefix_keys(request), estimate_cost(request));
        let (body, usage) = self.read_answer(&request.meta, &call, &mut attempts, unsent).await?;
        total.add(usage, self.cost(version, usage));
        Ok(RatedAnswer { version: version.clone(), body, rating: None })
    }

    /// Pins the session to the version that answered. Returns the pinned version if the session was
    /// already pinned to another one, else `None`.
    async fn pin_session(
        &self,
        meta: &RequestMeta,
        version: &VersionKey,
        unsent: Option<&Unsent>,
    ) -> Result<Option<VersionKey>, Refusal> {
        let Some(session) = &meta.session else { return Ok(None) };
        let pin = self.ledger.pin(&meta.organisation, session, version.clone(), meta.deadline);
        let Ok(pinned) = pin.await else {
            let text = "the ledger cannot record the session's version now; retry later";
            return Err(refuse(RefusalCode::NoLedger, text, unsent));
        };
        self.journal.record(Event::SessionPinned {
            request: meta.request,
            session: session.clone(),
            version: pinned.clone(),
        });
        Ok(Some(pinned).filter(|pinned| pinned != version))
    }

    /// Returns the quality target of a request, and what happens if no answer meets it.
    fn quality_target(&self, meta: &RequestMeta) -> (f64, FallbackPolicy) {
        let config = self.lease.config();
        let found = config.as_ref().and_then(|c| c.organisations.get(&meta.organisation));
        found.map_or((1.0, FallbackPolicy::Refuse), |o| (o.quality_target(&meta.kind), o.fallback))
    }

    /// Returns the cost of an answer by the price of its version; 0 without a valid lease or if the
    /// version is not in the configuration.
    pub(super) fn cost(&self, version: &VersionKey, usage: Usage) -> u64 {
        let config = self.lease.config();
        let price = config.and_then(|c| c.versions.get(version).map(|v| v.price));
        price.unwrap_or_default().cost(usage.prompt_tokens, usage.completion_tokens)
    }

    /// Has an answer rated before it is sent to the caller. Returns `None` if the rating does not
    /// arrive in time.
    async fn rate_now(
        &self,
        meta: &RequestMeta,
        call: &EngineCall,
        answer: &Bytes,
        until: Instant,
    ) -> Option<f64> {
        let until = until.min(Instant::now() + RATING_TIMEOUT);
        self.rate(meta, &rating_request(meta, call, answer), until).await
    }

    /// Asks the rating service for a rating and records it. Returns `None` if there is no rating
    /// service or no rating by `until`.
    pub(super) async fn rate(
        &self,
        meta: &RequestMeta,
        rating: &RatingRequest,
        until: Instant,
    ) -> Option<f64> {
        let address = self.rating_service?;
        let asked = Instant::now();
        let rated = request_rating(&self.connections, address, rating);
        let Ok(Some(quality)) = tokio::time::timeout_at(until.into(), rated).await else {
            self.selector.rating_health.record_failure();
            return None;
        };
        self.selector.rating_health.record_success(asked.elapsed());
        let (request, version) = (rating.request, rating.version.clone());
        self.record_outcome(
            &meta.organisation,
            &meta.kind,
            &version,
            AttemptOutcome::Rated(quality),
        );
        self.journal.record(Event::AnswerRated { request, version, quality });
        Some(quality)
    }
}

/// Builds the call to a version for a request.
pub(super) fn engine_call(request: &ChatRequest, version: &VersionKey) -> EngineCall {
    EngineCall {
        request: request.meta.request,
        version: version.clone(),
        kind: request.meta.kind.clone(),
        body: request.body.clone(),
        resume_from: 0,
        stream: request.stream,
    }
}

/// Builds the request to the rating service for an answer.
pub(super) fn rating_request(
    meta: &RequestMeta,
    call: &EngineCall,
    answer: &Bytes,
) -> RatingRequest {
    RatingRequest {
        request: call.request,
        version: call.version.clone(),
        kind: meta.kind.clone(),
        prompt: serde_json::to_string(&call.body).unwrap_or_default(),
        answer: String::from_utf8_lossy(answer).into_owned(),
    }
}
