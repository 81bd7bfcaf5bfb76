//! Processing of one call: attempts at backend servers, model escalation and the response.

use super::accept::{accept, parts_for_model};
use super::accepted_call::{AttemptHistory, Call};
use super::exchange::Exchange;
use super::hop::Hop;
use super::hop_account::HopAccount;
use super::response::{ResponseBody, full_body, may_carry_events, strip_hop_headers};
use super::server_selection::Selection;
use super::stream_relay::{StreamRelay, relay_stream};
use super::unfinished_answer::UnfinishedAnswer;
use super::{Gateway, GatewayError};
use crate::backend::BodyError;
use crate::inbound::InboundBody;
use crate::policy::{AnswerTimes, accepts_answer};
use http::{Request, Response, header};
use std::sync::Arc;
use std::time::Instant;

/// The largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How much longer the largest model takes to start its response than the smallest, as a factor.
const LARGEST_MODEL_SLOWDOWN: f64 = 2.2;
/// Fraction of the time to the latency target, or to the deadline if that is earlier, in which the
/// larger model must respond; the rest is for sending the kept answer.
const ESCALATION_FRACTION: f64 = 0.9;

/// What came of a request.
pub struct Served {
    /// The response, or why there is none.
    pub result: Result<Response<ResponseBody>, GatewayError>,
    /// What was done for it here, if another router has passed it on.
    pub account: HopAccount,
}

/// Serves one request within its deadline.
pub async fn serve(
    gateway: &Arc<Gateway>,
    request: Request<InboundBody>,
    hop: Option<Hop>,
) -> Served {
    let started = Instant::now();
    let call = match accept(gateway, request, started, hop).await {
        Ok(call) => Arc::new(call),
        Err(error) => return Served { result: Err(error), account: HopAccount::default() },
    };
    // A call counts once, where the caller sent it.
    if call.hop.is_none() {
        call.gateway.record_call(&call.pool);
    }
    call.gateway.count_for_silence();
    let mut history = call.hop.as_ref().map(AttemptHistory::passed_on).unwrap_or_default();
    let result = serve_accepted(&call, &mut history).await;
    Served { result, account: history.account(&call) }
}

async fn serve_accepted(
    call: &Arc<Call>,
    history: &mut AttemptHistory,
) -> Result<Response<ResponseBody>, GatewayError> {
    let sends_before = history.sends;
    let work = try_servers(call, history);
    let served = tokio::select! {
        served = tokio::time::timeout_at(call.deadline.into(), work) => served,
        // A response tells more than a connection that is closed as the process ends.
        () = call.gateway.until_ending() => {
            log::info!("call {}: given up, as this router ends", call.log_id());
            Ok(Err(match history.sends == sends_before || history.is_not_run() {
                true => GatewayError::Stopping,
                false => GatewayError::ResponseLost("this router ends".to_owned()),
            }))
        }
        // Dropping the attempt closes its connection: the call may still wait in its server's queue.
        suspect = call.gateway.parts.until_blocked(&call.suspects) => {
            log::info!("call {}: given up, as {suspect} ends servers", call.log_id());
            Ok(Err(match history.sends == sends_before || history.is_not_run() {
                true => GatewayError::Blocked(suspect),
                false => GatewayError::ResponseLost(format!("{suspect} ends servers")),
            }))
        }
    };
    match served {
        Ok(response) => response,
        Err(_) if history.sends == sends_before || history.is_not_run() => {
            Err(GatewayError::NotSentInTime)
        }
        Err(_) => Err(GatewayError::TimedOut),
    }
}

/// Tries servers until one responds. A server's own 5xx response is returned if no later attempt
/// brings another one.
async fn try_servers(
    call: &Arc<Call>,
    history: &mut AttemptHistory,
) -> Result<Response<ResponseBody>, GatewayError> {
    let mut call = call.clone();
    let mut failure = None;
    loop {
        let mut exchange = match call.next_exchange(history, None).await {
            Ok(exchange) => exchange,
            Err(error) => return failure.ok_or(error),
        };
        if exchange.response.status().is_server_error() {
            match collect_response(exchange, call.deadline).await {
                Ok(response) if call.may_retry_after_run(history) => failure = Some(response),
                Ok(response) => return Ok(response),
                Err(cause) => log::info!("call {}: {cause}", call.log_id()),
            }
            history.last_failure = Some("the server returned a 5xx status".to_owned());
            continue;
        }
        // The other router has chosen among the models.
        let larger = match exchange.is_passed_on() {
            true => None,
            false => call.escalation(&exchange, history),
        };
        if let Some(larger) = larger {
            if !call.gateway.settings.keep_first_answer {
                exchange.response_started(&call);
                exchange.discard();
                history.servers.clear();
                history.record_low_confidence();
                call = Arc::new(larger);
                continue;
            }
            exchange.keep(&call);
            if let Some(response) = ask_larger(larger, history).await {
                exchange.discard();
                return Ok(response);
            }
        }
        match respond(&call, exchange, history).await {
            Ok(response) => return Ok(response),
            Err(cause) => history.record_loss(cause),
        }
    }
}

