use super::attempt::{Attempts, Opened};
use super::counters::Counted;
use super::learned::Seen;
use super::request::Meta;
use super::{Answer, Refusal, Router, StreamItem};
use crate::backend::{Cut, EngineCall, EventStream, Lent, Usage, estimate_tokens};
use crate::event::Event;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Pieces that may wait for a slow caller before the engine is left waiting too.
const PIECES: usize = 4;
/// How long an engine may take to end its body behind the end mark; its connection is closed
/// otherwise.
const END_LIMIT: Duration = Duration::from_millis(200);
/// The end mark of a whole stream.
const END: &[u8] = b"data: [DONE]\n\n";

/// A streamed answer on its way from engines to one caller.
pub(super) struct Relay {
    router: Arc<Router>,
    meta: Meta,
    call: EngineCall,
    attempts: Attempts,
    output: mpsc::Sender<StreamItem>,
    relayed: u64,
    began: Instant,
    usage: Option<Usage>,
    held: BytesMut,
    text: Option<BytesMut>,
}

/// How one engine's part of the stream ended.
enum Part {
    Whole,
    Broken(String),
    CallerLeft,
}

type Arrived = Option<Result<Frame<Bytes>, hyper::Error>>;

impl Relay {
    /// Starts to relay and returns the caller's end.
    pub fn spawn(
        router: Arc<Router>,
        meta: Meta,
        call: EngineCall,
        attempts: Attempts,
        opened: Opened,
        counted: Arc<Counted>,
    ) -> Answer {
        let (output, input) = mpsc::channel(PIECES);
        let text = router.is_sampled(&meta, &call.version).then(BytesMut::new);
        let relay = Self {
            router,
            meta,
            call,
            attempts,
            output,
            relayed: 0,
            began: Instant::now(),
            usage: None,
            held: BytesMut::new(),
            text,
        };
        tokio::spawn(async move {
            relay.run(opened).await;
            drop(counted);
        });
        Answer::Stream(input)
    }

    async fn run(mut self, opened: Opened) {
        let mut opened = opened;
        loop {
            let Opened { response, server, call, lent, first } = opened;
            let mut body = response.into_body();
            let part = self.part(&mut body, first).await;
            let request = self.call.request;
            match part {
                Part::Whole => {
                    drop(call);
                    self.finish().await;
                    return reuse(body, lent).await;
                }
                Part::CallerLeft => {
                    self.router.journal.record(Event::CallerLeft { request });
                    return;
                }
                Part::Broken(reason) => {
                    call.failed(&reason);
                    self.router.journal.record(Event::AttemptFailed { request, server, reason });
                }
            }
            // Closing the connections of a broken part cancels the engine's work on it.
            drop((body, lent, call));
            self.call.resume = self.relayed;
            opened = match self.attempts.open(&self.router, &self.call, &mut None).await {
                Ok(opened) => opened,
                Err(refusal) => return self.break_off(refusal).await,
            };
        }
    }

    /// Relays one engine's events until its stream ends, one way or another. The first token must
    /// come by `first`, each later one within the limit for silence.
    async fn part(&mut self, body: &mut Incoming, first: Instant) -> Part {
        let mut events = EventStream::default();
        let mut until = first;
        let mut silence = pin!(sleep_until(until));
        self.held.clear();
        loop {
            let arrived = tokio::select! {
                arrived = body.frame() => arrived,
                () = self.output.closed() => return Part::CallerLeft,
                () = silence.as_mut() => {
                    if Instant::now() >= until {
                        return Part::Broken("no token within the limit".to_owned());
                    }
                    silence.as_mut().reset(until);
                    continue;
                }
            };
            let cut = match take_events(&mut events, arrived) {
                Ok(cut) => cut,
                Err(Failed::Broken(reason)) => return Part::Broken(reason),
                Err(Failed::Malformed(reason)) => {
                    self.note(Seen::Malformed);
                    return Part::Broken(reason);
                }
            };
            if self.relayed == 0 && cut.tokens > 0 {
                self.note(Seen::First(self.began.elapsed()));
            }
            if cut.tokens > 0 {
                until = Instant::now() + self.router.token_gap;
            }
            let done = cut.done;
            if self.pass_on(cut).await.is_err() {
                return Part::CallerLeft;
            }
            if done {
                return Part::Whole;
            }
        }
    }

    async fn pass_on(&mut self, cut: Cut) -> Result<(), ()> {
        self.relayed += cut.tokens;
        self.usage = cut.usage.or(self.usage);
        self.held.extend_from_slice(&cut.held);
        if cut.events.is_empty() {
            return Ok(());
        }
        if let Some(text) = &mut self.text {
            text.extend_from_slice(&cut.events);
        }
        self.output.send(StreamItem::Events(cut.events)).await.map_err(|_| ())
    }

    fn note(&self, seen: Seen) {
        self.router.note(&self.meta.organisation, &self.meta.kind, &self.call.version, seen);
    }

    /// Bills, then releases the last events.
    async fn finish(&mut self) {
        let counted = || Usage {
            prompt_tokens: estimate_tokens(&self.call.body),
            completion_tokens: self.relayed,
        };
        let usage = self.usage.unwrap_or_else(counted);
        self.note(Seen::Whole(usage, self.began.elapsed()));
        if let Err(refusal) = self.router.bill(&self.meta, &self.call.version, usage).await {
            return self.break_off(refusal).await;
        }
        let mut last = std::mem::take(&mut self.held);
        last.extend_from_slice(END);
        let request = self.call.request;
        // A caller that left just now misses only the end of the stream.
        let _ = self.output.send(StreamItem::Events(last.freeze())).await;
        self.router.journal.record(Event::AnswerRelayed { request, tokens: self.relayed });
        if let Some(text) = self.text.take() {
            self.router.rate_sampled(&self.meta, &self.call, &text.freeze());
        }
    }

    async fn break_off(&self, refusal: Refusal) {
        let refusal = Refusal::unknown(refusal.code, refusal.message);
        let event = Bytes::from(format!("data: {}\n\n", refusal.body()));
        self.router.refuse(self.call.request, refusal);
        // The caller may have left.
        let _ = self.output.send(StreamItem::Broken(event)).await;
    }
}

/// Why a part of a stream is of no more use.
enum Failed {
    /// The connection ended; the version need not be at fault.
    Broken(String),
    /// The version gave something that is no stream of chunks.
    Malformed(String),
}

fn take_events(events: &mut EventStream, arrived: Arrived) -> Result<Cut, Failed> {
    let data = match arrived {
        None => return Err(Failed::Malformed("ended without its end mark".to_owned())),
        Some(Err(error)) => return Err(Failed::Broken(error.to_string())),
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    events.push(&data).map_err(|error| Failed::Malformed(error.to_string()))
}

/// Gives the connection back once the body has ended; one whose body goes on is closed.
async fn reuse(mut body: Incoming, lent: Lent) {
    let end = async {
        loop {
            match body.frame().await {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(_)) => {}
            }
        }
    };
    if tokio::time::timeout(END_LIMIT, end).await.unwrap_or(false) {
        lent.give_back();
    }
}
