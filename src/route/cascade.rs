use super::attempt::Attempts;
use super::chat::{cost_of, prefix_of};
use super::learned::Seen;
use super::refusal::refuse;
use super::request::{ChatRequest, Meta};
use super::{Answer, Refusal, RefusalCode, Router, Unsent, Whole};
use crate::backend::{EngineCall, Rating, Usage, rate};
use crate::control::Exhausted;
use crate::event::Event;
use crate::name::VersionKey;
use crate::policy::Choice;
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest that an answer is kept back for its rating.
const RATING_LIMIT: Duration = Duration::from_secs(1);
/// The cheap version and its rating may take one in so many parts of the time that is left.
const FIRST_PART: u32 = 2;

/// What all answers to one request cost together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Spent {
    pub usage: Usage,
    pub cost: u64,
}

impl Spent {
    /// Adds one answer.
    pub fn add(&mut self, usage: Usage, cost: u64) {
        self.usage.prompt_tokens += usage.prompt_tokens;
        self.usage.completion_tokens += usage.completion_tokens;
        self.cost += cost;
    }
}

/// A whole answer and the version that gave it.
struct Given {
    version: VersionKey,
    body: Bytes,
    rated: Option<f64>,
}

impl Router {
    /// Answers a request that is not streamed: from the chosen version, from the next one where the
    /// answer is rated below the target, and in a session always from the version that is pinned.
    pub(super) async fn whole(
        self: &Arc<Self>,
        request: &ChatRequest,
        choice: &Choice,
        unsent: &mut Option<Unsent>,
    ) -> Result<Answer, Refusal> {
        let meta = &request.meta;
        let mut spent = Spent::default();
        let mut given = match &choice.escalate {
            None => self.give(request, &choice.version, meta.deadline, &mut spent, unsent).await?,
            Some(next) => self.cascade(request, choice, next, &mut spent, unsent).await?,
        };
        if choice.escalate.is_some()
            && let Some(pinned) = self.pin_answered(meta, &given.version, unsent.as_ref()).await?
        {
            given = self.give(request, &pinned, meta.deadline, &mut spent, unsent).await?;
        }
        self.bill_spent(meta, &given.version, spent).await?;
        if given.rated.is_none() {
            self.rate_later(meta, &call_of(request, &given.version), &given.body);
        }
        let media = "application/json".to_owned();
        Ok(Answer::Whole(Whole { status: 200, media, body: given.body }))
    }

    async fn cascade(
        self: &Arc<Self>,
        request: &ChatRequest,
        choice: &Choice,
        next: &VersionKey,
        spent: &mut Spent,
        unsent: &mut Option<Unsent>,
    ) -> Result<Given, Refusal> {
        let meta = &request.meta;
        let left = meta.deadline.saturating_duration_since(Instant::now());
        let until = Instant::now() + left / FIRST_PART;
        let first = self.give(request, &choice.version, until, spent, unsent).await;
        let Ok(mut first) = first else {
            return self.give(request, next, meta.deadline, spent, unsent).await;
        };
        let call = call_of(request, &first.version);
        first.rated = self.rate_now(meta, &call, &first.body, until).await;
        let (target, exhausted) = self.demand(meta);
        if first.rated.is_some_and(|quality| quality >= target) {
            return Ok(first);
        }
        self.journal.record(Event::AnswerEscalated {
            request: meta.request,
            version: next.clone(),
            quality: first.rated,
        });
        match self.give(request, next, meta.deadline, spent, unsent).await {
            Err(_) if exhausted == Exhausted::LeastBad => Ok(first),
            given => given,
        }
    }

    /// Has one version answer.
    async fn give(
        self: &Arc<Self>,
        request: &ChatRequest,
        version: &VersionKey,
        deadline: Instant,
        spent: &mut Spent,
        unsent: &mut Option<Unsent>,
    ) -> Result<Given, Refusal> {
        let call = call_of(request, version);
        let meta = Meta { deadline, ..request.meta.clone() };
        let mut attempts = Attempts::new(&meta, prefix_of(request), cost_of(request));
        let (body, usage) = self.answer(&request.meta, &call, &mut attempts, unsent).await?;
        spent.add(usage, self.cost(version, usage));
        Ok(Given { version: version.clone(), body, rated: None })
    }

    /// Pins the session to the version that answered; the other version where it is pinned already.
    async fn pin_answered(
        &self,
        meta: &Meta,
        version: &VersionKey,
        unsent: Option<&Unsent>,
    ) -> Result<Option<VersionKey>, Refusal> {
        let Some(session) = &meta.session else { return Ok(None) };
        let pin = self.ledger.pin(&meta.organisation, session, version.clone(), meta.deadline);
        let Ok(pinned) = pin.await else {
            let text = "the session's version cannot be recorded now";
            return Err(refuse(RefusalCode::NoLedger, text, unsent));
        };
        self.journal.record(Event::SessionPinned {
            request: meta.request,
            session: session.clone(),
            version: pinned.clone(),
        });
        Ok(Some(pinned).filter(|pinned| pinned != version))
    }

    fn demand(&self, meta: &Meta) -> (f64, Exhausted) {
        let config = self.lease.config();
        let found = config.as_ref().and_then(|c| c.organisations.get(&meta.organisation));
        found.map_or((1.0, Exhausted::Refuse), |o| (o.target(&meta.kind), o.exhausted))
    }

    pub(super) fn cost(&self, version: &VersionKey, usage: Usage) -> u64 {
        let config = self.lease.config();
        let price = config.and_then(|c| c.versions.get(version).map(|v| v.price));
        price.unwrap_or_default().cost(usage.prompt_tokens, usage.completion_tokens)
    }

    /// Has an answer rated before it goes out; `None` where the rating does not come in time.
    async fn rate_now(
        &self,
        meta: &Meta,
        call: &EngineCall,
        answer: &Bytes,
        until: Instant,
    ) -> Option<f64> {
        let until = until.min(Instant::now() + RATING_LIMIT);
        self.rate(meta, &rating_of(meta, call, answer), until).await
    }

    /// Asks the rating service and notes what it says.
    pub(super) async fn rate(&self, meta: &Meta, rating: &Rating, until: Instant) -> Option<f64> {
        let address = self.rating?;
        let asked = Instant::now();
        let rated = rate(&self.connections, address, rating);
        let Ok(Some(quality)) = tokio::time::timeout_at(until.into(), rated).await else {
            self.learner.health.failed();
            return None;
        };
        self.learner.health.came(asked.elapsed());
        let (request, version) = (rating.request, rating.version.clone());
        self.note(&meta.organisation, &meta.kind, &version, Seen::Rated(quality));
        self.journal.record(Event::AnswerRated { request, version, quality });
        Some(quality)
    }
}

/// The call that a version gets for a request.
pub(super) fn call_of(request: &ChatRequest, version: &VersionKey) -> EngineCall {
    EngineCall {
        request: request.meta.request,
        version: version.clone(),
        kind: request.meta.kind.clone(),
        body: request.body.clone(),
        resume: 0,
        stream: request.stream,
    }
}

/// What the rating service is asked about an answer.
pub(super) fn rating_of(meta: &Meta, call: &EngineCall, answer: &Bytes) -> Rating {
    Rating {
        request: call.request,
        version: call.version.clone(),
        kind: meta.kind.clone(),
        prompt: serde_json::to_string(&call.body).unwrap_or_default(),
        answer: String::from_utf8_lossy(answer).into_owned(),
    }
}