/// Asks a larger model while the smaller one's answer is kept. `None` unless a successful response is
/// ready by [`Call::escalation_end`]: a stream that has begun, or any other response as a whole.
async fn ask_larger(larger: Call, history: &mut AttemptHistory) -> Option<Response<ResponseBody>> {
    let tried = std::mem::take(&mut history.servers);
    let unreached = std::mem::take(&mut history.unreached);
    history.record_low_confidence();
    let until = larger.escalation_end();
    let larger = Arc::new(larger);
    let log_id = larger.log_id();
    let work = Box::pin(try_servers(&larger, history));
    let (response, outcome) = match tokio::time::timeout_at(until.into(), work).await {
        Ok(Ok(response)) if response.status().is_success() => (Some(response), "answered"),
        Ok(_) => (None, "failed"),
        Err(_) => (None, "late"),
    };
    metrics::counter!("samphireshift_escalations_total", "outcome" => outcome).increment(1);
    history.servers.extend(tried);
    history.unreached += unreached;
    if response.is_none() {
        log::info!("call {log_id}: the first answer is used; larger model: {outcome}");
    }
    response
}

/// The response to the caller from an answer whose head has arrived.
async fn respond(
    call: &Arc<Call>,
    mut exchange: Box<Exchange>,
    history: &mut AttemptHistory,
) -> Result<Response<ResponseBody>, String> {
    let is_stream = call.route.kind.is_stream() && may_carry_events(&exchange.response);
    if is_stream && exchange.response.status().is_success() {
        let opened = StreamRelay::open(call.clone(), exchange).await?;
        return Ok(relay_stream(opened, history.hand_over()));
    }
    exchange.response_started(call);
    let (sent_at, turns, passed_on) = (exchange.sent_at(), exchange.turns, exchange.is_passed_on());
    let response = collect_response(exchange, call.deadline).await?;
    if !passed_on {
        call.record_whole(sent_at.elapsed(), turns);
    }
    Ok(response)
}

/// Reads the whole response body before any of it is sent, so that a truncated response can be
/// retried.
async fn collect_response(
    mut exchange: Box<Exchange>,
    deadline: Instant,
) -> Result<Response<ResponseBody>, String> {
    let mut share = exchange.buffers.share();
    let mut unfinished = UnfinishedAnswer::new(&exchange.in_flight.server, deadline);
    let read = exchange.response.body_mut().read_whole(MAX_RESPONSE_BYTES, &mut share).await;
    unfinished.has_ended = true;
    let body = read.map_err(|error| {
        match error {
            BodyError::Interrupted(_) => {
                exchange.in_flight.server.record_failure();
                exchange.server_ended();
            }
            BodyError::TooLarge(_) => exchange.in_flight.server.record_failure(),
            // This router lacks the room, and the server is as good as before.
            BodyError::NoRoom(_) => {}
        }
        error.to_string()
    })?;
    let mut response = Response::new(full_body(body));
    // The body counts as held until the caller's connection takes it over.
    response.extensions_mut().insert(Arc::new(share));
    *response.status_mut() = exchange.response.status();
    // Whether the run was sound is told by the headers too, so they stay.
    let mut headers = exchange.response.headers().clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    exchange.finish();
    Ok(response)
}

/// Milliseconds until a moment; 0 if it has passed.
fn millis_until(at: Instant) -> f64 {
    at.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3
}

impl Call {
    /// Until when a larger model's answer may begin while a smaller one's is kept.
    fn escalation_end(&self) -> Instant {
        let longest = self.deadline.saturating_duration_since(self.started);
        self.started + longest.min(self.route.latency_target).mul_f64(ESCALATION_FRACTION)
    }

    /// The time that is left for a larger model's answer, which may go to the caller at any time before the
    /// deadline unless a smaller one's is kept meanwhile.
    fn left_for_larger(&self) -> AnswerTimes {
        let keeps_first = self.gateway.settings.keep_first_answer;
        let until = if keeps_first { self.escalation_end() } else { self.deadline };
        AnswerTimes { ready: millis_until(until), end: millis_until(self.deadline) }
    }

    /// The call for the largest model, if the confidence of the response is too low to keep it, there is time
    /// for another answer and the retry budget allows another attempt.
    fn escalation(&self, exchange: &Exchange, history: &AttemptHistory) -> Option<Self> {
        let (model, confidence) = (self.model.as_ref()?, exchange.head.confidence?);
        let largest = self.route.models.last().filter(|largest| *largest != model)?.clone();
        // What may end servers would meet another one; this answer is better than none.
        if !self.may_retry_after_run(history) || self.gateway.parts.is_watched(&self.suspects) {
            return None;
        }
        let parts = parts_for_model(&self.head, Some(&largest));
        let larger = Self { parts, model: Some(largest), ..self.clone() };
        let Selection::Server(server) = larger.select_server(&[]) else { return None };
        // What was learned of the larger model is in the estimates already.
        let slowdown = if server.placed.is_some() { 1.0 } else { LARGEST_MODEL_SLOWDOWN };
        let estimate_ms = server.estimate_ms * slowdown;
        let whole_ms = estimate_ms + server.answer_ms * slowdown;
        let left_ms = millis_until(self.started + self.route.latency_target);
        let keep = accepts_answer(confidence, estimate_ms, left_ms);
        log::debug!(
            "call {}: model {model} reports confidence {confidence}, answer kept: {keep}",
            self.log_id()
        );
        if keep {
            return None;
        }
        let ready = if self.route.kind.is_stream() { estimate_ms } else { whole_ms };
        let (expected, left) = (AnswerTimes { ready, end: whole_ms }, larger.left_for_larger());
        // Only learned estimates are exact enough to rule the larger model out, and one that was never asked
        // would stay unknown.
        let is_known = server.placed.is_some_and(|placed| placed.is_learned);
        let is_too_late = is_known && !expected.fits(&left);
        if left.ready <= 0.0 || is_too_late {
            metrics::counter!("samphireshift_escalations_total", "outcome" => "ruled_out")
                .increment(1);
            return None;
        }
        self.gateway.take_retry(&self.pool).then_some(larger)
    }
}
