use crate::name::{
    IdempotencyKey, OrganisationName, RequestId, ServiceName, SessionName, TaskKind,
};
use crate::policy::ModelRef;
use bytes::Bytes;
use serde_json::{Map, Value};
use std::time::Instant;

/// Metadata of a request, from its headers.
#[derive(Debug, Clone)]
pub struct RequestMeta {
    /// Unique ID of the request.
    pub request: RequestId,
    /// Organisation that the API key belongs to.
    pub organisation: OrganisationName,
    /// Session of the request, if the caller names one. It is pinned to one version.
    pub session: Option<SessionName>,
    /// Task kind. An organisation may have a rule for it, with a quality target of its own.
    pub kind: TaskKind,
    /// Idempotency key, if the caller gives one.
    pub key: Option<IdempotencyKey>,
    /// Deadline for the answer.
    pub deadline: Instant,
}

/// A chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Metadata of the request.
    pub meta: RequestMeta,
    /// Model or version that the caller asked for.
    pub model: ModelRef,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Request body, as sent by the caller.
    pub body: Map<String, Value>,
}

/// A call to a service that is not a model.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Metadata of the request.
    pub meta: RequestMeta,
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query after the service's name, starting with `/`.
    pub path: String,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
}
