//! Passes a call on to another router, where this one does not reach the servers.

use super::accepted_call::{AttemptHistory, Call, MAX_ENDED_SERVERS};
use super::exchange::{Exchange, SendOutcome, invalid_reason};
use super::hop::{Hop, REFUSED};
use super::hop_account::{HopAccount, HopAllowance};
use super::response::strip_hop_headers;
use super::response_timeout::ResponseTimeout;
use super::{Destination, NamedLimit};
use crate::backend::{BackendBody, PooledConnection, SendError};
use crate::peer::{self, ProtocolVersion};
use crate::policy::Helper;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time limit for connecting to another router, with the proof of the shared secret.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Call {
    /// Sends the call to another router and waits for the head of the response. `last_event` is the id
    /// of the last event that the caller has received.
    pub(super) async fn pass_on(
        &self,
        helper: &Helper,
        history: &mut AttemptHistory,
        last_event: Option<u64>,
        timeout: ResponseTimeout,
    ) -> SendOutcome {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect_to_helper(helper)).await;
        let (mut connection, version) = match connected {
            Ok(Ok(connected)) => connected,
            Ok(Err(cause)) => return SendOutcome::Unreached(cause),
            Err(_) => return SendOutcome::Unreached("connection attempt timed out".to_owned()),
        };
        connection.set_single_use();
        let region = self.gateway.settings.regions.of(&helper.data_centre).cloned();
        connection.set_permit(self.permit(Destination::Router { region }));
        let allowance = self.allowance(history, version);
        let request = self.request_to_helper(history, last_event, &allowance, version);
        // What is not known of the other router's sends counts as all that it may do.
        self.charge(history, &allowance.used_up());
        metrics::counter!("samphireshift_calls_passed_on_total").increment(1);
        let sent_at = Instant::now();
        let sent = connection.send_unchanged(request);
        let mut response = match tokio::time::timeout_at(timeout.latest.into(), sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(cause))) => {
                self.settle(history, &allowance, &HopAccount::default());
                return SendOutcome::Unreached(cause);
            }
            Ok(Err(SendError::MaybeSent(cause))) => return SendOutcome::Lost(cause),
            Err(_) => return SendOutcome::Lost("no response in time".to_owned()),
        };
        if let Some(account) = HopAccount::take(response.headers_mut()) {
            self.settle(history, &allowance, &account);
            self.hear_limit(&response, &account, sent_at);
            // That router is sound: it may be passed the call again.
            history.servers.retain(|name| *name != helper.vm);
        }
        self.response_of_helper(helper, response, connection, timeout, sent_at)
    }

    /// What another router may do for the call. One attempt is kept back, in case nothing is heard of
    /// that router any more. Builds that keep no account may send a call once.
    fn allowance(&self, history: &AttemptHistory, version: ProtocolVersion) -> HopAllowance {
        if version < ProtocolVersion::HOP_ACCOUNTS {
            return HopAllowance::UNSTATED;
        }
        let ended = self.ended_servers.load(Ordering::Relaxed);
        HopAllowance {
            sends: self.sends_left(history).saturating_sub(1).max(1),
            ends: MAX_ENDED_SERVERS.saturating_sub(ended + 1).max(1),
            // Others may reach the servers that could not be reached from here.
            tried: history.trail.servers(),
        }
    }

    /// Counts what another router has done for the call, or may have done.
    fn charge(&self, history: &mut AttemptHistory, account: &HopAccount) {
        history.sends += account.sends;
        self.ended_servers.fetch_add(account.ends, Ordering::Relaxed);
    }

    /// Puts the account of another router in the place of all that it was allowed.
    fn settle(&self, history: &mut AttemptHistory, allowance: &HopAllowance, account: &HopAccount) {
        history.sends -= allowance.sends;
        self.ended_servers.fetch_sub(allowance.ends, Ordering::Relaxed);
        self.charge(history, account);
        history.trail.passed_on(&account.servers);
        history.servers.extend(account.servers.iter().cloned());
    }

    /// Takes in the limit that the response of the last server names. That it names none is for the other
    /// router to judge.
    fn hear_limit<B>(&self, response: &Response<B>, account: &HopAccount, sent_at: Instant) {
        let head = self.gateway.format.parse_response(response.headers());
        let is_own = head.id == self.head.id && !response.headers().contains_key(REFUSED);
        if let (true, NamedLimit::PerSecond(_), Some(server)) =
            (is_own, head.limit, account.servers.last())
        {
            self.gateway.limits.hear(server, head.limit, sent_at);
        }
    }

    fn response_of_helper(
        &self,
        helper: &Helper,
        response: Response<BackendBody>,
        connection: PooledConnection,
        timeout: ResponseTimeout,
        sent_at: Instant,
    ) -> SendOutcome {
        let head = self.gateway.format.parse_response(response.headers());
        let status = response.status();
        if response.headers().contains_key(REFUSED) {
            return match status {
                StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                    SendOutcome::Lost(format!("router {} got no response", helper.vm))
                }
                _ => SendOutcome::Refused { status, wait: head.retry_after },
            };
        }
        if head.id != self.head.id {
            return SendOutcome::Lost("the response belongs to another call".to_owned());
        }
        if let Some(reason) = invalid_reason(&response, &head) {
            return SendOutcome::Lost(reason.to_owned());
        }
        let exchange = Exchange::of_helper(self, helper, response, connection, timeout, sent_at);
        SendOutcome::Answered(Box::new(exchange))
    }

    /// Opens a connection on which both ends have proved that they know the shared secret.
    async fn connect_to_helper(
        &self,
        helper: &Helper,
    ) -> Result<(PooledConnection, ProtocolVersion), String> {
        let gateway = &self.gateway;
        let identity = gateway.identity.get().ok_or("this router has no identity yet")?;
        let stream = TcpStream::connect(helper.address).await.map_err(|error| error.to_string())?;
        let secret = &gateway.settings.cluster_secret;
        let peer = peer::connect(stream, secret, identity).await;
        let peer = peer.map_err(|error| error.to_string())?;
        if peer.version < ProtocolVersion::HELPERS {
            return Err("the other router does not take calls".to_owned());
        }
        let parts = peer.framed.into_parts();
        if !parts.read_buf.is_empty() {
            return Err("the other router sent bytes that are no part of the handshake".to_owned());
        }
        let adopted = gateway.connections.adopt(helper.address, parts.io, None).await;
        let connection = adopted.map_err(|error| error.to_string())?;
        Ok((connection, peer.version))
    }

    /// The caller's request, with what the other router has to know.
    fn request_to_helper(
        &self,
        history: &AttemptHistory,
        last_event: Option<u64>,
        allowance: &HopAllowance,
        version: ProtocolVersion,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let states_allowance = version >= ProtocolVersion::HOP_ACCOUNTS;
        // Builds that keep no account make all attempts that the count leaves.
        let last_send = self.route.max_attempts.saturating_sub(1);
        let hop = Hop {
            left: self.deadline.saturating_duration_since(Instant::now()),
            revision: self.gateway.lease.revision().unwrap_or(0),
            sends: if states_allowance { history.sends } else { last_send },
            may_have_run: history.last_failure.is_some(),
            last_event: last_event.or(self.head.last_event),
            allowance: states_allowance.then(|| allowance.clone()),
        };
        hop.write(&mut headers);
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}
