//! Relays a stream of events to the caller, and resumes it at another server if it is interrupted.

use super::Gateway;
use super::accepted_call::{AttemptHistory, Call};
use super::answer_watch::{AnswerWatch, Owed};
use super::event_splitter::{EventSplitter, StreamEnd};
use super::exchange::Exchange;
use super::response::{
    ResponseBody, ends_with_connection, media_type, stream_body, strip_hop_headers,
};
use super::response_timeout::Silent;
use crate::backend::ByteShare;
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
    /// The media type that this response names.
    media: Option<String>,
    exchange: Option<Box<Exchange>>,
    splitter: EventSplitter,
    /// Counts the bytes in the splitter towards the process's budget.
    share: ByteShare,
    first: Option<Bytes>,
    /// Time spent waiting for the server since the last event.
    waited: Duration,
    history: AttemptHistory,
}

impl StreamRelay {
    /// Waits for the first event of a response.
    ///
    /// # Errors
    /// If the stream ends with an error before its first event. Nothing has been sent to the caller
    /// then.
    pub async fn open(call: Arc<Call>, exchange: Box<Exchange>) -> Result<Self, String> {
        let splitter = EventSplitter::after(call.head.last_event);
        let history = AttemptHistory::default();
        let mut head = Response::new(());
        *head.status_mut() = exchange.response.status();
        *head.headers_mut() = exchange.response.headers().clone();
        let media = media_type(&exchange.response).map(str::to_owned);
        let (share, timeout) = (exchange.buffers.share(), exchange.timeout);
        let exchange = Some(exchange);
        let waited = Duration::ZERO;
        let mut relay =
            Self { call, head, media, exchange, splitter, share, first: None, waited, history };
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
            exchange.response_started(&call);
        }
        Ok(relay)
    }

    /// The bytes up to the first event, with the comments before it; `None` for a stream without any.
    async fn read_first_event(&mut self) -> io::Result<Option<Bytes>> {
        let mut first = BytesMut::new();
        while let Some(bytes) = self.read_blocks().await? {
            first.extend_from_slice(&bytes);
            if !self.splitter.is_filler() {
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
        let (gateway, may_resume) =
            (self.call.gateway.clone(), self.call.route.kind.is_retry_safe());
        let watch = self.exchange.as_ref().and_then(|exchange| exchange.watch());
        let route = &self.call.route;
        let owed = Owed::Bytes(route.gap_target.unwrap_or(route.latency_target));
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(left, self.read_blocks()) => read,
            () = until_given_up(watch, &gateway, owed), if may_resume => {
                return Err(io::Error::other("its server cannot be reached and sends nothing"));
            }
        };
        // Only the time spent waiting for the server counts, not that of a slow caller.
        self.waited += started.elapsed();
        if !self.splitter.is_filler() {
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
                    exchange.bytes_received();
                    let whole = self.splitter.push(&data)?;
                    if !self.share.resize(self.splitter.held_bytes()) {
                        return Err(io::Error::other("too many bytes of responses are held"));
                    }
                    if let Some(event) = self.splitter.last_id() {
                        exchange.event_received(event);
                    }
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Some(Err(error)) => {
                    exchange.in_flight.server.record_failure();
                    exchange.server_ended();
                    return Err(io::Error::other(error));
                }
                None => return self.end_of_body(),
            }
        }
    }

    /// The bytes left at the end of the body.
    ///
    /// # Errors
    /// If the stream was broken off, although its response ended as its framing demands.
    fn end_of_body(&mut self) -> io::Result<Option<Bytes>> {
        let Some(mut exchange) = self.exchange.take() else { return Ok(None) };
        let end = self.splitter.end();
        let ends_with_connection = ends_with_connection(&exchange.response);
        if ends_with_connection {
            log::info!(
                "call {}: stream of server {} ended with its connection after event {:?}, {} bytes \
                 into the next",
                self.call.log_id(),
                exchange.in_flight.server.vm.name,
                self.splitter.last_id(),
                self.splitter.held_bytes()
            );
        }
        let may_be_plain = !ends_with_connection && media_type(&exchange.response).is_none();
        let broken = match end {
            StreamEnd::InsideEvent => true,
            StreamEnd::InsideFirstEvent => !may_be_plain,
            StreamEnd::NoEvent => ends_with_connection,
            StreamEnd::BetweenEvents => false,
        };
        if broken {
            exchange.in_flight.server.record_failure();
            if ends_with_connection {
                exchange.server_ended();
            }
            return Err(io::Error::other("the stream ended inside an event or before the first"));
        }
        if !exchange.is_passed_on() {
            self.call.record_whole(exchange.sent_at().elapsed(), exchange.turns);
        }
        exchange.finish();
        let remainder = self.splitter.remainder();
        Ok((!remainder.is_empty()).then_some(remainder))
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
        self.history.record_loss(error.to_string());
        // Another router that passes a call on resumes its stream itself: it has the call's account.
        if self.call.hop.is_some() || !self.call.allows_retry(&self.history) {
            return Err(io::Error::other(error.to_string()));
        }
        let (call, last_id) = (self.call.clone(), self.splitter.last_id());
        log::info!("call {}: stream interrupted after event {last_id:?}: {error}", call.log_id());
        loop {
            let exchange =
                call.next_exchange(&mut self.history, last_id).await.map_err(io::Error::other)?;
            if self.continues_in(&exchange.response) {
                self.splitter.resume();
                self.exchange = Some(exchange);
                return Ok(());
            }
            self.history.last_failure = Some("the server did not resume the stream".to_owned());
        }
    }

    /// Whether the stream goes on in this response. Anything but a stream like the one that was
    /// interrupted, such as an error, would end up in the middle of what the caller reads.
    fn continues_in<B>(&self, response: &Response<B>) -> bool {
        response.status().is_success() && media_type(response) == self.media.as_deref()
    }
}

/// Waits until an answer is given up; one that comes by way of another router is that one's to watch.
async fn until_given_up(watch: Option<AnswerWatch>, gateway: &Arc<Gateway>, owed: Owed) {
    match watch {
        Some(watch) => watch.until_given_up(gateway, owed).await,
        None => std::future::pending().await,
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
