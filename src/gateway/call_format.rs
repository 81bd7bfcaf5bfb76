use crate::name::{ModelName, OrganisationName, VmName};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this request, which answers must bear.
    pub id: Option<HeaderValue>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The model that it asks for.
    pub model: ModelWish,
    /// The size of a generation.
    pub tokens: TokenCounts,
    /// The parts of the prompt, in order; the last one is the request's or its session's own.
    pub parts: Vec<PromptPart>,
    /// The session that it belongs to.
    pub session: Option<String>,
    /// The last event that the caller has received of an earlier answer.
    pub event: Option<u64>,
}

/// The model that a caller asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ModelWish {
    /// None, as at plain services.
    #[default]
    Unnamed,
    /// Whichever the router chooses.
    Any,
    /// This one.
    Named(ModelName),
}

/// The size of a generation in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// In the prompt.
    pub prompt: u32,
    /// In the answer, at most.
    pub answer: u32,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What tells it apart.
    pub id: u64,
    /// Its size in tokens.
    pub tokens: u32,
}

/// What the router decided about a request that goes to a server.
#[derive(Debug, Clone)]
pub struct SentHead<'a> {
    /// Whose call it is.
    pub owner: Option<&'a OrganisationName>,
    /// The server; another one at its address must not run the call.
    pub server: &'a VmName,
    /// How long the caller will still wait.
    pub left: Duration,
    /// The model that the router chose, where the choice was its own.
    pub model: Option<&'a ModelName>,
    /// The rank of the call; 0 goes first. `None` for plain services.
    pub priority: Option<u8>,
    /// The last event that has gone to the caller.
    pub event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<HeaderValue>,
    /// Whether the server vouches for it.
    pub signed: bool,
    /// Whether the server says that it did not run the request.
    pub unrun: bool,
    /// The server's load.
    pub load: Option<ReportedLoad>,
    /// How sure the model is of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How long the server keeps the connection when it is idle.
    pub idle: Option<Duration>,
}

/// A server's load as an answer reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at a time.
    pub slots: u32,
}

/// How callers and backend servers write heads.
pub trait CallFormat: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read(&self, headers: &HeaderMap) -> Result<CallHead, String>;

    /// The caller's id of a request, for logs.
    fn name<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Turns a caller's head into that of the request to a server: what is for the router alone
    /// goes, what the router decided comes.
    fn write(&self, headers: &mut HeaderMap, sent: &SentHead<'_>);

    /// Reads the head of a server's answer.
    fn answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Says when a refused caller may come back.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Whether a balancer asks at this path whether the router takes calls.
    fn is_ready_path(&self, path: &str) -> bool;
}
