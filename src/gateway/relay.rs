//! A stream of events on its way to the caller; where it breaks, it goes on at another server.

use super::call::{Call, Tried};
use super::reply::{ReplyBody, streamed, strip_hop_headers};
use super::sent::Exchange;
use bytes::{Buf, Bytes, BytesMut};
use futures::stream;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::io;
use std::sync::Arc;

/// The largest single event, in bytes.
const EVENT_BYTES: usize = 4 << 20;

/// A stream whose first event has come.
pub struct Relay {
    call: Arc<Call>,
    /// The head of the first server's answer, which stays the answer's head.
    head: Response<()>,
    exchange: Option<Box<Exchange>>,
    events: Events,
    first: Option<Bytes>,
    tried: Tried,
}

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
struct Events {
    partial: BytesMut,
    /// The id of the last event that was passed on.
    last: Option<u64>,
    /// Whether events up to the last one may come again.
    resumed: bool,
}

impl Relay {
    /// Waits for the first event of an answer.
    ///
    /// # Errors
    /// Where the answer breaks before it; nothing has gone to the caller.
    pub async fn open(call: Arc<Call>, exchange: Box<Exchange>) -> Result<Self, String> {
        let events = Events { last: call.head.event, ..Events::default() };
        let tried = Tried::default();
        let mut head = Response::new(());
        *head.status_mut() = exchange.response.status();
        *head.headers_mut() = exchange.response.headers().clone();
        let exchange = Some(exchange);
        let mut relay = Self { call, head, exchange, events, first: None, tried };
        relay.first = relay.read().await.map_err(|error| error.to_string())?;
        if let Some(exchange) = &mut relay.exchange {
            exchange.begun();
        }
        Ok(relay)
    }

    /// The next whole events; `None` at the end of the stream.
    async fn read(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(exchange) = &mut self.exchange else { return Ok(None) };
            match exchange.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.events.take(&data)?;
                    if let Some(event) = self.events.last {
                        exchange.counted.reached(event);
                    }
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Some(Err(error)) => {
                    exchange.placed.server.failed();
                    return Err(io::Error::other(error));
                }
                None => {
                    if let Some(exchange) = self.exchange.take() {
                        exchange.finish();
                    }
                    let rest = self.events.rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
            }
        }
    }

    /// The next bytes for the caller; goes on at another server where this one breaks off.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let until = self.call.until;
        let late = || io::Error::new(io::ErrorKind::TimedOut, "the deadline has passed");
        loop {
            let read = tokio::time::timeout_at(until.into(), self.read()).await;
            match read.map_err(|_| late())? {
                Ok(bytes) => return Ok(bytes),
                Err(error) => {
                    let resumed = tokio::time::timeout_at(until.into(), self.resume(&error)).await;
                    resumed.map_err(|_| late())??;
                }
            }
        }
    }

    async fn resume(&mut self, error: &io::Error) -> io::Result<()> {
        self.exchange = None;
        self.events.partial.clear();
        self.tried.lost = Some(error.to_string());
        if !self.call.may_go_on(&self.tried) {
            return Err(io::Error::other(error.to_string()));
        }
        let (call, last) = (self.call.clone(), self.events.last);
        log::info!("call {}: its stream broke behind event {last:?}: {error}", call.name());
        let exchange = call.next(&mut self.tried, last).await.map_err(io::Error::other)?;
        if !exchange.response.status().is_success() {
            return Err(io::Error::other("the stream was not resumed"));
        }
        self.events.resumed = last.is_some();
        self.exchange = Some(exchange);
        Ok(())
    }
}

/// Turns a stream into the answer to the caller.
pub fn relay(mut relay: Relay, tried: Tried) -> Response<ReplyBody> {
    relay.tried = tried;
    let mut response = std::mem::replace(&mut relay.head, Response::new(()));
    let headers = response.headers_mut();
    strip_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    let pieces = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                log::info!("call {}: its stream is broken off: {error}", relay.call.name());
                Some((Err(error), None))
            }
        }
    });
    response.map(|()| streamed(pieces))
}

impl Events {
    /// Takes bytes in and gives the whole events that are there.
    fn take(&mut self, data: &[u8]) -> io::Result<Bytes> {
        self.partial.extend_from_slice(data);
        if self.partial.len() > EVENT_BYTES {
            return Err(io::Error::other("an event is too large"));
        }
        let Some(end) = end_of_events(&self.partial) else { return Ok(Bytes::new()) };
        let whole = self.partial.split_to(end).freeze();
        match self.resumed {
            true => Ok(self.fresh(whole)),
            false => {
                self.last = last_id(&whole).or(self.last);
                Ok(whole)
            }
        }
    }

    /// Of some events those behind the last one that was passed on.
    fn fresh(&mut self, mut whole: Bytes) -> Bytes {
        let mut fresh = BytesMut::new();
        while let Some(end) = first_event(&whole) {
            let event = whole.split_to(end);
            let id = last_id(&event);
            if id.is_none() || id > self.last {
                self.last = id.or(self.last);
                fresh.extend_from_slice(&event);
            }
        }
        fresh.freeze()
    }

    /// What is left at the end of the stream.
    fn rest(&mut self) -> Bytes {
        let left = self.partial.remaining();
        self.partial.split_to(left).freeze()
    }
}

/// Behind the first event, which ends with an empty line.
fn first_event(bytes: &[u8]) -> Option<usize> {
    let newlines = memchr::memchr_iter(b'\n', bytes);
    newlines
        .map(|at| at + 1)
        .find(|at| is_blank_line(&bytes[*at..]).is_some())
        .and_then(|at| is_blank_line(&bytes[at..]).map(|length| at + length))
}

/// Behind the last whole event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut newlines = memchr::memrchr_iter(b'\n', bytes);
    newlines.find(|at| ends_event(&bytes[..*at])).map(|at| at + 1)
}

/// Whether a line feed that follows ends an event: the line before it is empty.
fn ends_event(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.ends_with(b"\n")
}

fn is_blank_line(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\n', ..] => Some(1),
        [b'\r', b'\n', ..] => Some(2),
        _ => None,
    }
}

/// The last id in some events.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
