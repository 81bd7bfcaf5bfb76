use super::attempt::{Attempts, StartedResponse};
use super::cascade::{TotalUsage, engine_call, rating_request};
use super::refusal::refuse;
use super::relay::Relay;
use super::request::{ChatRequest, RequestMeta};
use super::request_counter::CountedRequest;
use super::version_selector::AttemptOutcome;
use super::{Answer, Ran, Refusal, RefusalCode, Router, Unsent};
use crate::backend::{BackendBody, ByteShare, ChatCompletion, EngineCall, Usage, estimate_tokens};
use crate::control::{Config, VersionState};
use crate::event::Event;
use crate::ledger::Bill;
use crate::name::{OrganisationName, TaskKind, VersionKey};
use crate::policy::{ChooseError, PrefixKeys, ShareDraw, VersionChoice};
use bytes::Bytes;
use http::Response;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest answer of an engine that is not streamed; a larger one counts as interrupted.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of times that a version is chosen for a request, each time because the previous
/// choice was withdrawn before anything was sent.
const MAX_CHOICES: usize = 4;
/// Timeout of a rating that is requested after the answer was sent to the caller.
const BACKGROUND_RATING_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for committing a bill. It starts when the answer is complete, so that an answer that
/// arrives just before the request's deadline can still be billed.
pub(super) const BILL_TIMEOUT: Duration = Duration::from_secs(10);

impl Router {
    /// Serves a chat completion request.
    pub async fn chat(self: &Arc<Self>, request: ChatRequest, unsent: Unsent) -> Answer {
        let counted = Arc::new(self.counter.start());
        let id = request.meta.request;
        self.journal.record(Event::RequestAdmitted {
            request: id,
            organisation: request.meta.organisation.clone(),
            kind: request.meta.kind.to_string(),
        });
        if let Some(session) = request.meta.session.clone() {
            self.journal.record(Event::SessionJoined { request: id, session });
        }
        let mut unsent = Some(unsent);
        for _ in 0..MAX_CHOICES {
            match self.try_serve(&request, &mut unsent, &counted).await {
                Ok(answer) => return answer,
                Err(refusal) if may_choose_again(&request.meta, &refusal) => continue,
                Err(refusal) => return self.refuse(id, refusal),
            }
        }
        let text = "each chosen version was withdrawn before the request was sent; retry later";
        self.refuse(id, refuse(RefusalCode::NoVersion, text, unsent.as_ref()))
    }

    /// Chooses a version and gets the answer from it.
    async fn try_serve(
        self: &Arc<Self>,
        request: &ChatRequest,
        unsent: &mut Option<Unsent>,
        counted: &Arc<CountedRequest>,
    ) -> Result<Answer, Refusal> {
        let Some(unsent_proof) = unsent.as_ref() else {
            return Err(Refusal::may_have_run(
                RefusalCode::BackendFailed,
                "a previous attempt may already have run the request",
            ));
        };
        let choice = self.select_version(request, unsent_proof).await?;
        if !request.stream {
            return self.answer_buffered(request, &choice, unsent).await;
        }
        let meta = request.meta.clone();
        let call = engine_call(request, &choice.version);
        let mut attempts = Attempts::new(&meta, prefix_keys(request), estimate_cost(request));
        let started = attempts.send(self, &call, unsent).await?;
        Ok(Relay::spawn(self.clone(), meta, call, attempts, started, counted.clone()))
    }

    /// Returns the version that must answer: the one that the session is pinned to, or a new
    /// choice.
    ///
    /// The session is pinned to a new choice, unless it is a cascade: there the pin waits until it
    /// is known which version answered.
    async fn select_version(
        &self,
        request: &ChatRequest,
        unsent: &Unsent,
    ) -> Result<VersionChoice, Refusal> {
        let meta = &request.meta;
        let config = self.config(unsent)?;
        let Some(session) = &meta.session else {
            return self.choose_version(&config, request, unsent);
        };
        if let Some(version) = self.ledger.cached_pin(&meta.organisation, session) {
            return check_pinned(&config, version, unsent);
        }
        let choice = self.choose_version(&config, request, unsent)?;
        if choice.escalate_to.is_some() {
            return Ok(choice);
        }
        let pin = self.ledger.pin(&meta.organisation, session, choice.version, meta.deadline);
        let Ok(version) = pin.await else {
            let text = "the ledger with the session's version is unreachable; retry later";
            return Err(Refusal::not_run(RefusalCode::NoLedger, text, unsent));
        };
        self.journal.record(Event::SessionPinned {
            request: meta.request,
            session: session.clone(),
            version: version.clone(),
        });
        check_pinned(&config, version, unsent)
    }

