use super::attempt::{Attempts, StartedResponse};
use super::request::RequestMeta;
use super::request_counter::CountedRequest;
use super::version_selector::AttemptOutcome;
use super::{Answer, Refusal, Router, StreamItem};
use crate::backend::{
    BackendBody, ChatStreamParser, EngineCall, ParsedEvents, PooledConnection, Usage,
    estimate_tokens,
};
use crate::event::Event;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Items that may be buffered for a slow caller. When the channel is full, the router stops reading
/// from the engine (back-pressure).
const MAX_BUFFERED_ITEMS: usize = 4;
/// How long an engine may take to end its body after the end marker. Otherwise its connection is
/// closed instead of reused.
const END_TIMEOUT: Duration = Duration::from_millis(200);
/// The most bytes of the events that end an answer, which are withheld until it is billed.
const MAX_WITHHELD_BYTES: usize = 1 << 20;
/// The most bytes that an engine may send without a token among them.
const MAX_BYTES_WITHOUT_TOKEN: usize = 256 << 10;
/// The longest answer that is kept for the rating service.
const MAX_SAMPLE_BYTES: usize = 4 << 20;
/// End marker of a complete stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Relays a streamed answer to one caller, resuming it at another engine when one fails.
pub(super) struct Relay {
    router: Arc<Router>,
    meta: RequestMeta,
    call: EngineCall,
    attempts: Attempts,
    output: mpsc::Sender<StreamItem>,
    relayed: u64,
    started_at: Instant,
    usage: Option<Usage>,
    withheld: BytesMut,
    sample: Option<BytesMut>,
}

/// How relaying one engine's response ended.
enum RelayEnd {
    Completed,
    Failed(String),
    CallerLeft,
}

type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

impl Relay {
    /// Spawns the relay and returns the stream for the caller.
    pub fn spawn(
        router: Arc<Router>,
        meta: RequestMeta,
        call: EngineCall,
        attempts: Attempts,
        started: StartedResponse,
        counted: Arc<CountedRequest>,
    ) -> Answer {
        let (output, input) = mpsc::channel(MAX_BUFFERED_ITEMS);
        let sample = router.is_sampled(&meta, &call.version).then(BytesMut::new);
        let relay = Self {
            router,
            meta,
            call,
            attempts,
            output,
            relayed: 0,
            started_at: Instant::now(),
            usage: None,
            withheld: BytesMut::new(),
            sample,
        };
        tokio::spawn(async move {
            relay.run(started).await;
            drop(counted);
        });
        Answer::Stream(input)
    }

    async fn run(mut self, started: StartedResponse) {
        let mut started = started;
        loop {
            let StartedResponse { response, server, call, connection, token_deadline } = started;
            let mut body = response.into_body();
            let end = self.relay_response(&mut body, token_deadline).await;
            let request = self.call.request;
            match end {
                RelayEnd::Completed => {
                    drop(call);
                    self.finish().await;
                    return return_connection(body, connection).await;
                }
                RelayEnd::CallerLeft => {
                    self.router.journal.record(Event::CallerLeft { request });
                    return;
                }
                RelayEnd::Failed(reason) => {
                    call.record_failure(&reason);
                    self.router.journal.record(Event::AttemptFailed { request, server, reason });
                }
            }
            // Closing the connection cancels the work of the failed engine.
            drop((body, connection, call));
            self.call.resume_from = self.relayed;
            started = match self.attempts.send(&self.router, &self.call, &mut None).await {
                Ok(started) => started,
                Err(refusal) => return self.abort(refusal).await,
            };
        }
    }

    /// Relays one engine's events until its stream completes or fails, or the caller leaves.
    ///
    /// The first token must arrive by `token_deadline`, each later one within `Router::token_gap`.
    async fn relay_response(
        &mut self,
        body: &mut BackendBody,
        token_deadline: Instant,
    ) -> RelayEnd {
        let mut events = ChatStreamParser::default();
        let mut bytes_without_token = 0;
        let mut deadline = token_deadline;
        let mut timeout = pin!(sleep_until(deadline));
        self.withheld.clear();
        loop {
            let frame_result = tokio::select! {
                frame_result = body.frame() => frame_result,
                () = self.output.closed() => return RelayEnd::CallerLeft,
                () = timeout.as_mut() => {
                    if Instant::now() >= deadline {
                        return RelayEnd::Failed("no token within the time limit".to_owned());
                    }
                    timeout.as_mut().reset(deadline);
                    continue;
                }
            };
            if let Some(Ok(frame)) = &frame_result {
                bytes_without_token += frame.data_ref().map_or(0, Bytes::len);
            }
            let cut = match parse_frame(&mut events, frame_result) {
                Ok(cut) => cut,
                Err(RelayError::Interrupted(reason)) => return RelayEnd::Failed(reason),
                Err(RelayError::Malformed(reason)) => {
                    self.record_outcome(AttemptOutcome::Malformed);
                    return RelayEnd::Failed(reason);
                }
            };
            if self.relayed == 0 && cut.tokens > 0 {
                self.record_outcome(AttemptOutcome::FirstToken(self.started_at.elapsed()));
            }
            if cut.tokens > 0 {
                deadline = Instant::now() + self.router.token_gap;
                bytes_without_token = 0;
            }
            if bytes_without_token > MAX_BYTES_WITHOUT_TOKEN {
                self.record_outcome(AttemptOutcome::Malformed);
                return RelayEnd::Failed("the engine sends events without content".to_owned());
            }
            let done = cut.done;
            match self.forward(cut).await {
                Ok(()) => {}
                Err(ForwardError::CallerLeft) => return RelayEnd::CallerLeft,
                Err(ForwardError::TooManyFinalEvents) => {
                    self.record_outcome(AttemptOutcome::Malformed);
                    return RelayEnd::Failed("the engine sends no end of its answer".to_owned());
                }
            }
            if done {
                return RelayEnd::Completed;
            }
        }
    }

