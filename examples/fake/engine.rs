//! Fake model engine: chat completions in the OpenAI format, load reports, and orders with fencing
//! tokens.
//!
//! Options: `--tokens` (per answer), `--delay-us` (before each token), `--first-us` (before the
//! first token), `--prefill-us` (for each block of the prompt that is not cached),
//! `--cache-blocks`, `--slots` (requests that run at once), `--lag-ms` (minimum age of load
//! reports), `--versions=a/b,c/d` (loaded versions) and `--fenced=true` (reject orders with an old
//! fencing token).
//!
//! `POST /fake/set` changes `tokens`, `delay_us`, `first_us`, `break_after` (abort streams after
//! that many tokens), `silent_after` (stall streams after that many tokens) and `status` (of the
//! response). `GET /fake/log` lists the requests received, `GET /fake/orders` the orders accepted.

use crate::http_server::{Body, json_response, read_json, serve};
use crate::options::FakeOptions;
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use samphireshift::backend::{CacheChange, CacheEvent};
use samphireshift::policy::PrefixKeys;
use serde_json::{Value, json as value};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;

const DEFAULT_TOKENS: u64 = 20;
/// Prompt tokens in the usage of each answer, whatever the prompt.
const PROMPT_TOKENS: u64 = 12;

#[derive(Debug, Clone)]
struct EngineBehaviour {
    tokens: u64,
    token_delay: Duration,
    first_delay: Duration,
    break_after: u64,
    silent_after: u64,
    status: u16,
}

struct FakeEngine {
    behaviour: Mutex<EngineBehaviour>,
    running: Mutex<u64>,
    request_log: Mutex<Vec<Value>>,
    versions: Mutex<Vec<String>>,
    newest_fence: Mutex<u64>,
    orders: Mutex<Vec<Value>>,
    checks_fence: bool,
    slot_count: u64,
    slot_permits: Semaphore,
    prefill_delay: Duration,
    cache: Mutex<PrefixCache>,
    delayed_report: Mutex<Value>,
}

/// Prefix cache of prompt blocks, least recently used first.
struct PrefixCache {
    blocks: VecDeque<PrefixKeys>,
    max_blocks: usize,
    evictions: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Caches the blocks of a prompt, evicts the oldest ones over the limit, and returns how many
    /// blocks of the prompt were not cached before.
    fn insert_prompt(&mut self, prompt: &str) -> u32 {
        let mut misses = 0;
        for key in PrefixKeys::of(prompt).split_blocks() {
            let before = self.blocks.len();
            self.blocks.retain(|block| *block != key);
            misses += u32::from(self.blocks.len() == before);
            self.blocks.push_back(key);
        }
        while self.blocks.len() > self.max_blocks {
            let block = self.blocks.pop_front().expect("the cache is over its limit");
            let (number, change) = (self.evictions.len() as u64 + 1, CacheChange::Dropped);
            self.evictions.push(CacheEvent { number, change, blocks: block.hashes().to_vec() });
        }
        misses
    }
}