    fn choose_version(
        &self,
        config: &Config,
        request: &ChatRequest,
        unsent: &Unsent,
    ) -> Result<VersionChoice, Refusal> {
        let meta = &request.meta;
        let Some(organisation) = config.organisations.get(&meta.organisation) else {
            let text = "the organisation of this API key no longer exists; use another key";
            return Err(Refusal::not_run(RefusalCode::UnknownKey, text, unsent));
        };
        let draw = ShareDraw::of(&draw_seed(meta), may_cascade(request));
        match self.selector.choose(config, organisation, meta, &request.model, draw) {
            Ok(choice) => {
                self.journal.record(Event::VersionChosen {
                    request: meta.request,
                    version: choice.version.clone(),
                    reason: choice.reason.clone(),
                });
                Ok(choice)
            }
            Err(error) => Err(Refusal::not_run(refusal_code(&error), error.to_string(), unsent)),
        }
    }

    /// Reads a complete answer. If a response is interrupted or malformed, another attempt is made.
    pub(super) async fn read_answer(
        &self,
        meta: &RequestMeta,
        call: &EngineCall,
        attempts: &mut Attempts,
        unsent: &mut Option<Unsent>,
    ) -> Result<(Bytes, Usage), Refusal> {
        let began = Instant::now();
        loop {
            let started = attempts.send(self, call, unsent).await?;
            let StartedResponse { response, server, call: active_call, connection, .. } = started;
            let record = |outcome| {
                self.record_outcome(&meta.organisation, &meta.kind, &call.version, outcome)
            };
            let reason =
                match read_body(response, self.buffers.share(), call, attempts.deadline).await {
                    Ok((body, usage)) => {
                        connection.return_to_pool();
                        record(AttemptOutcome::Completed(usage, began.elapsed()));
                        return Ok((body, usage));
                    }
                    Err(AnswerError::Interrupted) => "the response was interrupted".to_owned(),
                    Err(AnswerError::Malformed) => {
                        record(AttemptOutcome::Malformed);
                        "the response was malformed".to_owned()
                    }
                };
            active_call.record_failure(&reason);
            self.journal.record(Event::AttemptFailed { request: call.request, server, reason });
        }
    }

    /// Records the outcome of an attempt for later choices of a version. Ignored without a lease.
    pub(super) fn record_outcome(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
        outcome: AttemptOutcome,
    ) {
        if let Some(config) = self.lease.config() {
            self.selector.record(&config, organisation, kind, version, outcome);
        }
    }

    /// Commits the bill of a request that got a single answer.
    pub(super) async fn bill(
        &self,
        meta: &RequestMeta,
        version: &VersionKey,
        usage: Usage,
    ) -> Result<(), Refusal> {
        let mut total = TotalUsage::default();
        total.add(usage, self.cost(version, usage));
        self.bill_total(meta, version, total).await
    }

