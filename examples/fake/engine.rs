//! A model engine: OpenAI-shaped chat completions, load reports, orders with fencing numbers.
//!
//! `--tokens`, `--delay-us` (between tokens), `--first-us`, `--prefill-us` (for each block of the
//! prompt that is not cached), `--cache-blocks`, `--slots`, `--lag-ms` (of load reports),
//! `--versions=a/b,c/d`, `--fenced=true`. `POST /fake/set` changes `tokens`, `delay_us`, `first_us`, `break_after`,
//! `silent_after`, `status`; `GET /fake/log` tells what was served, `GET /fake/orders`
//! which orders were taken.

use crate::http_server::{Body, json, read_json, serve};
use crate::options::Options;
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
const PROMPT_TOKENS: u64 = 12;

#[derive(Debug, Clone)]
struct Behaviour {
    tokens: u64,
    delay: Duration,
    first: Duration,
    break_after: u64,
    silent_after: u64,
    status: u16,
}

struct Engine {
    behaviour: Mutex<Behaviour>,
    running: Mutex<u64>,
    served: Mutex<Vec<Value>>,
    versions: Mutex<Vec<String>>,
    fence: Mutex<u64>,
    orders: Mutex<Vec<Value>>,
    fenced: bool,
    slots: u64,
    places: Semaphore,
    prefill: Duration,
    cache: Mutex<Cache>,
    report: Mutex<Value>,
}

/// Blocks of prompts, the most recently used last.
struct Cache {
    blocks: VecDeque<PrefixKeys>,
    most: usize,
    dropped: Vec<CacheEvent>,
}

impl Cache {
    /// The blocks of a prompt that were not cached; they are afterwards.
    fn misses(&mut self, prompt: &str) -> u32 {
        let mut misses = 0;
        for key in PrefixKeys::of(prompt).split_blocks() {
            let before = self.blocks.len();
            self.blocks.retain(|block| *block != key);
            misses += u32::from(self.blocks.len() == before);
            self.blocks.push_back(key);
        }
        while self.blocks.len() > self.most {
            let block = self.blocks.pop_front().expect("there are too many");
            let (number, change) = (self.dropped.len() as u64 + 1, CacheChange::Dropped);
            self.dropped.push(CacheEvent { number, change, blocks: block.hashes().to_vec() });
        }
        misses
    }
}

/// Runs an engine.
pub async fn run(options: Options) -> io::Result<()> {
    let micros = |name: &str| Duration::from_micros(options.get(name, 0));
    let behaviour = Behaviour {
        tokens: options.get("tokens", DEFAULT_TOKENS),
        delay: micros("delay-us"),
        first: micros("first-us"),
        break_after: u64::MAX,
        silent_after: u64::MAX,
        status: 200,
    };
    let versions: String = options.get("versions", String::new());
    let versions = versions.split(',').filter(|v| !v.is_empty()).map(str::to_owned).collect();
    let engine = Arc::new(Engine {
        behaviour: Mutex::new(behaviour),
        running: Mutex::new(0),
        served: Mutex::default(),
        versions: Mutex::new(versions),
        fence: Mutex::new(0),
        orders: Mutex::default(),
        fenced: options.get("fenced", true),
        slots: options.get("slots", 8),
        places: Semaphore::new(options.get("slots", 8)),
        prefill: micros("prefill-us"),
        cache: Mutex::new(Cache {
            blocks: VecDeque::new(),
            most: options.get("cache-blocks", 256),
            dropped: Vec::new(),
        }),
        report: Mutex::default(),
    });
    let lag = Duration::from_millis(options.get("lag-ms", 0));
    if !lag.is_zero() {
        tokio::spawn(report_late(engine.clone(), lag));
    }
    let handler = move |request: Request<Incoming>| {
        let engine = engine.clone();
        Box::pin(async move { engine.handle(request).await }) as _
    };
    serve(options.get("port", 0), Arc::new(handler)).await
}

/// Keeps the load report as old as `lag`.
async fn report_late(engine: Arc<Engine>, lag: Duration) {
    loop {
        let load = engine.load();
        tokio::time::sleep(lag).await;
        *engine.report.lock().unwrap() = load;
    }
}

struct Running(Arc<Engine>);

