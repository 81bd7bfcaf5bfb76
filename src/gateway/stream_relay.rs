//! Relays a stream of events to the caller, and resumes it at another server if it is interrupted.

use super::call::{AttemptHistory, Call};
use super::exchange::Exchange;
use super::response::{ResponseBody, stream_body, strip_hop_headers};
use super::response_timeout::Silent;
use crate::backend::ByteShare;
use bytes::{Buf, Bytes, BytesMut};
use futures::stream;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The most bytes that a server may send between two events, as comments and blank lines.
const MAX_FILLER_BYTES: usize = 64 << 10;
/// A stream counts as stalled without an event for the longest of these: a fixed time, and multiples
/// of the route's targets for the first event and for the gap between events. No caller is expected
/// to wait longer.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// See [`MIN_STALL_TIMEOUT`].
const STALL_LATENCY_FACTOR: u32 = 4;
/// See [`MIN_STALL_TIMEOUT`].
const STALL_GAP_FACTOR: u32 = 8;

/// A response stream whose first event has arrived.
pub struct StreamRelay {
    call: Arc<Call>,
    /// The head of the first server's response; it is kept when the stream is resumed at another
    /// server.
    head: Response<()>,
    exchange: Option<Box<Exchange>>,
    splitter: EventSplitter,
    /// Counts the bytes in the splitter towards the process's budget.
    share: ByteShare,
    first: Option<Bytes>,
    /// Time spent waiting for the server since the last event.
    waited: Duration,
    history: AttemptHistory,
}

/// Splits a byte stream into whole events.
#[derive(Debug, Default)]
struct EventSplitter {
    buffer: BytesMut,
    /// The id of the last event that was passed on.
    last_id: Option<u64>,
    /// Whether the stream was resumed, so that the server may repeat events up to the last one.
    resumed: bool,
    /// Bytes passed on since the last event.
    filler_bytes: usize,
}

impl StreamRelay {
    /// Waits for the first event of a response.
    ///
    /// # Errors
    /// If the stream ends with an error before its first event. Nothing has been sent to the caller
    /// then.
    pub async fn open(call: Arc<Call>, exchange: Box<Exchange>) -> Result<Self, String> {
        let splitter = EventSplitter { last_id: call.head.last_event, ..EventSplitter::default() };
        let history = AttemptHistory::default();
        let mut head = Response::new(());
        *head.status_mut() = exchange.response.status();
        *head.headers_mut() = exchange.response.headers().clone();
        let (share, timeout) = (exchange.buffers.share(), exchange.timeout);
        let exchange = Some(exchange);
        let waited = Duration::ZERO;
        let mut relay =
            Self { call, head, exchange, splitter, share, first: None, waited, history };
        let call = relay.call.clone();
        match call.wait_for_response(timeout, relay.read_first_event()).await {
            Ok(first) => relay.first = first.map_err(|error| error.to_string())?,
            Err(Silent) => {
                if let Some(exchange) = &relay.exchange {
                    exchange.in_flight.server.record_failure();
                }
                return Err("no event in time".to_owned());
            }
        }
        if let Some(exchange) = &mut relay.exchange {
            call.record_response_time(exchange.elapsed());
            exchange.response_started();
        }
        Ok(relay)
    }

    /// The bytes up to the first event, with the comments before it; `None` for a stream without any.
    async fn read_first_event(&mut self) -> io::Result<Option<Bytes>> {
        let mut first = BytesMut::new();
        while let Some(bytes) = self.read_blocks().await? {
            first.extend_from_slice(&bytes);
            if self.splitter.filler_bytes == 0 {
                break;
            }
        }
        Ok((!first.is_empty()).then(|| first.freeze()))
    }

    /// The next whole events; `None` at the end of the stream.
    ///
    /// # Errors
    /// If the stream is interrupted, stalls, or carries too many bytes that are not events.
    async fn read_events(&mut self) -> io::Result<Option<Bytes>> {
        let stalled = || io::Error::new(io::ErrorKind::TimedOut, "the stream has stalled");
        let left = self.stall_timeout().saturating_sub(self.waited);
        let started = Instant::now();
        let read = tokio::time::timeout(left, self.read_blocks()).await;
        // Only the time spent waiting for the server counts, not that of a slow caller.
        self.waited += started.elapsed();
        if self.splitter.filler_bytes == 0 {
            self.waited = Duration::ZERO;
        }
        read.unwrap_or_else(|_| Err(stalled()))
    }

    /// How long the stream may be without an event.
    fn stall_timeout(&self) -> Duration {
        let route = &self.call.route;
        let by_latency = route.latency_target * STALL_LATENCY_FACTOR;
        let by_gap = route.gap_target.unwrap_or_default() * STALL_GAP_FACTOR;
        MIN_STALL_TIMEOUT.max(by_latency).max(by_gap)
    }

