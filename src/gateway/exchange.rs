//! One call at one backend server, up to the head of its response.

use super::accepted_call::Call;
use super::answer_watch::{AnswerWatch, Owed};
use super::cold_news::ColdCause;
use super::connection_room::Room;
use super::hop::HOP;
use super::hop_account::ALLOWANCE;
use super::part_watch::RunRecord;
use super::paths::PoolPath;
use super::placement::AnswerTiming;
use super::response::{ends_with_connection, strip_hop_headers};
use super::response_timeout::ResponseTimeout;
use super::server_selection::SelectedServer;
use super::server_table::{InFlightCall, ServerState};
use super::tallies::{CallOutcome, CallRecorder};
use super::{Destination, ForwardedHead, ResponseHead};
use crate::backend::{
    BackendBody, ByteBudget, PooledConnection, SendError, WritePermit, is_answer_status,
};
use crate::policy::{ConnectFailure, Helper};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A connection is dropped this long before its server's announced keep-alive timeout, which is in
/// whole seconds, so that no call is sent while the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// Why a call gets no response from a server of a pool that cannot be reached.
const NO_SERVER_REACHED: &str = "no server of the pool can be reached";
/// Why a call is not sent to a server to which this router has as many connections as it may.
const NO_CONNECTION: &str = "no connection to the server is free, and no more may be opened";
/// Why a call is not sent to a server that did not answer when others of its pool were tried.
const FOUND_UNREACHED: &str = "the server accepts no connections, and others do";
/// Why a response is none to a call.
const NO_ANSWER_STATUS: &str = "the response has a status that no answer has";
/// How long an idle connection is kept if its server announces no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// The outcome of sending a call to a server.
pub enum SendOutcome {
    /// The head of a response has arrived.
    Answered(Box<Exchange>),
    /// No byte of the call was sent.
    NotSent(String),
    /// No byte of the call was sent, as the server cannot be connected to.
    Unreached(String),
    /// No byte of the call was sent, as no server of the pool can be connected to.
    NoPath,
    /// The router that the call was passed on to refuses it, and it was not run there.
    Refused {
        /// The status of the refusal.
        status: StatusCode,
        /// When to come back.
        wait: Option<Duration>,
    },
    /// The server states that it did not run the call.
    NotRun(StatusCode),
    /// The call may have run, but there is no valid response.
    Lost(String),
}

/// A call whose response head has arrived.
pub struct Exchange {
    /// The response of the server.
    pub response: Response<BackendBody>,
    /// Its parsed headers.
    pub head: ResponseHead,
    /// Counts the call at the server until it is dropped.
    pub in_flight: InFlightCall,
    /// Records the call in the tallies.
    pub recorder: CallRecorder,
    /// How long the first event of a stream may take.
    pub timeout: ResponseTimeout,
    /// Calls that were in line for each place at the server when the call was sent.
    pub turns: f64,
    sent_at: Instant,
    /// Whether the response, or its first event, was recorded as arrived.
    has_started: bool,
    run: RunRecord,
    /// Learns from the answer; `None` for a call that was placed by fixed times.
    timing: Option<AnswerTiming>,
    /// Watches whether the server can be reached; `None` for a call that was passed on.
    watch: Option<AnswerWatch>,
    /// The budget that the bytes held of the response count towards.
    pub buffers: Arc<ByteBudget>,
    connection: PooledConnection,
}

impl Exchange {
    /// The exchange of a call that was passed on to another router. What is learned of servers is
    /// recorded there.
    pub(super) fn of_helper(
        call: &Call,
        helper: &Helper,
        response: Response<BackendBody>,
        connection: PooledConnection,
        timeout: ResponseTimeout,
        sent_at: Instant,
    ) -> Self {
        let gateway = &call.gateway;
        let head = gateway.format.parse_response(response.headers());
        let model = call.model.as_ref();
        let tallies = &gateway.passed_on.tallies;
        Self {
            response,
            head,
            in_flight: ServerState::of_helper(helper, &call.pool).begin_call(&[], 0),
            recorder: tallies.begin_call(&call.pool, None, &call.route.name, model, 1.0),
            timeout,
            turns: 0.0,
            sent_at,
            has_started: false,
            // The account that came with the head does not tell of a server that ends after it.
            run: gateway.passed_on.runs.begin_run(&call.suspects, &call.ended_servers),
            timing: None,
            watch: None,
            buffers: gateway.buffers.clone(),
            connection,
        }
    }

