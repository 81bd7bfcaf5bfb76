//! One call at one backend server, up to the head of its answer.

use super::call::Call;
use super::permit::RoutePermit;
use super::place::Place;
use super::reply::strip_hop_headers;
use super::server_table::Placed;
use super::tallies::{Counted, Ending};
use super::{AnswerHead, SentHead};
use crate::backend::{Lent, SendError};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use std::time::{Duration, Instant};

/// A connection that its server announced to keep for a whole number of seconds is given up this
/// much earlier, so that no call crosses the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long a connection is kept whose server announces nothing.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// What became of a call that was to be sent to a server.
pub enum Sent {
    /// The head of an answer has come.
    Answered(Box<Exchange>),
    /// No byte has left.
    Unsent(String),
    /// The server says that it did not run the call.
    Unrun(StatusCode),
    /// The call may have run.
    Lost(String),
}

/// A call whose answer has begun.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: AnswerHead,
    /// Its place at the server.
    pub placed: Placed,
    /// Its place among the counts of versions.
    pub counted: Counted,
    lent: Lent,
}

impl Exchange {
    /// The whole answer has come: the connection may carry another call.
    pub fn finish(mut self) {
        self.counted.end(match self.response.status().is_server_error() {
            true => Ending::Bad,
            false => Ending::Good,
        });
        let idle = self.head.idle.map(|idle| idle.saturating_sub(IDLE_MARGIN));
        self.lent.give_back_for(idle.unwrap_or(IDLE_DEFAULT));
    }

    /// The answer is not wanted: its run is given up, and the server hears of it at once.
    pub fn set_aside(mut self: Box<Self>) {
        self.begun();
        self.counted.end(Ending::Good);
    }

    /// The answer, or its first event, has come.
    pub fn begun(&mut self) {
        self.placed.read();
        let ratio = self.counted.answered();
        self.placed.server.answered(ratio);
    }
}

impl Call {
    /// Sends the call to a server and waits for the head of the answer, for `patience` at most.
    pub(super) async fn send(&self, place: Place, event: Option<u64>, patience: Duration) -> Sent {
        let Place { server, unread, expected, .. } = place;
        let placed = server.begin(&self.parts, unread);
        let version = server.vm.version.as_ref();
        let mut counted = self.gateway.tallies.begin(
            &self.pool,
            version,
            &self.route.name,
            self.model.as_ref(),
            expected,
        );
        let fresh = !self.route.kind.may_repeat();
        let mut lent = match self.gateway.connections.take(server.vm.address, fresh).await {
            Ok(lent) => lent,
            Err(error) => {
                server.pause();
                return Sent::Unsent(error.to_string());
            }
        };
        let place = (self.route.host.as_str(), self.route.prefix.as_str());
        let (lease, pool) = (self.gateway.lease.clone(), self.pool.clone());
        lent.guard(RoutePermit::open(lease, place, pool, self.key.clone()));
        let request = self.request(&server.vm.vm, event);
        let answer = tokio::time::timeout(patience, lent.send_unchanged(request)).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(cause))) => return Sent::Unsent(cause),
            Ok(Err(SendError::MaybeSent(cause))) => {
                server.failed();
                server.pause();
                return Sent::Lost(cause);
            }
            Err(_) => {
                server.failed();
                return Sent::Lost("no answer in time".to_owned());
            }
        };
        let head = self.gateway.format.answer(response.headers());
        if let Some(load) = head.load {
            server.report(load);
        }
        let other = head.id.is_some() && self.head.id.is_some() && head.id != self.head.id;
        if other {
            return Sent::Lost("the answer to another call".to_owned());
        }
        if head.unrun || response.status() == StatusCode::MISDIRECTED_REQUEST {
            server.pause();
            return Sent::Unrun(response.status());
        }
        if let Some(fault) = fault_of(&response, &head) {
            server.failed();
            return Sent::Lost(fault.to_owned());
        }
        if response.status().is_server_error() {
            server.failed();
            counted.end(Ending::Bad);
        }
        Sent::Answered(Box::new(Exchange { response, head, placed, counted, lent }))
    }

    fn request(&self, server: &crate::name::VmName, event: Option<u64>) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let sent = SentHead {
            owner: self.owner.as_ref(),
            server,
            left: self.until.saturating_duration_since(Instant::now()),
            model: self.model.as_ref(),
            priority: self.priority,
            event: event.or(self.head.event),
        };
        self.gateway.format.write(&mut headers, &sent);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Why an answer is not the server's own.
fn fault_of(response: &Response<Incoming>, head: &AnswerHead) -> Option<&'static str> {
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return Some("the answer is encoded, though nobody asked for it");
    }
    (!head.signed).then_some("the answer is not signed")
}