    /// The next blocks that end with a blank line, events or not; `None` at the end of the stream.
    async fn read_blocks(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(exchange) = &mut self.exchange else { return Ok(None) };
            match exchange.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.splitter.push(&data)?;
                    if !self.share.resize(self.splitter.buffer.len()) {
                        return Err(io::Error::other("too many bytes of responses are held"));
                    }
                    if let Some(event) = self.splitter.last_id {
                        exchange.recorder.event_received(event);
                    }
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Some(Err(error)) => {
                    exchange.in_flight.server.record_failure();
                    return Err(io::Error::other(error));
                }
                None => {
                    if ends_with_connection(&exchange.response) {
                        log::info!(
                            "call {}: stream of server {} ended with its connection after event \
                             {:?}, {} bytes into the next",
                            self.call.log_id(),
                            exchange.in_flight.server.vm.name,
                            self.splitter.last_id,
                            self.splitter.buffer.len()
                        );
                    }
                    if let Some(exchange) = self.exchange.take() {
                        exchange.finish();
                    }
                    let remainder = self.splitter.remainder();
                    return Ok((!remainder.is_empty()).then_some(remainder));
                }
            }
        }
    }

    /// The next bytes for the caller. Resumes the stream at another server if this one is
    /// interrupted.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let deadline = self.call.deadline;
        let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "the deadline has passed");
        loop {
            let read = tokio::time::timeout_at(deadline.into(), self.read_events()).await;
            match read.map_err(|_| timed_out())? {
                Ok(bytes) => return Ok(bytes),
                Err(error) => {
                    let resumed =
                        tokio::time::timeout_at(deadline.into(), self.resume(&error)).await;
                    resumed.map_err(|_| timed_out())??;
                }
            }
        }
    }

    async fn resume(&mut self, error: &io::Error) -> io::Result<()> {
        self.exchange = None;
        self.waited = Duration::ZERO;
        self.splitter.buffer.clear();
        self.splitter.filler_bytes = 0;
        self.history.last_failure = Some(error.to_string());
        if !self.call.may_retry(&self.history) {
            return Err(io::Error::other(error.to_string()));
        }
        let (call, last_id) = (self.call.clone(), self.splitter.last_id);
        log::info!("call {}: stream interrupted after event {last_id:?}: {error}", call.log_id());
        let exchange =
            call.next_exchange(&mut self.history, last_id).await.map_err(io::Error::other)?;
        if !exchange.response.status().is_success() {
            return Err(io::Error::other("the server did not resume the stream"));
        }
        self.splitter.resumed = last_id.is_some();
        self.exchange = Some(exchange);
        Ok(())
    }
}

/// Builds the response to the caller from a stream.
pub fn relay_stream(mut relay: StreamRelay, history: AttemptHistory) -> Response<ResponseBody> {
    relay.history = history;
    let mut response = std::mem::replace(&mut relay.head, Response::new(()));
    let headers = response.headers_mut();
    strip_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_chunk().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                log::info!("call {}: stream aborted: {error}", relay.call.log_id());
                Some((Err(error), None))
            }
        }
    });
    response.map(|()| stream_body(frames))
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete.
    fn push(&mut self, data: &[u8]) -> io::Result<Bytes> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(io::Error::other("an event exceeds the size limit"));
        }
        let Some(end) = last_event_end(&self.buffer) else { return Ok(Bytes::new()) };
        let whole = self.buffer.split_to(end).freeze();
        self.count_filler(&whole)?;
        match self.resumed {
            true => Ok(self.unrelayed(whole)),
            false => {
                self.last_id = last_event_id(&whole).or(self.last_id);
                Ok(whole)
            }
        }
    }

    /// Counts the bytes since the last event; comments and blank lines are none.
    fn count_filler(&mut self, whole: &[u8]) -> io::Result<()> {
        if carries_event(whole) {
            self.filler_bytes = 0;
            return Ok(());
        }
        self.filler_bytes += whole.len();
        match self.filler_bytes > MAX_FILLER_BYTES {
            true => Err(io::Error::other("the stream carries no events")),
            false => Ok(()),
        }
    }

    /// Drops the events that the caller has already received.
    fn unrelayed(&mut self, mut whole: Bytes) -> Bytes {
        let mut unrelayed = BytesMut::new();
        while let Some(end) = first_event_end(&whole) {
            let event = whole.split_to(end);
            let id = last_event_id(&event);
            if id.is_none() || id > self.last_id {
                self.last_id = id.or(self.last_id);
                unrelayed.extend_from_slice(&event);
            }
        }
        unrelayed.freeze()
    }

    /// The bytes left at the end of the stream.
    fn remainder(&mut self) -> Bytes {
        let left = self.buffer.remaining();
        self.buffer.split_to(left).freeze()
    }
}

/// Whether a response has neither a length nor chunks, so that only the end of its connection ends it.
fn ends_with_connection<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let is_framed = |name| headers.contains_key(name);
    ![header::CONTENT_LENGTH, header::TRANSFER_ENCODING].into_iter().any(is_framed)
}

/// The end of the first event; an empty line terminates it.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let newlines = memchr::memchr_iter(b'\n', bytes);
    newlines
        .map(|at| at + 1)
        .find(|at| blank_line_length(&bytes[*at..]).is_some())
        .and_then(|at| blank_line_length(&bytes[at..]).map(|length| at + length))
}

/// The end of the last whole event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut newlines = memchr::memrchr_iter(b'\n', bytes);
    newlines.find(|at| ends_event(&bytes[..*at])).map(|at| at + 1)
}

/// Whether a line feed after `before` ends an event, that is, whether the line is empty.
fn ends_event(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.ends_with(b"\n")
}

/// Whether blocks hold more than comments and blank lines.
fn carries_event(blocks: &[u8]) -> bool {
    let mut lines = blocks.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn blank_line_length(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\n', ..] => Some(1),
        [b'\r', b'\n', ..] => Some(2),
        _ => None,
    }
}

/// The last event id among some events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
