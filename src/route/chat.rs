use super::attempt::{Attempts, Opened};
use super::cascade::{Spent, call_of, rating_of};
use super::counters::Counted;
use super::learned::Seen;
use super::refusal::refuse;
use super::relay::Relay;
use super::request::{ChatRequest, Meta};
use super::{Answer, Ran, Refusal, RefusalCode, Router, Unsent};
use crate::backend::{EngineCall, Usage, WholeAnswer, estimate_tokens};
use crate::control::{Config, VersionState};
use crate::event::Event;
use crate::ledger::Bill;
use crate::name::{OrganisationName, TaskKind, VersionKey};
use crate::policy::{Choice, ChooseError, Draw, PrefixKeys};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest whole answer of an engine, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// How often a version is chosen anew when the chosen one is withdrawn before anything was sent.
const PLANS: usize = 4;
/// The longest that a rating is waited for after the answer went out.
const LATE_RATING: Duration = Duration::from_secs(5);
/// How long committing a bill may take behind the request's deadline.
pub(super) const BILL_GRACE: Duration = Duration::from_secs(10);

impl Router {
    /// Serves a chat completion.
    pub async fn chat(self: &Arc<Self>, request: ChatRequest, unsent: Unsent) -> Answer {
        let counted = Arc::new(self.counters.enter());
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
        for _ in 0..PLANS {
            match self.serve_planned(&request, &mut unsent, &counted).await {
                Ok(answer) => return answer,
                Err(refusal) if may_plan_again(&request.meta, &refusal) => continue,
                Err(refusal) => return self.refuse(id, refusal),
            }
        }
        let text = "versions are withdrawn faster than they can be chosen";
        self.refuse(id, refuse(RefusalCode::NoVersion, text, unsent.as_ref()))
    }

    /// Chooses a version and has it answer.
    async fn serve_planned(
        self: &Arc<Self>,
        request: &ChatRequest,
        unsent: &mut Option<Unsent>,
        counted: &Arc<Counted>,
    ) -> Result<Answer, Refusal> {
        let Some(proof) = unsent.as_ref() else {
            return Err(Refusal::unknown(
                RefusalCode::BackendFailed,
                "the request was sent before",
            ));
        };
        let choice = self.plan(request, proof).await?;
        if !request.stream {
            return self.whole(request, &choice, unsent).await;
        }
        let meta = request.meta.clone();
        let call = call_of(request, &choice.version);
        let mut attempts = Attempts::new(&meta, prefix_of(request), cost_of(request));
        let opened = attempts.open(self, &call, unsent).await?;
        Ok(Relay::spawn(self.clone(), meta, call, attempts, opened, counted.clone()))
    }

    /// The version that must answer: the session's, or a new choice. The session is pinned to it,
    /// unless the answer may come from the next version of a cascade.
    async fn plan(&self, request: &ChatRequest, unsent: &Unsent) -> Result<Choice, Refusal> {
        let meta = &request.meta;
        let config = self.config(unsent)?;
        let Some(session) = &meta.session else { return self.choose(&config, request, unsent) };
        if let Some(version) = self.ledger.cached_pin(&meta.organisation, session) {
            return check_pinned(&config, version, unsent);
        }
        let wanted = self.choose(&config, request, unsent)?;
        if wanted.escalate.is_some() {
            return Ok(wanted);
        }
        let pin = self.ledger.pin(&meta.organisation, session, wanted.version, meta.deadline);
        let Ok(version) = pin.await else {
            let text = "the session's version cannot be looked up now";
            return Err(Refusal::not_run(RefusalCode::NoLedger, text, unsent));
        };
        self.journal.record(Event::SessionPinned {
            request: meta.request,
            session: session.clone(),
            version: version.clone(),
        });
        check_pinned(&config, version, unsent)
    }