    async fn forward(&mut self, cut: ParsedEvents) -> Result<(), ForwardError> {
        self.relayed += cut.tokens;
        self.usage = cut.usage.or(self.usage);
        self.withheld.extend_from_slice(&cut.final_events);
        if self.withheld.len() > MAX_WITHHELD_BYTES {
            return Err(ForwardError::TooManyFinalEvents);
        }
        if cut.events.is_empty() {
            return Ok(());
        }
        // An answer that is too long to be rated is still relayed.
        self.sample.take_if(|sample| sample.len() > MAX_SAMPLE_BYTES);
        if let Some(sample) = &mut self.sample {
            sample.extend_from_slice(&cut.events);
        }
        let sent = self.output.send(StreamItem::Events(cut.events)).await;
        sent.map_err(|_| ForwardError::CallerLeft)
    }

    fn record_outcome(&self, outcome: AttemptOutcome) {
        self.router.record_outcome(
            &self.meta.organisation,
            &self.meta.kind,
            &self.call.version,
            outcome,
        );
    }

    /// Commits the bill, then sends the withheld last events. The stream is aborted if billing
    /// fails.
    async fn finish(&mut self) {
        let estimate = || Usage {
            prompt_tokens: estimate_tokens(&self.call.body),
            completion_tokens: self.relayed,
        };
        let usage = self.usage.unwrap_or_else(estimate);
        self.record_outcome(AttemptOutcome::Completed(usage, self.started_at.elapsed()));
        if let Err(refusal) = self.router.bill(&self.meta, &self.call.version, usage).await {
            return self.abort(refusal).await;
        }
        let mut rest = std::mem::take(&mut self.withheld);
        rest.extend_from_slice(END_MARKER);
        let request = self.call.request;
        // Ignore the error: a caller that left just now only misses the end of the stream.
        let _ = self.output.send(StreamItem::Events(rest.freeze())).await;
        self.router.journal.record(Event::AnswerRelayed { request, tokens: self.relayed });
        if let Some(sample) = self.sample.take() {
            self.router.rate_sampled(&self.meta, &self.call, &sample.freeze());
        }
    }

    async fn abort(&self, refusal: Refusal) {
        let refusal = Refusal::may_have_run(refusal.code, refusal.message);
        let event = Bytes::from(format!("data: {}\n\n", refusal.body()));
        self.router.refuse(self.call.request, refusal);
        // Ignore the error: the caller may have left.
        let _ = self.output.send(StreamItem::Abort(event)).await;
    }
}

/// Why events could not be passed on.
enum ForwardError {
    CallerLeft,
    TooManyFinalEvents,
}

/// Why the rest of an engine's stream cannot be used.
enum RelayError {
    /// The connection failed; not necessarily a failure of the version.
    Interrupted(String),
    /// The body is not a valid stream of chunks, which is a failure of the version.
    Malformed(String),
}

fn parse_frame(
    events: &mut ChatStreamParser,
    frame_result: FrameResult,
) -> Result<ParsedEvents, RelayError> {
    let data = match frame_result {
        None => {
            return Err(RelayError::Malformed(
                "the stream ended without its end marker".to_owned(),
            ));
        }
        Some(Err(error)) => return Err(RelayError::Interrupted(error.to_string())),
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    events.push(&data).map_err(|error| RelayError::Malformed(error.to_string()))
}

/// Returns the connection to the pool if the body ends in time, else closes it.
async fn return_connection(mut body: BackendBody, connection: PooledConnection) {
    let end = async {
        loop {
            match body.frame().await {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(_)) => {}
            }
        }
    };
    if tokio::time::timeout(END_TIMEOUT, end).await.unwrap_or(false) {
        connection.return_to_pool();
    }
}