    /// The whole response was read: records the outcome and returns the connection to the pool.
    pub fn finish(mut self) {
        self.recorder.set_outcome(match self.response.status().is_server_error() {
            true => CallOutcome::Failure,
            false => CallOutcome::Success,
        });
        // The end of a connection is no proof that the server lives.
        if self.response.status().is_success() && !ends_with_connection(&self.response) {
            self.run.answered();
        }
        if let Some(timing) = self.timing.take().filter(|_| self.response.status().is_success()) {
            timing.finish(self.sent_at.elapsed());
        }
        let keep_alive =
            self.head.keep_alive.map(|keep_alive| keep_alive.saturating_sub(KEEP_ALIVE_MARGIN));
        self.connection.return_to_pool_for(keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE));
    }

    /// Whether the response comes from a server by way of another router.
    pub fn is_passed_on(&self) -> bool {
        self.watch.is_none()
    }

    /// Watches whether the server can be reached; `None` for a call that was passed on.
    pub fn watch(&self) -> Option<AnswerWatch> {
        self.watch.clone()
    }

    /// Bytes of the answer have arrived.
    pub fn bytes_received(&self) {
        if let Some(watch) = &self.watch {
            watch.record_heard();
        }
    }

    /// An event of the answer has arrived.
    pub fn event_received(&mut self, event: u64) {
        self.recorder.event_received(event);
        self.run.answer_received();
    }

    /// The server ended, or broke its answer off.
    pub fn server_ended(&mut self) {
        let age = self.sent_at.elapsed();
        self.run.server_ended(&self.in_flight.server.vm.name, age);
    }

    /// Keeps the response unread while a larger model is asked: its events then come together, so that the time
    /// between them tells nothing of its server.
    pub(super) fn keep(&mut self, call: &Call) {
        // The time to the head is not that to the first event.
        self.timing = None;
        self.response_started(call);
        self.recorder.ignore_intervals();
        // It has not been waited for in the meantime.
        self.timeout.early = self.timeout.latest;
    }

    /// Discards the response, as its model's confidence is too low. The connection is closed, so
    /// that the server notices at once.
    pub fn discard(mut self: Box<Self>) {
        self.recorder.set_outcome(CallOutcome::Success);
    }

    /// When the call was sent.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Records that the response, or its first event, has arrived; only the first time counts.
    pub(super) fn response_started(&mut self, call: &Call) {
        if std::mem::replace(&mut self.has_started, true) {
            return;
        }
        let elapsed = self.sent_at.elapsed();
        call.record_response_time(elapsed);
        if !self.is_passed_on() {
            call.record_first(elapsed, self.turns);
        }
        self.in_flight.prompt_read();
        let ratio = self.recorder.response_started();
        self.in_flight.server.record_response(ratio);
        if let Some(timing) = self.timing.as_mut().filter(|_| self.response.status().is_success()) {
            timing.first_event(&self.in_flight.server, self.sent_at.elapsed());
        }
    }
}

