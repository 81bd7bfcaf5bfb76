use crate::name::{
    IdempotencyKey, OrganisationName, RequestId, ServiceName, SessionName, TaskKind,
};
use crate::policy::Wish;
use bytes::Bytes;
use serde_json::{Map, Value};
use std::time::Instant;

/// What every request brings besides its body.
#[derive(Debug, Clone)]
pub struct Meta {
    /// The request's identity.
    pub request: RequestId,
    /// The organisation that the API key belongs to.
    pub organisation: OrganisationName,
    /// The session, where the caller names one.
    pub session: Option<SessionName>,
    /// The kind of task.
    pub kind: TaskKind,
    /// The idempotency key, where the caller gives one.
    pub key: Option<IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A chat completion.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// What every request brings.
    pub meta: Meta,
    /// What the caller asked for.
    pub wish: Wish,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The caller's body.
    pub body: Map<String, Value>,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// What every request brings.
    pub meta: Meta,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: http::Method,
    /// Path and query behind the service's name, from `/` on.
    pub path: String,
    /// The content type.
    pub media: String,
    /// The body.
    pub body: Bytes,
}
