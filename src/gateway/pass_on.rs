//! Passes a call on to another router, where this one does not reach the servers.

use super::accepted_call::{AttemptHistory, Call};
use super::exchange::{Exchange, SendOutcome, invalid_reason};
use super::hop::{HOP, Hop, REFUSED};
use super::response::strip_hop_headers;
use super::response_timeout::ResponseTimeout;
use super::route_permit::RoutePermit;
use crate::backend::{PooledConnection, SendError};
use crate::peer::{self, ProtocolVersion};
use crate::policy::Helper;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
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
        history: &AttemptHistory,
        last_event: Option<u64>,
        timeout: ResponseTimeout,
    ) -> SendOutcome {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect_to_helper(helper)).await;
        let mut connection = match connected {
            Ok(Ok(connection)) => connection,
            Ok(Err(cause)) => return SendOutcome::Unreached(cause),
            Err(_) => return SendOutcome::Unreached("connection attempt timed out".to_owned()),
        };
        connection.set_single_use();
        let (lease, revision) = (self.gateway.lease.clone(), self.index.config.revision);
        let (route, pool) = (self.route.clone(), self.pool.clone());
        connection.set_permit(RoutePermit::new(lease, revision, route, pool, self.key.clone()));
        let request = self.request_to_helper(history, last_event);
        metrics::counter!("samphireshift_calls_passed_on_total").increment(1);
        let sent_at = Instant::now();
        let sent = connection.send_unchanged(request);
        let response = match tokio::time::timeout_at(timeout.latest.into(), sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(cause))) => return SendOutcome::Unreached(cause),
            Ok(Err(SendError::MaybeSent(cause))) => return SendOutcome::Lost(cause),
            Err(_) => return SendOutcome::Lost("no response in time".to_owned()),
        };
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
    async fn connect_to_helper(&self, helper: &Helper) -> Result<PooledConnection, String> {
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
        let adopted = gateway.connections.adopt(helper.address, parts.io).await;
        adopted.map_err(|error| error.to_string())
    }

    /// The caller's request, with what the other router has to know.
    fn request_to_helper(
        &self,
        history: &AttemptHistory,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let hop = Hop {
            left: self.deadline.saturating_duration_since(Instant::now()),
            revision: self.gateway.lease.revision().unwrap_or(0),
            sends: history.sends.saturating_sub(1),
            may_have_run: history.last_failure.is_some(),
            last_event: last_event.or(self.head.last_event),
        };
        headers.insert(HOP, hop.to_header());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}