impl Running {
    fn start(engine: &Arc<Engine>) -> Self {
        *engine.running.lock().unwrap() += 1;
        Self(engine.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        *self.0.running.lock().unwrap() -= 1;
    }
}

impl Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/chat/completions" => self.complete(request).await,
            "/v1/load" => {
                let late = self.report.lock().unwrap().clone();
                Some(json(200, &if late.is_null() { self.load() } else { late }))
            }
            "/fake/orders" => Some(json(200, &Value::from(self.orders.lock().unwrap().clone()))),
            "/v1/cache-events" => {
                let query = request.uri().query().and_then(|query| query.strip_prefix("after="));
                let after = query.and_then(|text| text.parse().ok()).unwrap_or(0);
                let cache = self.cache.lock().unwrap();
                let events = cache.dropped.get(after..).unwrap_or_default();
                Some(json(200, &value!(events)))
            }
            "/v1/orders" => Some(self.order(read_json(request).await)),
            "/fake/set" => {
                self.set(&read_json(request).await);
                Some(json(200, &Value::Null))
            }
            "/fake/log" => Some(json(200, &Value::from(self.served.lock().unwrap().clone()))),
            _ => Some(json(404, &Value::Null)),
        }
    }

    fn load(&self) -> Value {
        let running = *self.running.lock().unwrap();
        let versions = self.versions.lock().unwrap().clone();
        let memory = running as f64 / self.slots as f64;
        let cache = self.cache.lock().unwrap().dropped.len();
        value!({
            "running": running.min(self.slots), "waiting": running.saturating_sub(self.slots),
            "slots": self.slots, "memory": memory.min(1.0), "versions": versions,
            "cache": cache,
        })
    }

    fn order(&self, order: Value) -> Response<Body> {
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut newest = self.fence.lock().unwrap();
        if self.fenced && fence < *newest {
            return json(409, &value!({ "fence": *newest }));
        }
        *newest = fence.max(*newest);
        self.orders.lock().unwrap().push(order.clone());
        let version = order["version"].as_str().unwrap_or("").to_owned();
        let mut versions = self.versions.lock().unwrap();
        versions.retain(|v| *v != version);
        if order["order"] == "load" {
            versions.push(version);
        }
        json(200, &value!({ "fence": *newest }))
    }

    fn set(&self, change: &Value) {
        let mut behaviour = self.behaviour.lock().unwrap();
        let number = |name: &str, old: u64| change[name].as_u64().unwrap_or(old);
        behaviour.tokens = number("tokens", behaviour.tokens);
        behaviour.break_after = number("break_after", behaviour.break_after);
        behaviour.silent_after = number("silent_after", behaviour.silent_after);
        behaviour.status = number("status", behaviour.status.into()) as u16;
        let delay = number("delay_us", behaviour.delay.as_micros() as u64);
        behaviour.delay = Duration::from_micros(delay);
        let first = number("first_us", behaviour.first.as_micros() as u64);
        behaviour.first = Duration::from_micros(first);
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let running = Running::start(&self);
        let id = request.headers().get("x-request-id").cloned();
        let body = read_json(request).await;
        let behaviour = self.behaviour.lock().unwrap().clone();
        let name = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
        let entry =
            value!({ "request": name, "model": body["model"], "resume": body["resume_from"] });
        self.served.lock().unwrap().push(entry);
        let engine = self.clone();
        let place = engine.places.acquire().await.expect("places are never closed");
        let misses = self.cache.lock().unwrap().misses(&prompt_of(&body));
        tokio::time::sleep(behaviour.first + self.prefill * misses).await;
        if behaviour.status != 200 {
            return Some(json(behaviour.status, &value!({ "error": "told to fail" })));
        }
        let mut response = match body["stream"] == true {
            true => {
                // The stream holds its place for as long as it lasts.
                place.forget();
                stream(&body, behaviour, Streaming(running))
            }
            false => {
                tokio::time::sleep(behaviour.delay * behaviour.tokens as u32).await;
                whole(&body, &behaviour)
            }
        };
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        Some(response)
    }
}

/// A stream under way; it gives its place back at the end.
struct Streaming(Running);

impl Drop for Streaming {
    fn drop(&mut self) {
        self.0.0.places.add_permits(1);
    }
}

fn prompt_of(body: &Value) -> String {
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

fn whole(body: &Value, behaviour: &Behaviour) -> Response<Body> {
    let words: Vec<String> = (0..behaviour.tokens).map(word).collect();
    let message = value!({ "role": "assistant", "content": words.concat() });
    let choice = value!({ "index": 0, "message": message, "finish_reason": "stop" });
    json(
        200,
        &value!({
            "object": "chat.completion", "model": body["model"], "choices": [choice],
            "usage": usage(behaviour.tokens),
        }),
    )
}

fn stream(body: &Value, behaviour: Behaviour, running: Streaming) -> Response<Body> {
    let from = body["resume_from"].as_u64().unwrap_or(0);
    let model = body["model"].clone();
    let state = (from, behaviour, running, model);
    let events = futures::stream::unfold(state, |(at, behaviour, running, model)| async move {
        if at >= behaviour.break_after {
            let error = io::Error::other("told to break");
            return Some((Err(error), (u64::MAX, behaviour, running, model)));
        }
        if at >= behaviour.silent_after {
            std::future::pending::<()>().await;
        }
        if at > behaviour.tokens {
            return None;
        }
        if !behaviour.delay.is_zero() {
            tokio::time::sleep(behaviour.delay).await;
        }
        let text = match at == behaviour.tokens {
            true => last_events(&model, behaviour.tokens),
            false => event(&model, at),
        };
        Some((Ok(Bytes::from(text)), (at + 1, behaviour, running, model)))
    });
    let body = StreamBody::new(events.map(|piece| piece.map(Frame::data)));
    let mut response = Response::new(BodyExt::boxed(body));
    let media = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, media);
    response
}

fn word(at: u64) -> String {
    format!("word{at} ")
}

fn event(model: &Value, at: u64) -> String {
    let choice = value!({ "index": 0, "delta": { "content": word(at) } });
    let chunk = value!({ "object": "chat.completion.chunk", "model": model, "choices": [choice] });
    format!("data: {chunk}\n\n")
}

fn last_events(model: &Value, tokens: u64) -> String {
    let choice = value!({ "index": 0, "delta": {}, "finish_reason": "stop" });
    let chunk = value!({
        "object": "chat.completion.chunk", "model": model, "choices": [choice],
        "usage": usage(tokens),
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}