impl Call {
    /// Sends the call to a server and waits for the head of the response. `may_run` is set before the first
    /// byte is written.
    pub(super) async fn send(
        &self,
        selected: SelectedServer,
        last_event: Option<u64>,
        timeout: ResponseTimeout,
        may_run: &AtomicBool,
    ) -> SendOutcome {
        let SelectedServer { server, uncached_tokens, baseline_ms, permit, placed, .. } = selected;
        let turns = server.load().turns();
        let in_flight = server.begin_call(&self.parts, uncached_tokens);
        self.gateway.record_model(&self.index.config, &self.criteria(None, &[]));
        let version = server.vm.version.as_ref();
        let mut recorder = self.gateway.tallies.begin_call(
            &self.pool,
            version,
            &self.route.name,
            self.model.as_ref(),
            baseline_ms,
        );
        let path = self.gateway.paths.pool(&self.pool);
        let mut connection = match self.connect(&server, &path).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        // Opening the connection took time, in which the server may have said more.
        if self.gateway.servers.is_leaving(&server.vm.name) || !server.backoff_left().is_zero() {
            connection.return_to_pool();
            return SendOutcome::NotSent("the server wants no calls any more".to_owned());
        }
        let Some(mut permit) = self.gateway.limits.renew(&server.vm.name, permit) else {
            connection.return_to_pool();
            return SendOutcome::NotSent("the server's limit allows no call now".to_owned());
        };
        let data_centre = server.vm.data_centre.clone();
        let region = self.gateway.settings.regions.of(&data_centre).cloned();
        let write_permit = self.permit(Destination::Server { data_centre, region });
        connection.set_permit(write_permit.clone());
        let request = self.request(&server.vm.name, last_event);
        let mut run = self.gateway.parts.begin_run(&self.suspects, &self.ended_servers);
        let timing = placed.map(|placed| {
            let criteria = self.criteria(None, &[]);
            AnswerTiming::begin(self.gateway.placement.clone(), &criteria, placed)
        });
        let sent_at = Instant::now();
        permit.spend();
        let watch = AnswerWatch::begin(path.clone(), server.clone());
        if let Some(gap) = self.route.gap_target {
            path.allow_gap(gap);
        }
        may_run.store(true, Ordering::SeqCst);
        let waiting = self.wait_for_response(timeout, connection.send_unchanged(request));
        let result = match self.unless_given_up(&watch, waiting).await {
            Some(result) => result,
            None if connection.bytes_written() == 0 => {
                permit.unspend();
                return SendOutcome::NoPath;
            }
            None => return SendOutcome::Lost(NO_SERVER_REACHED.to_owned()),
        };
        let response = match result {
            Ok(Ok(response)) => {
                watch.record_heard();
                connection.record_answered();
                response
            }
            Ok(Err(SendError::NotSent(cause))) => {
                permit.unspend();
                // An idle connection may end at any time; one that was opened for the call ends with its
                // server, unless the call may not be written any more.
                if connection.is_new() && write_permit.run_if_permitted(&mut || ()) {
                    if let Some(proof) = connection.proof()
                        && self.is_turned_down(&server, &connection).await
                    {
                        return self.turned_down(&server, &path, proof);
                    }
                    server.pause_unreached();
                    path.record_unreached(&self.gateway, &server.vm.name, ConnectFailure::Refused);
                    return SendOutcome::Unreached(cause);
                }
                return SendOutcome::NotSent(cause);
            }
            Ok(Err(SendError::MaybeSent(cause))) => {
                // It may have run all the same, and its answer be lost, or have ended its server.
                if let Some(proof) = connection.proof()
                    && self.was_one_too_many(&server, &connection, proof.room()).await
                {
                    self.record_turned_down(&server, &path, proof);
                    return SendOutcome::Lost(cause);
                }
                server.record_failure();
                run.server_ended(&server.vm.name, sent_at.elapsed());
                server.pause();
                if connection.is_new() {
                    path.record_unreached(&self.gateway, &server.vm.name, ConnectFailure::Refused);
                }
                return SendOutcome::Lost(cause);
            }
            Err(_) => {
                server.record_failure();
                return SendOutcome::Lost("no response in time".to_owned());
            }
        };
        let head = self.gateway.format.parse_response(response.headers());
        // Nothing that it says is news of the server: it may be the late copy of an older answer.
        let is_other_call = head.id.is_some() && self.head.id.is_some() && head.id != self.head.id;
        if is_other_call {
            return SendOutcome::Lost("the response belongs to another call".to_owned());
        }
        if !is_answer_status(response.status()) {
            server.record_failure();
            return SendOutcome::Lost(NO_ANSWER_STATUS.to_owned());
        }
        self.hear(&server, &response, &head, &permit, sent_at);
        let names_no_call = head.id.is_none() && self.head.id.is_some();
        if names_no_call
            && !head.not_executed
            && response.status() != StatusCode::MISDIRECTED_REQUEST
        {
            server.record_failure();
            return SendOutcome::Lost("the response names no call".to_owned());
        }
        if head.not_executed || response.status() == StatusCode::MISDIRECTED_REQUEST {
            server.pause();
            return SendOutcome::NotRun(response.status());
        }
        if let Some(reason) = invalid_reason(&response, &head) {
            server.record_failure();
            return SendOutcome::Lost(reason.to_owned());
        }
        if response.status().is_server_error() {
            server.record_failure();
            recorder.set_outcome(CallOutcome::Failure);
        }
        SendOutcome::Answered(Box::new(Exchange {
            response,
            head,
            in_flight,
            recorder,
            timeout,
            // The server may have said more since then.
            turns: turns.max(server.load().turns()),
            sent_at,
            has_started: false,
            run,
            timing,
            watch: Some(watch),
            buffers: self.gateway.buffers.clone(),
            connection,
        }))
    }

