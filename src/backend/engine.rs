use crate::name::{RequestId, TaskKind, VersionKey};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The header with the id of a request, also in responses of backend servers that echo it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Bytes of text per estimated token, about the average of English prose.
const BYTES_PER_TOKEN: u64 = 4;

/// The number of tokens of one answer and its prompt, as an engine counts them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens in the answer.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// A chat completion request to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// Id of the caller's request, sent in the `x-request-id` header.
    pub request: RequestId,
    /// The model version that must answer; sent as `model`.
    pub version: VersionKey,
    /// The kind of task that the caller declared; not sent to the engine.
    pub kind: TaskKind,
    /// The caller's JSON body; `model` and `stream` are set when it is sent.
    pub body: Map<String, Value>,
    /// Tokens that the caller already received from an interrupted stream. Unless 0, the engine
    /// resumes the answer after them.
    pub resume_from: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl EngineCall {
    /// Builds the HTTP request.
    pub fn to_http(&self) -> Request<Full<Bytes>> {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), Value::from(self.version.to_string()));
        body.insert("stream".to_owned(), Value::from(self.stream));
        if self.resume_from > 0 {
            body.insert("resume_from".to_owned(), Value::from(self.resume_from));
        }
        let bytes = serde_json::to_vec(&body).expect("JSON values always serialise");
        Request::post("/v1/chat/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, self.request.to_string())
            .body(Full::from(bytes))
            .expect("the request is well formed")
    }
}

/// The fields of a non-streamed chat completion that the router reads.
#[derive(Debug, Deserialize)]
pub struct ChatCompletion {
    choices: Vec<CompletionChoice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct CompletionChoice {
    #[serde(rename = "message")]
    _message: IgnoredAny,
}

impl ChatCompletion {
    /// Parses a response body; `None` if it is not a complete chat completion with at least one
    /// choice.
    ///
    /// ```
    /// use samphireshift::backend::ChatCompletion;
    /// assert!(ChatCompletion::parse(br#"{"choices":[{"message":{}}]}"#).is_some());
    /// assert!(ChatCompletion::parse(br#"{"choices":[{"mess"#).is_none());
    /// ```
    pub fn parse(json: &[u8]) -> Option<Self> {
        let answer = serde_json::from_slice::<Self>(json).ok()?;
        (!answer.choices.is_empty()).then_some(answer)
    }

    /// The token counts that the engine reported, if any.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

/// Estimates the tokens of a request body or a chat completion from the length of its texts, for
/// engines that report no usage.
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