/// Serves the engine.
pub async fn run(options: FakeOptions) -> io::Result<()> {
    let micros = |name: &str| Duration::from_micros(options.get(name, 0));
    let behaviour = EngineBehaviour {
        tokens: options.get("tokens", DEFAULT_TOKENS),
        token_delay: micros("delay-us"),
        first_delay: micros("first-us"),
        break_after: u64::MAX,
        silent_after: u64::MAX,
        status: 200,
    };
    let versions: String = options.get("versions", String::new());
    let versions = versions.split(',').filter(|v| !v.is_empty()).map(str::to_owned).collect();
    let engine = Arc::new(FakeEngine {
        behaviour: Mutex::new(behaviour),
        running: Mutex::new(0),
        request_log: Mutex::default(),
        versions: Mutex::new(versions),
        newest_fence: Mutex::new(0),
        orders: Mutex::default(),
        checks_fence: options.get("fenced", true),
        slot_count: options.get("slots", 8),
        slot_permits: Semaphore::new(options.get("slots", 8)),
        prefill_delay: micros("prefill-us"),
        cache: Mutex::new(PrefixCache {
            blocks: VecDeque::new(),
            max_blocks: options.get("cache-blocks", 256),
            evictions: Vec::new(),
        }),
        delayed_report: Mutex::default(),
    });
    let lag = Duration::from_millis(options.get("lag-ms", 0));
    if !lag.is_zero() {
        tokio::spawn(refresh_delayed_report(engine.clone(), lag));
    }
    let handler = move |request: Request<Incoming>| {
        let engine = engine.clone();
        Box::pin(async move { engine.handle(request).await }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}

/// Publishes a load report `lag` after it was taken, then takes the next one; the published report
/// is from one to two `lag` old.
async fn refresh_delayed_report(engine: Arc<FakeEngine>, lag: Duration) {
    loop {
        let load = engine.load_report();
        tokio::time::sleep(lag).await;
        *engine.delayed_report.lock().unwrap() = load;
    }
}

/// Counts a request as running until it is dropped.
struct RunningRequest(Arc<FakeEngine>);

impl RunningRequest {
    fn start(engine: &Arc<FakeEngine>) -> Self {
        *engine.running.lock().unwrap() += 1;
        Self(engine.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        *self.0.running.lock().unwrap() -= 1;
    }
}

impl FakeEngine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/chat/completions" => self.handle_completion(request).await,
            "/v1/load" => {
                let delayed = self.delayed_report.lock().unwrap().clone();
                Some(json_response(
                    200,
                    &if delayed.is_null() { self.load_report() } else { delayed },
                ))
            }
            "/fake/orders" => {
                Some(json_response(200, &Value::from(self.orders.lock().unwrap().clone())))
            }
            "/v1/cache-events" => {
                let query = request.uri().query().and_then(|query| query.strip_prefix("after="));
                let after = query.and_then(|text| text.parse().ok()).unwrap_or(0);
                let cache = self.cache.lock().unwrap();
                let events = cache.evictions.get(after..).unwrap_or_default();
                Some(json_response(200, &value!(events)))
            }
            "/v1/orders" => Some(self.handle_order(read_json(request).await)),
            "/fake/set" => {
                self.configure(&read_json(request).await);
                Some(json_response(200, &Value::Null))
            }
            "/fake/log" => {
                Some(json_response(200, &Value::from(self.request_log.lock().unwrap().clone())))
            }
            _ => Some(json_response(404, &Value::Null)),
        }
    }

    fn load_report(&self) -> Value {
        let running = *self.running.lock().unwrap();
        let versions = self.versions.lock().unwrap().clone();
        let memory = running as f64 / self.slot_count as f64;
        let cache = self.cache.lock().unwrap().evictions.len();
        value!({
            "running": running.min(self.slot_count),
            "waiting": running.saturating_sub(self.slot_count),
            "slots": self.slot_count, "memory": memory.min(1.0), "versions": versions,
            "cache": cache,
        })
    }

    fn handle_order(&self, order: Value) -> Response<Body> {
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut newest = self.newest_fence.lock().unwrap();
        if self.checks_fence && fence < *newest {
            return json_response(409, &value!({ "fence": *newest }));
        }
        *newest = fence.max(*newest);
        self.orders.lock().unwrap().push(order.clone());
        let version = order["version"].as_str().unwrap_or("").to_owned();
        let mut versions = self.versions.lock().unwrap();
        versions.retain(|v| *v != version);
        if order["order"] == "load" {
            versions.push(version);
        }
        json_response(200, &value!({ "fence": *newest }))
    }

    fn configure(&self, change: &Value) {
        let mut behaviour = self.behaviour.lock().unwrap();
        let number = |name: &str, old: u64| change[name].as_u64().unwrap_or(old);
        behaviour.tokens = number("tokens", behaviour.tokens);
        behaviour.break_after = number("break_after", behaviour.break_after);
        behaviour.silent_after = number("silent_after", behaviour.silent_after);
        behaviour.status = number("status", behaviour.status.into()) as u16;
        let token_delay = number("delay_us", behaviour.token_delay.as_micros() as u64);
        behaviour.token_delay = Duration::from_micros(token_delay);
        let first_delay = number("first_us", behaviour.first_delay.as_micros() as u64);
        behaviour.first_delay = Duration::from_micros(first_delay);
    }

    async fn handle_completion(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        let running = RunningRequest::start(&self);
        let id = request.headers().get("x-request-id").cloned();
        let body = read_json(request).await;
        let behaviour = self.behaviour.lock().unwrap().clone();
        let name = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
        let entry =
            value!({ "request": name, "model": body["model"], "resume": body["resume_from"] });
        self.request_log.lock().unwrap().push(entry);
        let engine = self.clone();
        let permit = engine.slot_permits.acquire().await.expect("the semaphore is never closed");
        let misses = self.cache.lock().unwrap().insert_prompt(&prompt_text(&body));
        tokio::time::sleep(behaviour.first_delay + self.prefill_delay * misses).await;
        if behaviour.status != 200 {
            return Some(json_response(behaviour.status, &value!({ "error": "told to fail" })));
        }
        let mut response = match body["stream"] == true {
            true => {
                // `StreamSlot` returns the permit when the stream ends.
                permit.forget();
                stream_response(&body, behaviour, StreamSlot(running))
            }
            false => {
                tokio::time::sleep(behaviour.token_delay * behaviour.tokens as u32).await;
                completion_response(&body, &behaviour)
            }
        };
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        Some(response)
    }
}