    /// Connects to a server, or says what came of it.
    async fn connect(
        &self,
        server: &ServerState,
        path: &Arc<PoolPath>,
    ) -> Result<PooledConnection, SendOutcome> {
        let (connections, address) = (&self.gateway.connections, server.vm.address);
        let slot = match self.gateway.connection_cap(&self.pool) {
            None if self.route.kind.is_retry_safe()
                && let Some(connection) = connections.acquire_idle(address) =>
            {
                return Ok(connection);
            }
            None => None,
            Some(cap) => match self.connection_room(server, cap).await {
                Room::Idle(connection) => return Ok(connection),
                Room::Place(slot) => Some(slot),
                Room::Full => return Err(SendOutcome::NotSent(NO_CONNECTION.to_owned())),
            },
        };
        if self.hop.is_none() && path.refuses_connections(&self.gateway) {
            return Err(SendOutcome::NoPath);
        }
        let was_lost = path.is_lost();
        let opened = tokio::select! {
            opened = connections.open(address) => opened,
            // A server that has come since the path was lost is worth a try.
            () = path.until_lost(&self.gateway), if !was_lost => return Err(SendOutcome::NoPath),
            () = path.until_unreached(&server.vm.name) => {
                return Err(SendOutcome::Unreached(FOUND_UNREACHED.to_owned()));
            }
        };
        match opened {
            Ok(stream) => {
                if let Some(slot) = &slot
                    && !self.is_accepted(slot.room(), &stream).await
                {
                    return Err(self.turned_down(server, path, slot.proof()));
                }
                path.record_connected();
                let adopted = connections.adopt(address, stream, slot).await;
                adopted.map_err(|error| SendOutcome::NotSent(error.to_string()))
            }
            Err(ConnectFailure::Reset) if let Some(slot) = &slot => {
                Err(self.turned_down(server, path, slot.proof()))
            }
            Err(failure) => {
                let failure = failure.of_uncapped();
                // A single attempt without answer may have been lost on the way.
                if failure == ConnectFailure::Refused || server.is_failing() {
                    let cause = ColdCause::Unreached(failure);
                    self.gateway.limits.presume_cold([&server.vm], cause);
                }
                server.pause_unreached();
                path.record_unreached(&self.gateway, &server.vm.name, failure);
                Err(SendOutcome::Unreached(failure.to_string()))
            }
        }
    }

    /// The output of `waiting`, or `None` once the server cannot be reached and the call may be sent
    /// again.
    async fn unless_given_up<F>(&self, watch: &AnswerWatch, waiting: F) -> Option<F::Output>
    where
        F: Future,
    {
        // One that may not be repeated may have run, and the answer may still come.
        let may_repeat = self.route.kind.is_retry_safe();
        tokio::select! {
            output = waiting => Some(output),
            () = watch.until_given_up(&self.gateway, Owed::Head), if may_repeat => None,
        }
    }

    fn request(
        &self,
        server: &crate::name::VmName,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        headers.remove(HOP);
        headers.remove(ALLOWANCE);
        let head = ForwardedHead {
            organisation: self.organisation.as_ref(),
            server,
            timeout: self.deadline.saturating_duration_since(Instant::now()),
            model: self.model.as_ref(),
            priority: self.priority,
            last_event: last_event.or(self.head.last_event),
        };
        self.gateway.format.write_request(&mut headers, &head);
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Why a response cannot be the server's own; `None` if it can.
pub(super) fn invalid_reason<B>(
    response: &Response<B>,
    head: &ResponseHead,
) -> Option<&'static str> {
    if !is_answer_status(response.status()) {
        return Some(NO_ANSWER_STATUS);
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return Some("the response has a Content-Encoding that was not requested");
    }
    (!head.signed).then_some("the response is not signed")
}
