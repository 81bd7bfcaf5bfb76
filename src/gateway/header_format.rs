use crate::name::{ModelName, OrganisationName, VmName};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

/// The parsed headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of the request; a response must carry the same id.
    pub id: Option<HeaderValue>,
    /// How long the caller will wait for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The model that the caller asks for.
    pub model: RequestedModel,
    /// The size of the generation.
    pub tokens: TokenCounts,
    /// The parts of the prompt, in order. The last one belongs to this request or session alone;
    /// the ones before may be shared with other requests.
    pub parts: Vec<PromptPart>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// The id of the last event received, where the caller resumes an earlier stream.
    pub last_event: Option<u64>,
}

impl RequestHead {
    /// The ids of the parts that other requests may share.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }
}

/// The model that a caller asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequestedModel {
    /// The request names no model, as for plain services.
    #[default]
    Unspecified,
    /// The router chooses the model.
    Any,
    /// A particular model.
    Named(ModelName),
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// The most tokens in the answer.
    pub answer: u32,
}

/// A part of a prompt. Requests with the same part can share a server's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part; equal parts have equal ids.
    pub id: u64,
    /// The size in tokens.
    pub tokens: u32,
}

/// What the router tells a backend server about a forwarded request.
#[derive(Debug, Clone)]
pub struct ForwardedHead<'a> {
    /// The organisation that makes the call; `None` for a call without a known API key.
    pub organisation: Option<&'a OrganisationName>,
    /// The server that the request is meant for; another one that has taken over its address must
    /// not run it.
    pub server: &'a VmName,
    /// How long the caller will still wait.
    pub timeout: Duration,
    /// The model chosen by the router; `None` where the caller chose.
    pub model: Option<&'a ModelName>,
    /// The priority of the call, 0 (first) to 9; `None` for plain services.
    pub priority: Option<u8>,
    /// The id of the last event that the caller has received, where a stream is resumed.
    pub last_event: Option<u64>,
}

/// The parsed headers of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub id: Option<HeaderValue>,
    /// Whether the server has signed the response.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_executed: bool,
    /// The server's load, if reported.
    pub load: Option<ReportedLoad>,
    /// How long work takes at the server at this moment, as a multiple of the usual time, if reported.
    pub pace: Option<f64>,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// How long the server, as it declines the request, wants to be sent nothing.
    pub retry_after: Option<Duration>,
    /// What the server says of the rate of requests that it takes.
    pub limit: NamedLimit,
    /// The calls that the server can turn away in a second for want of room before it falls; `None` if
    /// it does not say that it is brittle.
    pub brittle: Option<f64>,
    /// How much longer the server takes few requests, as it is cold; zero if it says that it is warm.
    pub warm_up: Option<Duration>,
}

/// What a response says of the rate of requests that its server takes from all routers together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// Nothing: the server takes any rate.
    #[default]
    Absent,
    /// Something that is not a rate; what the server said before holds.
    Unreadable,
    /// Nothing new; what the server said before holds.
    Unchanged,
    /// This many requests a second.
    PerSecond(f64),
}

/// A server's load as reported in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls being run.
    pub running: u32,
    /// Calls waiting in the server's queue.
    pub waiting: u32,
    /// Calls that the server can run at the same time.
    pub slots: u32,
}

/// Reads and writes the HTTP headers that callers and backend servers use.
pub trait HeaderFormat: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// A message that says which header is invalid, and why.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHead, String>;

    /// The caller's id of a request, for logs.
    fn log_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Turns a caller's headers into those of the forwarded request: removes what is meant for the
    /// router alone, and adds the router's decisions.
    fn write_request(&self, headers: &mut HeaderMap, sent: &ForwardedHead<'_>);

    /// Parses the headers of a backend server's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseHead;

    /// The value of `Retry-After` that asks a rejected caller to wait for `wait`.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Whether `path` is the load balancer's readiness probe.
    fn is_ready_path(&self, path: &str) -> bool;
}
