use super::attempt::{Attempts, Opened};
use super::counters::Counted;
use super::learned::Seen;
use super::request::Meta;
use super::{Answer, Refusal, Router, StreamItem};
use crate::backend::{EngineCall, EventStream, Usage, usage_of};
use crate::event::Event;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Pieces that may wait for a slow caller before the engine is left waiting too.
const PIECES: usize = 32;
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
    usage: Option<Bytes>,
    text: BytesMut,
    began: Instant,
}

/// How one engine's part of the stream ended.
enum Part {
    Whole,
    Broken(String),
    CallerLeft,
}

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
        let (usage, text) = (None, BytesMut::new());
        let began = Instant::now();
        let relay = Self { router, meta, call, attempts, output, relayed: 0, usage, text, began };
        tokio::spawn(async move {
            relay.run(opened).await;
            drop(counted);
        });
        Answer::Stream(input)
    }

    async fn run(mut self, opened: Opened) {
        let mut opened = opened;
        loop {
            let server = opened.server.clone();
            let part = self.part(opened.response.into_body()).await;
            drop(opened.call);
            let request = self.call.request;
            match part {
                Part::Whole => return self.finish().await,
                Part::CallerLeft => {
                    self.router.journal.record(Event::CallerLeft { request });
                    return;
                }
                Part::Broken(reason) => {
                    self.router.journal.record(Event::AttemptFailed { request, server, reason });
                }
            }
            self.call.resume = self.relayed;
            opened = match self.attempts.open(&self.router, &self.call, &mut None).await {
                Ok(opened) => opened,
                Err(refusal) => return self.break_off(refusal).await,
            };
        }
    }

    /// Relays one engine's events until its stream ends, one way or another.
    async fn part(&mut self, mut body: Incoming) -> Part {
        let mut events = EventStream::default();
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(self.router.token_gap, body.frame()) => frame,
                () = self.output.closed() => return Part::CallerLeft,
            };
            let data = match frame {
                Err(_) => return Part::Broken("silent between tokens".to_owned()),
                Ok(None) => return self.malformed("ended without its end mark"),
                Ok(Some(Err(error))) => return Part::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Some(cut) = events.push(&data) else {
                return self.malformed("an event was too large");
            };
            if self.relayed == 0 && cut.count > 0 {
                self.note(Seen::First(self.began.elapsed()));
            }
            self.relayed += cut.count;
            if !cut.events.is_empty() {
                self.text.extend_from_slice(&cut.events);
                if self.output.send(StreamItem::Events(cut.events)).await.is_err() {
                    return Part::CallerLeft;
                }
            }
            if cut.usage.is_some() {
                self.usage = cut.usage;
            }
            if cut.done {
                return Part::Whole;
            }
        }
    }

    fn malformed(&self, reason: &str) -> Part {
        self.note(Seen::Malformed);
        Part::Broken(reason.to_owned())
    }

    fn note(&self, seen: Seen) {
        self.router.note(&self.meta.organisation, &self.meta.kind, &self.call.version, seen);
    }

    /// Bills, then releases the last events.
    async fn finish(self) {
        let usage = self.usage.as_deref().and_then(usage_of);
        let counted = Usage { prompt_tokens: 0, completion_tokens: self.relayed };
        let usage = usage.unwrap_or(counted);
        self.note(Seen::Whole(usage, self.began.elapsed()));
        if let Err(refusal) = self.router.bill(&self.meta, &self.call.version, usage).await {
            return self.break_off(refusal).await;
        }
        let mut last = BytesMut::new();
        if let Some(usage) = &self.usage {
            last.extend_from_slice(b"data: ");
            last.extend_from_slice(usage);
            last.extend_from_slice(b"\n\n");
        }
        last.extend_from_slice(END);
        let request = self.call.request;
        // A caller that left just now misses only the end mark.
        let _ = self.output.send(StreamItem::Events(last.freeze())).await;
        self.router.journal.record(Event::AnswerRelayed { request, tokens: self.relayed });
        self.router.rate_later(&self.meta, &self.call, &self.text.freeze());
    }

    async fn break_off(&self, refusal: Refusal) {
        let refusal = Refusal::unknown(refusal.code, refusal.message);
        let event = Bytes::from(format!("data: {}\n\n", refusal.body()));
        self.router.refuse(self.call.request, refusal);
        // The caller may have left.
        let _ = self.output.send(StreamItem::Broken(event)).await;
    }
}
