use crate::name::{RequestId, TaskKind, VersionKey};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The header that carries a request's identity to backend servers and back.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Tokens that an engine counted for one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// A chat completion as it is sent to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The request.
    pub request: RequestId,
    /// The version that must answer.
    pub version: VersionKey,
    /// The kind of task.
    pub kind: TaskKind,
    /// The caller's body.
    pub body: Map<String, Value>,
    /// Tokens that the caller already has from a broken stream.
    pub resume: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl EngineCall {
    /// The HTTP request.
    pub fn to_http(&self) -> Request<Full<Bytes>> {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), Value::from(self.version.to_string()));
        body.insert("stream".to_owned(), Value::from(self.stream));
        if self.resume > 0 {
            body.insert("resume_from".to_owned(), Value::from(self.resume));
        }
        let bytes = serde_json::to_vec(&body).expect("JSON values always serialise");
        Request::post("/v1/chat/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_HEADER, self.request.to_string())
            .body(Full::from(bytes))
            .expect("the request is well formed")
    }
}

/// The usage that a whole answer or a last event reports.
pub fn usage_of(json: &[u8]) -> Option<Usage> {
    #[derive(Deserialize)]
    struct Reported {
        usage: Option<Usage>,
    }
    serde_json::from_slice::<Reported>(json).ok()?.usage
}
