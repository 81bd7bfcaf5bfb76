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
use crate::policy::accepts_answer;
use http::{Request, Response, header};
use std::sync::Arc;
use std::time::Instant;

/// The largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How much longer the largest model takes to start its response than the smallest, as a factor.
const LARGEST_MODEL_SLOWDOWN: f64 = 2.2;

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
            Ok(Err(match history.sends == sends_before {
                true => GatewayError::Stopping,
                false => GatewayError::ResponseLost("this router ends".to_owned()),
            }))
        }
        // Dropping the attempt closes its connection: the call may still wait in its server's queue.
        suspect = call.gateway.parts.until_blocked(&call.suspects) => {
            log::info!("call {}: given up, as {suspect} ends servers", call.log_id());
            Ok(Err(match history.sends == sends_before {
                true => GatewayError::Blocked(suspect),
                false => GatewayError::ResponseLost(format!("{suspect} ends servers")),
            }))
        }
    };
    match served {
        Ok(response) => response,
        Err(_) if history.sends == sends_before => Err(GatewayError::NotSentInTime),
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
            call.record_response_time(exchange.elapsed());
            exchange.discard();
            history.servers.clear();
            history.budget_taken = true;
            history.last_failure = Some("the confidence of the model was too low".to_owned());
            call = Arc::new(larger);
            continue;
        }
        let is_stream = call.route.kind.is_stream() && may_carry_events(&exchange.response);
        if is_stream && exchange.response.status().is_success() {
            match StreamRelay::open(call.clone(), exchange).await {
                Ok(opened) => return Ok(relay_stream(opened, history.hand_over())),
                Err(cause) => {
                    history.record_loss(cause);
                    continue;
                }
            }
        }
        call.record_response_time(exchange.elapsed());
        exchange.response_started();
        match collect_response(exchange, call.deadline).await {
            Ok(response) => return Ok(response),
            Err(cause) => history.record_loss(cause),
        }
    }
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
        exchange.in_flight.server.record_failure();
        if let BodyError::Interrupted(_) = error {
            exchange.server_ended();
        }
        error.to_string()
    })?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = exchange.response.status();
    // Whether the run was sound is told by the headers too, so they stay.
    let mut headers = exchange.response.headers().clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    exchange.finish();
    Ok(response)
}

impl Call {
    /// The call for the largest model, if the confidence of the response is too low to keep it and
    /// the retry budget allows another attempt.
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
        let estimate_ms = server.estimate_ms * LARGEST_MODEL_SLOWDOWN;
        let target = self.started + self.route.latency_target;
        let left_ms = target.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let keep = accepts_answer(confidence, estimate_ms, left_ms);
        log::debug!(
            "call {}: model {model} reports confidence {confidence}, answer kept: {keep}",
            self.log_id()
        );
        (!keep && self.gateway.take_retry(&self.pool)).then_some(larger)
    }
}
