//! Reads and checks a caller's request.

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

/// How much of a refused request's body is read, in bytes, so that a caller that is still sending
/// gets to read the refusal, and for how long.
const DISCARD_BYTES: usize = 8 << 20;
const DISCARD_LIMIT: Duration = Duration::from_secs(1);
/// The longest session name, key or kind, in bytes.
const NAME_BYTES: usize = 256;
/// The longest deadline that a caller may ask for.
const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);

/// Reads a body, within the size and time that are allowed.
pub async fn body(
    body: &mut RequestBody,
    router: &Router,
    unsent: &Unsent,
) -> Result<Bytes, Refusal> {
    let slow = || {
        let text = format!("the body did not arrive within {:?}", router.receive_timeout);
        Refusal::not_run(RefusalCode::TooSlow, text, unsent)
    };
    let read = read_body(body, router.body_limit, unsent);
    tokio::time::timeout(router.receive_timeout, read).await.unwrap_or_else(|_| Err(slow()))
}

/// Reads what is left of a refused request's body, within bounds.
pub async fn discard(body: &mut RequestBody) {
    let read = async {
        let mut count = 0;
        while let Some(Ok(piece)) = Pin::new(&mut *body).data().await {
            count += piece.len();
            if count > DISCARD_BYTES {
                return;
            }
        }
    };
    // What is still on its way then is cut off.
    let _ = tokio::time::timeout(DISCARD_LIMIT, read).await;
}

async fn read_body(
    body: &mut RequestBody,
    limit: usize,
    unsent: &Unsent,
) -> Result<Bytes, Refusal> {
    let mut bytes = BytesMut::new();
    while let Some(piece) = Pin::new(&mut *body).data().await {
        let piece = piece.map_err(|cause| {
            let text = format!("the body broke off: {cause}");
            Refusal::not_run(RefusalCode::BadRequest, text, unsent)
        })?;
        if bytes.len() + piece.len() > limit {
            let text = format!("the body is larger than {limit} bytes");
            return Err(Refusal::not_run(RefusalCode::TooLarge, text, unsent));
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.freeze())
}

/// Reads the headers that every request has.
pub fn meta(
    router: &Router,
    request: RequestId,
    headers: &HeaderMap,
    unsent: &Unsent,
) -> Result<RequestMeta, Refusal> {
    let organisation = organisation(router, headers, unsent)?;
    let session = name(headers, "x-session-id", unsent)?.map(SessionName::new);
    let key = name(headers, "idempotency-key", unsent)?.map(IdempotencyKey::new);
    let kind = name(headers, "x-task-kind", unsent)?.unwrap_or("default");
    let kind = TaskKind::new(kind);
    let wait = match name(headers, "x-deadline-ms", unsent)? {
        None => router.default_timeout,
        Some(text) => deadline(text, unsent)?,
    };
    let deadline = Instant::now() + wait;
    Ok(RequestMeta { request, organisation, session, kind, key, deadline })
}

/// Reads a chat completion.
pub fn chat(meta: RequestMeta, bytes: &[u8], unsent: &Unsent) -> Result<ChatRequest, Refusal> {
    let bad = |text: String| Refusal::not_run(RefusalCode::BadRequest, text, unsent);
    let parsed = serde_json::from_slice::<Map<String, Value>>(bytes);
    let body = parsed.map_err(|cause| bad(format!("the body is not a JSON object: {cause}")))?;
    if !body.get("messages").is_some_and(Value::is_array) {
        return Err(bad("'messages' must be a list".to_owned()));
    }
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("'stream' must be true or false".to_owned())),
    };
    let wish = match body.get("model") {
        None | Some(Value::Null) => ModelRef::Any,
        Some(Value::String(model)) => ModelRef::parse(model),
        Some(_) => return Err(bad("'model' must be a string".to_owned())),
    };
    Ok(ChatRequest { meta, wish, stream, body })
}

/// Reads the parts of a service call; `rest` is what stands behind `/v1/services/`.
pub fn service(
    meta: RequestMeta,
    method: http::Method,
    rest: &str,
    headers: &HeaderMap,
    body: Bytes,
    unsent: &Unsent,
) -> Result<ServiceRequest, Refusal> {
    let bad =
        |error: PathError| Refusal::not_run(RefusalCode::BadRequest, error.to_string(), unsent);
    let ServicePath { service, path } = ServicePath::parse(rest).map_err(bad)?;
    let content_type = headers.get(http::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_owned();
    let service = ServiceName::new(service);
    Ok(ServiceRequest { meta, service, method, path, content_type, body })
}

fn organisation(
    router: &Router,
    headers: &HeaderMap,
    unsent: &Unsent,
) -> Result<OrganisationName, Refusal> {
    let Some(config) = router.lease.config() else {
        let text = "this daemon is cut off from its cluster; another one can serve the request";
        return Err(Refusal::not_run(RefusalCode::NoLease, text, unsent));
    };
    let given = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = given.and_then(|text| text.strip_prefix("Bearer "));
    let known = key.and_then(|key| config.organisation_of(key.trim()));
    let text = "the API key is missing or unknown; send 'Authorization: Bearer KEY'";
    let refuse = || Refusal::not_run(RefusalCode::UnknownKey, text, unsent);
    known.map(|organisation| organisation.name.clone()).ok_or_else(refuse)
}

fn name<'a>(
    headers: &'a HeaderMap,
    header: &str,
    unsent: &Unsent,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let text = format!("header '{header}' must be given once");
        return Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent));
    }
    let text = value.to_str().unwrap_or("").trim();
    if text.is_empty() || text.len() > NAME_BYTES {
        let text = format!("header '{header}' must hold 1 to {NAME_BYTES} ASCII characters");
        return Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent));
    }
    Ok(Some(text))
}

fn deadline(text: &str, unsent: &Unsent) -> Result<Duration, Refusal> {
    let limit = DEADLINE_LIMIT.as_millis() as u64;
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<u64>() {
        Ok(millis) if digits && (1..=limit).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => {
            let text = format!("header 'x-deadline-ms' must be a number from 1 to {limit}");
            Err(Refusal::not_run(RefusalCode::BadRequest, text, unsent))
        }
    }
}
