use crate::name::{RequestId, TaskKind, VersionKey};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The header that carries a request's identity to backend servers and back.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Bytes of text to one token, about what English prose has.
const BYTES_PER_TOKEN: u64 = 4;

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

/// What the router reads of a whole answer.
#[derive(Debug, Deserialize)]
pub struct WholeAnswer {
    choices: Vec<WholeChoice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct WholeChoice {
    #[serde(rename = "message")]
    _message: IgnoredAny,
}

impl WholeAnswer {
    /// Reads a body; `None` where it is no whole chat completion.
    ///
    /// ```
    /// use samphireshift::backend::WholeAnswer;
    /// assert!(WholeAnswer::read(br#"{"choices":[{"message":{}}]}"#).is_some());
    /// assert!(WholeAnswer::read(br#"{"choices":[{"mess"#).is_none());
    /// ```
    pub fn read(json: &[u8]) -> Option<Self> {
        let answer = serde_json::from_slice::<Self>(json).ok()?;
        (!answer.choices.is_empty()).then_some(answer)
    }

    /// The usage that the engine reported.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

/// A rough count of the tokens in a caller's body or in an answer, for engines that report none.
pub fn estimate_tokens(body: &Map<String, Value>) -> u64 {
    let messages = body.get("messages").or_else(|| body.get("choices"));
    let bytes = messages.map_or(0, text_bytes);
    bytes.div_ceil(BYTES_PER_TOKEN)
}

fn text_bytes(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.len() as u64,
        Value::Array(list) => list.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.values().map(text_bytes).sum(),
        _ => 0,
    }
}