    fn choose(
        &self,
        config: &Config,
        request: &ChatRequest,
        unsent: &Unsent,
    ) -> Result<Choice, Refusal> {
        let meta = &request.meta;
        let Some(organisation) = config.organisations.get(&meta.organisation) else {
            let text = "the organisation of this key is gone";
            return Err(Refusal::not_run(RefusalCode::UnknownKey, text, unsent));
        };
        let draw = Draw::of(&share_seed(meta), may_cascade(request));
        match self.learner.choose(config, organisation, meta, &request.wish, draw) {
            Ok(choice) => {
                self.journal.record(Event::VersionChosen {
                    request: meta.request,
                    version: choice.version.clone(),
                    reason: choice.reason.clone(),
                });
                Ok(choice)
            }
            Err(error) => Err(Refusal::not_run(code_of(&error), error.to_string(), unsent)),
        }
    }

    /// Reads a whole answer, from another server where one breaks off.
    pub(super) async fn answer(
        &self,
        meta: &Meta,
        call: &EngineCall,
        attempts: &mut Attempts,
        unsent: &mut Option<Unsent>,
    ) -> Result<(Bytes, Usage), Refusal> {
        let began = Instant::now();
        loop {
            let opened = attempts.open(self, call, unsent).await?;
            let Opened { response, server, call: under_way, lent, .. } = opened;
            let note = |seen| self.note(&meta.organisation, &meta.kind, &call.version, seen);
            let reason = match read_whole(response, call, attempts.deadline).await {
                Ok((body, usage)) => {
                    lent.give_back();
                    note(Seen::Whole(usage, began.elapsed()));
                    return Ok((body, usage));
                }
                Err(Spoilt::Broken) => "the answer broke off".to_owned(),
                Err(Spoilt::Malformed) => {
                    note(Seen::Malformed);
                    "the answer was malformed".to_owned()
                }
            };
            under_way.failed(&reason);
            self.journal.record(Event::AttemptFailed { request: call.request, server, reason });
        }
    }

    /// Notes what became of an attempt, for later choices.
    pub(super) fn note(
        &self,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
        seen: Seen,
    ) {
        if let Some(config) = self.lease.config() {
            self.learner.note(&config, organisation, kind, version, seen);
        }
    }

    /// Commits the bill of a request that one answer served.
    pub(super) async fn bill(
        &self,
        meta: &Meta,
        version: &VersionKey,
        usage: Usage,
    ) -> Result<(), Refusal> {
        let mut spent = Spent::default();
        spent.add(usage, self.cost(version, usage));
        self.bill_spent(meta, version, spent).await
    }

    /// Commits the bill of an answered request, with the cost of all its answers.
    pub(super) async fn bill_spent(
        &self,
        meta: &Meta,
        version: &VersionKey,
        spent: Spent,
    ) -> Result<(), Refusal> {
        let (prompt, answer) = (spent.usage.prompt_tokens, spent.usage.completion_tokens);
        let (request, cost) = (meta.request, spent.cost);
        let bill = Bill { request, item: version.to_string(), prompt, answer, cost };
        let deadline = Instant::now() + BILL_GRACE;
        let done = self.ledger.bill(&meta.organisation, meta.session.as_ref(), bill, deadline);
        if done.await.is_err() {
            let text = "the answer could not be billed and is withheld";
            return Err(Refusal::unknown(RefusalCode::NoLedger, text));
        }
        self.journal.record(Event::AnswerBilled { request, cost });
        Ok(())
    }

    /// Whether an answer is among those that are to be rated.
    pub(super) fn is_sampled(&self, meta: &Meta, version: &VersionKey) -> bool {
        const THOUSAND: u64 = 1_000;
        let Some(config) = self.lease.config().filter(|_| self.rating.is_some()) else {
            return false;
        };
        let share = self.learner.sample(&config, meta, version);
        rand::random_range(0..THOUSAND) < share && self.learner.health.millis().is_some()
    }

    /// Has a sample of the answers rated, after they went out.
    pub(super) fn rate_later(self: &Arc<Self>, meta: &Meta, call: &EngineCall, answer: &Bytes) {
        if self.is_sampled(meta, &call.version) {
            self.rate_sampled(meta, call, answer);
        }
    }