/// Running stream; returns its slot permit when it is dropped.
struct StreamSlot(RunningRequest);

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.0.slot_permits.add_permits(1);
    }
}

fn prompt_text(body: &Value) -> String {
    let mut text = String::new();
    for message in body["messages"].as_array().into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or(""));
        text.push_str(message["content"].as_str().unwrap_or(""));
    }
    text
}

fn usage(tokens: u64) -> Value {
    value!({ "prompt_tokens": PROMPT_TOKENS, "completion_tokens": tokens })
}

fn completion_response(body: &Value, behaviour: &EngineBehaviour) -> Response<Body> {
    let texts: Vec<String> = (0..behaviour.tokens).map(token_text).collect();
    let message = value!({ "role": "assistant", "content": texts.concat() });
    let choice = value!({ "index": 0, "message": message, "finish_reason": "stop" });
    json_response(
        200,
        &value!({
            "object": "chat.completion", "model": body["model"], "choices": [choice],
            "usage": usage(behaviour.tokens),
        }),
    )
}

fn stream_response(
    body: &Value,
    behaviour: EngineBehaviour,
    running: StreamSlot,
) -> Response<Body> {
    let first_index = body["resume_from"].as_u64().unwrap_or(0);
    let model = body["model"].clone();
    let state = (first_index, behaviour, running, model);
    let events = futures::stream::unfold(state, |(index, behaviour, running, model)| async move {
        if index >= behaviour.break_after {
            let error = io::Error::other("stream aborted by break_after");
            return Some((Err(error), (u64::MAX, behaviour, running, model)));
        }
        if index >= behaviour.silent_after {
            std::future::pending::<()>().await;
        }
        if index > behaviour.tokens {
            return None;
        }
        if !behaviour.token_delay.is_zero() {
            tokio::time::sleep(behaviour.token_delay).await;
        }
        let text = match index == behaviour.tokens {
            true => final_events(&model, behaviour.tokens),
            false => content_event(&model, index),
        };
        Some((Ok(Bytes::from(text)), (index + 1, behaviour, running, model)))
    });
    let body = StreamBody::new(events.map(|piece| piece.map(Frame::data)));
    let mut response = Response::new(BodyExt::boxed(body));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn token_text(index: u64) -> String {
    format!("word{index} ")
}

fn content_event(model: &Value, index: u64) -> String {
    let choice = value!({ "index": 0, "delta": { "content": token_text(index) } });
    let chunk = value!({ "object": "chat.completion.chunk", "model": model, "choices": [choice] });
    format!("data: {chunk}\n\n")
}

fn final_events(model: &Value, tokens: u64) -> String {
    let choice = value!({ "index": 0, "delta": {}, "finish_reason": "stop" });
    let chunk = value!({
        "object": "chat.completion.chunk", "model": model, "choices": [choice],
        "usage": usage(tokens),
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}
