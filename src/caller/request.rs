//! Reads, parses and validates callers' requests.

use super::service_path::{PathError, ServicePath};
use crate::name::{
    IdempotencyKey, OrganisationName, RequestId, ServiceName, SessionName, TaskKind,
};
use crate::policy::ModelRef;
use crate::route::{
    ChatRequest, Refusal, RefusalCode, RequestMeta, Router, ServiceRequest, Unsent,
};
use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use serde_json::{Map, Value};
use std::pin::Pin;
use std::time::{Duration, Instant};
use xitca_web::body::{BodyExt, RequestBody};

/// How much of the body of a refused request is read and discarded, so that a caller that is still
/// sending gets to read the refusal.
const MAX_DISCARD_BYTES: usize = 8 << 20;
/// How long the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest session name, idempotency key or task kind.
const MAX_NAME_BYTES: usize = 256;
/// The longest timeout that a caller may set with `x-deadline-ms`.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Reads a request body, within the size limit and the time limit.
pub async fn read_body(
    body: &mut RequestBody,
    router: &Router,
    unsent: &Unsent,
) -> Result<Bytes, Refusal> {
    let too_slow = || {
        let text = format!(
            "the request body did not arrive within {:?}; send it faster",
            router.receive_timeout
        );
        Refusal::not_run(RefusalCode::TooSlow, text, unsent)
    };
    let read = read_limited(body, router.body_limit, unsent);
    tokio::time::timeout(router.receive_timeout, read).await.unwrap_or_else(|_| Err(too_slow()))
}

/// Reads and discards the rest of a refused request's body, up to a size and a time limit.
pub async fn discard_body(body: &mut RequestBody) {
    let read = async {
        let mut count = 0;
        while let Some(Ok(piece)) = Pin::new(&mut *body).data().await {
            count += piece.len();
            if count > MAX_DISCARD_BYTES {
                return;
            }
        }
    };
    // The rest of a body that exceeds the limits stays unread.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

async fn read_limited(
    body: &mut RequestBody,
    limit: usize,
    unsent: &Unsent,
) -> Result<Bytes, Refusal> {
    let mut bytes = BytesMut::new();
    while let Some(piece) = Pin::new(&mut *body).data().await {
        let piece = piece.map_err(|cause| {
            let text = format!("the request body could not be read: {cause}");
            Refusal::not_run(RefusalCode::BadRequest, text, unsent)
        })?;
        if bytes.len() + piece.len() > limit {
            let text = format!("the request body is larger than the limit of {limit} bytes");
            return Err(Refusal::not_run(RefusalCode::TooLarge, text, unsent));
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.freeze())
}

/// Authenticates a request and parses the headers that all kinds of requests share.
pub fn parse_meta(
    router: &Router,
    request: RequestId,
    headers: &HeaderMap,
    unsent: &Unsent,
) -> Result<RequestMeta, Refusal> {
    let organisation = authenticate(router, headers, unsent)?;
    let session = name_header(headers, "x-session-id", unsent)?.map(SessionName::new);
    let key = name_header(headers, "idempotency-key", unsent)?.map(IdempotencyKey::new);
    let kind = name_header(headers, "x-task-kind", unsent)?.unwrap_or("default");
    let kind = TaskKind::new(kind);
    let timeout = match name_header(headers, "x-deadline-ms", unsent)? {
        None => router.default_timeout,
        Some(text) => parse_timeout(text, unsent)?,
    };
    let deadline = Instant::now() + timeout;
    Ok(RequestMeta { request, organisation, session, kind, key, deadline })
}

/// Parses the body of a chat completion request.
pub fn parse_chat(
    meta: RequestMeta,
    bytes: &[u8],
    unsent: &Unsent,
) -> Result<ChatRequest, Refusal> {
    let bad_request = |text: String| Refusal::not_run(RefusalCode::BadRequest, text, unsent);
    let parsed = serde_json::from_slice::<Map<String, Value>>(bytes);
    let body = parsed
        .map_err(|cause| bad_request(format!("the request body is not a JSON object: {cause}")))?;
    if !body.get("messages").is_some_and(Value::is_array) {
        return Err(bad_request("'messages' must be a list".to_owned()));
    }
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad_request("'stream' must be true or false".to_owned())),
    };
    let model = match body.get("model") {
        None | Some(Value::Null) => ModelRef::Any,
        Some(Value::String(model)) => ModelRef::parse(model),
        Some(_) => return Err(bad_request("'model' must be a string".to_owned())),
    };
    Ok(ChatRequest { meta, model, stream, body })
}

/// Parses a service call; `rest` is the part of the request target after `/v1/services/`.
pub fn parse_service_call(
    meta: RequestMeta,
    method: http::Method,
    rest: &str,
    headers: &HeaderMap,
    body: Bytes,
    unsent: &Unsent,
) -> Result<ServiceRequest, Refusal> {
    let bad_path =
        |error: PathError| Refusal::not_run(RefusalCode::BadRequest, error.to_string(), unsent);
    let ServicePath { service, path } = ServicePath::parse(rest).map_err(bad_path)?;
    let content_type = headers.get(http::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_owned();
    let service = ServiceName::new(service);
    Ok(ServiceRequest { meta, service, method, path, content_type, body })
}

/// The organisation that the API key in the `Authorization` header belongs to.
fn authenticate(
    router: &Router,
    headers: &HeaderMap,
    unsent: &Unsent,
) -> Result<OrganisationName, Refusal> {
    let Some(config) = router.lease.config() else {
        let text = "this daemon has lost contact with its cluster; retry with another daemon";
        return Err(Refusal::not_run(RefusalCode::NoLease, text, unsent));
    };
    let value = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|text| text.strip_prefix("Bearer "));
    let organisation = key.and_then(|key| config.organisation_of(key.trim()));
    let text = "the API key is missing or unknown; send 'Authorization: Bearer KEY'";
    let unknown_key = || Refusal::not_run(RefusalCode::UnknownKey, text, unsent);
    organisation.map(|organisation| organisation.name.clone()).ok_or_else(unknown_key)
}

/// The value of an optional header that holds a name and may be given only once.
fn name_header<'a>(
    headers: &'a HeaderMap,
    header: &str,
    unsent: &Unsent,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let text = format!("header '{header}' must be given only once");
        return Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent));
    }
    let text = value.to_str().unwrap_or("").trim();
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let text = format!("header '{header}' must have 1 to {MAX_NAME_BYTES} ASCII characters");
        return Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent));
    }
    Ok(Some(text))
}

fn parse_timeout(text: &str, unsent: &Unsent) -> Result<Duration, Refusal> {
    let limit = MAX_TIMEOUT.as_millis() as u64;
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<u64>() {
        Ok(millis) if is_digits && (1..=limit).contains(&millis) => {
            Ok(Duration::from_millis(millis))
        }
        _ => {
            let text = format!("header 'x-deadline-ms' must be milliseconds from 1 to {limit}");
            Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent))
        }
    }
}