    /// Has an answer of the sample rated, after it went out.
    pub(super) fn rate_sampled(self: &Arc<Self>, meta: &Meta, call: &EngineCall, answer: &Bytes) {
        let Ok(permit) = self.ratings.clone().try_acquire_owned() else { return };
        let rating = rating_of(meta, call, answer);
        let (router, meta) = (self.clone(), meta.clone());
        tokio::spawn(async move {
            router.rate(&meta, &rating, Instant::now() + LATE_RATING).await;
            drop(permit);
        });
    }
}

/// Why an answer could not be used.
enum Spoilt {
    /// The connection or the time ended; the version need not be at fault.
    Broken,
    /// The version gave something that is no answer.
    Malformed,
}

async fn read_whole(
    response: Response<Incoming>,
    call: &EngineCall,
    deadline: tokio::time::Instant,
) -> Result<(Bytes, Usage), Spoilt> {
    let body = Limited::new(response.into_body(), ANSWER_BYTES).collect();
    let read = tokio::time::timeout_at(deadline, body).await;
    let body = read.map_err(|_| Spoilt::Broken)?.map_err(|_| Spoilt::Broken)?.to_bytes();
    let answer = WholeAnswer::read(&body).ok_or(Spoilt::Malformed)?;
    let usage = answer.usage().unwrap_or_else(|| estimated(call, &body));
    Ok((body, usage))
}

fn estimated(call: &EngineCall, body: &Bytes) -> Usage {
    let answer = serde_json::from_slice(body).unwrap_or_default();
    Usage {
        prompt_tokens: estimate_tokens(&call.body),
        completion_tokens: estimate_tokens(&answer),
    }
}

fn check_pinned(config: &Config, version: VersionKey, unsent: &Unsent) -> Result<Choice, Refusal> {
    match config.versions.get(&version).map(|v| v.state) {
        Some(VersionState::Open | VersionState::Closing) => {
            let reason = "the session's version".to_owned();
            Ok(Choice { version, escalate: None, reason })
        }
        _ => {
            let text = format!(
                "this session began on version '{version}', which was withdrawn; begin a new session"
            );
            Err(Refusal::not_run(RefusalCode::VersionWithdrawn, text, unsent))
        }
    }
}

/// The work that a request is expected to be, in tokens of an answer.
pub(super) fn cost_of(request: &ChatRequest) -> f64 {
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

/// The prefix that a conversation shares with its earlier turns and with others that begin alike.
pub(super) fn prefix_of(request: &ChatRequest) -> PrefixKeys {
    let messages = request.body.get("messages").and_then(Value::as_array);
    let mut text = String::new();
    for message in messages.into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or(""));
        text.push_str(message["content"].as_str().unwrap_or(""));
    }
    PrefixKeys::of(&text)
}

/// Whether another version may be chosen: nothing was sent and no session is bound.
fn may_plan_again(meta: &Meta, refusal: &Refusal) -> bool {
    let withdrawn = refusal.code == RefusalCode::VersionWithdrawn;
    withdrawn && refusal.ran == Ran::No && meta.session.is_none()
}

/// Whether an answer may be judged before it goes out: it is not streamed, and within a session it is
/// the first one.
fn may_cascade(request: &ChatRequest) -> bool {
    let messages = request.body.get("messages").and_then(Value::as_array);
    let answered = |message: &Value| message["role"] == "assistant";
    let first = !messages.into_iter().flatten().any(answered);
    !request.stream && (request.meta.session.is_none() || first)
}

fn share_seed(meta: &Meta) -> String {
    match &meta.session {
        Some(session) => format!("{}/{session}", meta.organisation),
        None => meta.request.to_string(),
    }
}

fn code_of(error: &ChooseError) -> RefusalCode {
    match error {
        ChooseError::Unknown(_) => RefusalCode::UnknownModel,
        ChooseError::NotAllowed(_) => RefusalCode::NotAllowed,
        ChooseError::NoneOpen | ChooseError::BelowTarget => RefusalCode::NoVersion,
    }
}
