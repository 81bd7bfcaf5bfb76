use super::attempt::{Attempts, Opened};
use super::counters::Counted;
use super::refusal::refuse;
use super::relay::Relay;
use super::request::{ChatRequest, Meta};
use super::{Answer, Ran, Refusal, RefusalCode, Router, Unsent, Whole};
use crate::backend::{EngineCall, Rating, Usage, rate, usage_of};
use crate::control::{Config, VersionState};
use crate::event::Event;
use crate::ledger::Bill;
use crate::name::VersionKey;
use crate::policy::{ChooseError, PrefixKeys, choose, share_point};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest whole answer of an engine, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// How often a version is chosen anew when the chosen one is withdrawn before anything was sent.
const PLANS: usize = 4;
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
        let version = self.plan(request, proof).await?;
        let (meta, stream) = (request.meta.clone(), request.stream);
        let body = request.body.clone();
        let call = EngineCall { request: meta.request, version, body, resume: 0, stream };
        let mut attempts = Attempts::new(&meta, prefix_of(request), cost_of(request));
        if !stream {
            return self.whole(&meta, &call, &mut attempts, unsent).await;
        }
        let opened = attempts.open(self, &call, unsent).await?;
        Ok(Relay::spawn(self.clone(), meta, call, attempts, opened, counted.clone()))
    }

    /// The version that must answer: the session's, or a new choice, pinned.
    async fn plan(&self, request: &ChatRequest, unsent: &Unsent) -> Result<VersionKey, Refusal> {
        let meta = &request.meta;
        let config = self.config(unsent)?;
        let Some(session) = &meta.session else { return self.choose(&config, request, unsent) };
        if let Some(version) = self.ledger.cached_pin(&meta.organisation, session) {
            return check_pinned(&config, version, unsent);
        }
        let wanted = self.choose(&config, request, unsent)?;
        let pin = self.ledger.pin(&meta.organisation, session, wanted, meta.deadline);
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
    ) -> Result<VersionKey, Refusal> {
        let meta = &request.meta;
        let Some(organisation) = config.organisations.get(&meta.organisation) else {
            let text = "the organisation of this key is gone";
            return Err(Refusal::not_run(RefusalCode::UnknownKey, text, unsent));
        };
        let point = share_point(&share_seed(meta));
        match choose(config, organisation, &meta.kind, &request.wish, point) {
            Ok(choice) => {
                self.journal.record(Event::VersionChosen {
                    request: meta.request,
                    version: choice.version.clone(),
                    reason: choice.reason,
                });
                Ok(choice.version)
            }
            Err(error) => Err(Refusal::not_run(code_of(&error), error.to_string(), unsent)),
        }
    }

    async fn whole(
        self: &Arc<Self>,
        meta: &Meta,
        call: &EngineCall,
        attempts: &mut Attempts,
        unsent: &mut Option<Unsent>,
    ) -> Result<Answer, Refusal> {
        loop {
            let opened = attempts.open(self, call, unsent).await?;
            let Some((body, usage)) = read_whole(opened, meta.deadline).await else {
                let reason = "the answer broke off".to_owned();
                let server = attempts.tried.last().cloned().expect("an attempt was made");
                self.journal.record(Event::AttemptFailed { request: call.request, server, reason });
                continue;
            };
            self.bill(meta, &call.version, usage).await?;
            self.rate_later(meta, call, &body);
            let media = "application/json".to_owned();
            return Ok(Answer::Whole(Whole { status: 200, media, body }));
        }
    }

    /// Commits the bill of an answered request.
    pub(super) async fn bill(
        &self,
        meta: &Meta,
        version: &VersionKey,
        usage: Usage,
    ) -> Result<(), Refusal> {
        let config = self.lease.config();
        let price = config.and_then(|c| c.versions.get(version).map(|v| v.price));
        let (prompt, answer) = (usage.prompt_tokens, usage.completion_tokens);
        let cost = price.unwrap_or_default().cost(prompt, answer);
        let request = meta.request;
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

    /// Has a sample of the answers rated, after they went out.
    pub(super) fn rate_later(self: &Arc<Self>, meta: &Meta, call: &EngineCall, answer: &Bytes) {
        const THOUSAND: u64 = 1_000;
        let Some(address) = self.rating else { return };
        if rand::random_range(0..THOUSAND) >= self.sample {
            return;
        }
        let rating = Rating {
            request: call.request,
            version: call.version.clone(),
            kind: meta.kind.clone(),
            prompt: serde_json::to_string(&call.body).unwrap_or_default(),
            answer: String::from_utf8_lossy(answer).into_owned(),
        };
        let router = self.clone();
        tokio::spawn(async move {
            if let Some(quality) = rate(&router.connections, address, &rating).await {
                let (request, version) = (rating.request, rating.version);
                router.journal.record(Event::AnswerRated { request, version, quality });
            }
        });
    }
}

async fn read_whole(opened: Opened, deadline: Instant) -> Option<(Bytes, Usage)> {
    let body = Limited::new(opened.response.into_body(), ANSWER_BYTES).collect();
    let body = tokio::time::timeout_at(deadline.into(), body).await.ok()?.ok()?.to_bytes();
    let usage = usage_of(&body)?;
    Some((body, usage))
}

fn check_pinned(
    config: &Config,
    version: VersionKey,
    unsent: &Unsent,
) -> Result<VersionKey, Refusal> {
    match config.versions.get(&version).map(|v| v.state) {
        Some(VersionState::Open | VersionState::Closing) => Ok(version),
        _ => {
            let text = format!(
                "this session began on version '{version}', which was withdrawn; begin a new session"
            );
            Err(Refusal::not_run(RefusalCode::VersionWithdrawn, text, unsent))
        }
    }
}

/// The work that a request is expected to be, in tokens of an answer.
fn cost_of(request: &ChatRequest) -> f64 {
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
fn prefix_of(request: &ChatRequest) -> PrefixKeys {
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