    /// Commits the bill of an answered request, with the tokens and cost of all its answers. The
    /// caller must not get the answer if this fails.
    pub(super) async fn bill_total(
        &self,
        meta: &RequestMeta,
        version: &VersionKey,
        total: TotalUsage,
    ) -> Result<(), Refusal> {
        let (prompt, answer) = (total.usage.prompt_tokens, total.usage.completion_tokens);
        let (request, cost) = (meta.request, total.cost);
        let bill = Bill {
            request,
            item: version.to_string(),
            prompt_tokens: prompt,
            answer_tokens: answer,
            cost,
        };
        let deadline = Instant::now() + BILL_TIMEOUT;
        let done = self.ledger.bill(&meta.organisation, meta.session.as_ref(), bill, deadline);
        if done.await.is_err() {
            let text = "the answer is withheld because it could not be billed; retry later";
            return Err(Refusal::may_have_run(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request, cost });
        Ok(())
    }

    /// Whether an answer is part of the random sample that is rated.
    pub(super) fn is_sampled(&self, meta: &RequestMeta, version: &VersionKey) -> bool {
        const PER_MILLE: u64 = 1_000;
        let Some(config) = self.lease.config().filter(|_| self.rating_service.is_some()) else {
            return false;
        };
        let sample_permille = self.selector.sample_permille(&config, meta, version);
        rand::random_range(0..PER_MILLE) < sample_permille
            && self.selector.rating_health.latency_ms().is_some()
    }

    /// Has an answer rated in the background if it is part of the sample.
    pub(super) fn rate_in_background(
        self: &Arc<Self>,
        meta: &RequestMeta,
        call: &EngineCall,
        answer: &Bytes,
    ) {
        if self.is_sampled(meta, &call.version) {
            self.rate_sampled(meta, call, answer);
        }
    }

    /// Has an answer of the sample rated in the background. It is skipped if too many ratings are
    /// pending already.
    pub(super) fn rate_sampled(
        self: &Arc<Self>,
        meta: &RequestMeta,
        call: &EngineCall,
        answer: &Bytes,
    ) {
        let Ok(permit) = self.rating_slots.clone().try_acquire_owned() else { return };
        let rating = rating_request(meta, call, answer);
        let (router, meta) = (self.clone(), meta.clone());
        tokio::spawn(async move {
            router.rate(&meta, &rating, Instant::now() + BACKGROUND_RATING_TIMEOUT).await;
            drop(permit);
        });
    }
}

/// Why a response gave no usable answer.
enum AnswerError {
    /// The connection failed, the answer was too large or the deadline passed; not necessarily a
    /// failure of the version.
    Interrupted,
    /// The body is not a valid chat completion, which is a failure of the version.
    Malformed,
}

async fn read_body(
    response: Response<BackendBody>,
    mut share: ByteShare,
    call: &EngineCall,
    deadline: tokio::time::Instant,
) -> Result<(Bytes, Usage), AnswerError> {
    let mut body = response.into_body();
    let read = tokio::time::timeout_at(deadline, body.read_whole(MAX_ANSWER_BYTES, &mut share));
    let body = read
        .await
        .map_err(|_| AnswerError::Interrupted)?
        .inspect_err(|error| log::warn!("request {}: {error}", call.request))
        .map_err(|_| AnswerError::Interrupted)?;
    let answer = ChatCompletion::parse(&body).ok_or(AnswerError::Malformed)?;
    let usage = answer.usage().unwrap_or_else(|| estimate_usage(call, &body));
    Ok((body, usage))
}

fn estimate_usage(call: &EngineCall, body: &Bytes) -> Usage {
    let answer = serde_json::from_slice(body).unwrap_or_default();
    Usage {
        prompt_tokens: estimate_tokens(&call.body),
        completion_tokens: estimate_tokens(&answer),
    }
}

fn check_pinned(
    config: &Config,
    version: VersionKey,
    unsent: &Unsent,
) -> Result<VersionChoice, Refusal> {
    match config.versions.get(&version).map(|v| v.state) {
        Some(VersionState::Open | VersionState::Closing) => {
            let reason = "pinned to the session".to_owned();
            Ok(VersionChoice { version, escalate_to: None, reason })
        }
        _ => {
            let text =
                format!("version '{version}' of this session was withdrawn; start a new session");
            Err(Refusal::not_run(RefusalCode::VersionWithdrawn, text, unsent))
        }
    }
}

/// Estimates the work of a request, in answer tokens. A prompt token counts as a tenth of one.
pub(super) fn estimate_cost(request: &ChatRequest) -> f64 {
    const TYPICAL_ANSWER_TOKENS: u64 = 250;
    const BYTES_PER_TOKEN: f64 = 4.0;
    const PROMPT_TOKENS_PER_ANSWER_TOKEN: f64 = 10.0;
    let answer = request.body.get("max_tokens").and_then(Value::as_u64);
    let answer = answer.unwrap_or(TYPICAL_ANSWER_TOKENS) as f64;
    let messages = request.body.get("messages").and_then(Value::as_array);
    let contents = messages.into_iter().flatten().filter_map(|m| m["content"].as_str());
    let bytes: usize = contents.map(str::len).sum();
    answer + bytes as f64 / BYTES_PER_TOKEN / PROMPT_TOKENS_PER_ANSWER_TOKEN
}

/// Returns the prefix keys of a conversation. It shares them with its own earlier turns and with
/// other conversations that start with the same text.
pub(super) fn prefix_keys(request: &ChatRequest) -> PrefixKeys {
    let messages = request.body.get("messages").and_then(Value::as_array);
    let mut text = String::new();
    for message in messages.into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or(""));
        text.push_str(message["content"].as_str().unwrap_or(""));
    }
    PrefixKeys::of(&text)
}

/// Whether another version may be chosen: the chosen one was withdrawn, nothing was sent and the
/// request belongs to no session.
fn may_choose_again(meta: &RequestMeta, refusal: &Refusal) -> bool {
    let withdrawn = refusal.code == RefusalCode::VersionWithdrawn;
    withdrawn && refusal.ran == Ran::No && meta.session.is_none()
}

/// Whether the request may be answered by a cascade, which rates an answer before it is sent: the
/// request is not streamed, and in a session it is the first turn.
fn may_cascade(request: &ChatRequest) -> bool {
    let messages = request.body.get("messages").and_then(Value::as_array);
    let answered = |message: &Value| message["role"] == "assistant";
    let first = !messages.into_iter().flatten().any(answered);
    !request.stream && (request.meta.session.is_none() || first)
}

fn draw_seed(meta: &RequestMeta) -> String {
    match &meta.session {
        Some(session) => format!("{}/{session}", meta.organisation),
        None => meta.request.to_string(),
    }
}

fn refusal_code(error: &ChooseError) -> RefusalCode {
    match error {
        ChooseError::Unknown(_) => RefusalCode::UnknownModel,
        ChooseError::NotAllowed(_) => RefusalCode::NotAllowed,
        ChooseError::NoneOpen | ChooseError::BelowTarget => RefusalCode::NoVersion,
    }
}
