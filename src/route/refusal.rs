use super::Unsent;
use serde::Serialize;
use std::time::Duration;

/// Whether a refused request was run by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was not run and never will be; it is safe to retry.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Returns the value for the `x-samphireshift-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed or lacks a required header.
    BadRequest,
    /// The request body is too large.
    TooLarge,
    /// The request body did not arrive in time.
    TooSlow,
    /// No such path or method.
    NotFound,
    /// The API key is missing or unknown.
    UnknownKey,
    /// No such model or version.
    UnknownModel,
    /// No such service.
    UnknownService,
    /// The organisation may not use the version or service.
    NotAllowed,
    /// The chosen version, or the one that the session is pinned to, was withdrawn.
    VersionWithdrawn,
    /// No version accepts new requests or meets the quality target.
    NoVersion,
    /// No backend server is available for the request.
    NoServer,
    /// The pool or its servers are overloaded.
    Overloaded,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// This daemon has no valid lease, so it may not serve requests.
    NoLease,
    /// The ledger, which stores pins, claims and bills, cannot be reached.
    NoLedger,
    /// The idempotency key was already used for a different call.
    KeyReused,
    /// It is unknown whether a call that must not run twice has run.
    OutcomeUnknown,
    /// The attempts at the backend servers failed.
    BackendFailed,
    /// The backend server rejected the request as invalid.
    BackendRefused,
}

impl RefusalCode {
    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            RefusalCode::BadRequest | RefusalCode::BackendRefused => 400,
            RefusalCode::UnknownKey => 401,
            RefusalCode::NotAllowed => 403,
            RefusalCode::NotFound | RefusalCode::UnknownModel | RefusalCode::UnknownService => 404,
            RefusalCode::TooSlow => 408,
            RefusalCode::VersionWithdrawn => 410,
            RefusalCode::TooLarge => 413,
            RefusalCode::KeyReused => 422,
            RefusalCode::Overloaded => 429,
            RefusalCode::OutcomeUnknown | RefusalCode::BackendFailed => 502,
            RefusalCode::NoVersion
            | RefusalCode::NoServer
            | RefusalCode::NoLease
            | RefusalCode::NoLedger => 503,
            RefusalCode::DeadlinePassed => 504,
        }
    }

    /// Returns the value for the `code` field of the error body.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCode::BadRequest => "bad_request",
            RefusalCode::TooLarge => "too_large",
            RefusalCode::TooSlow => "too_slow",
            RefusalCode::NotFound => "not_found",
            RefusalCode::UnknownKey => "unknown_key",
            RefusalCode::UnknownModel => "unknown_model",
            RefusalCode::UnknownService => "unknown_service",
            RefusalCode::NotAllowed => "not_allowed",
            RefusalCode::VersionWithdrawn => "version_withdrawn",
            RefusalCode::NoVersion => "no_version",
            RefusalCode::NoServer => "no_server",
            RefusalCode::Overloaded => "overloaded",
            RefusalCode::DeadlinePassed => "deadline_passed",
            RefusalCode::NoLease => "no_lease",
            RefusalCode::NoLedger => "no_ledger",
            RefusalCode::KeyReused => "key_reused",
            RefusalCode::OutcomeUnknown => "outcome_unknown",
            RefusalCode::BackendFailed => "backend_failed",
            RefusalCode::BackendRefused => "backend_refused",
        }
    }

    /// Returns the default delay before a retry, or `None` if a retry does not help by itself.
    pub fn retry_after(self) -> Option<Duration> {
        const SHORT_DELAY: Duration = Duration::from_secs(1);
        const LONG_DELAY: Duration = Duration::from_secs(3);
        match self {
            RefusalCode::Overloaded | RefusalCode::NoServer | RefusalCode::NoLedger => {
                Some(SHORT_DELAY)
            }
            RefusalCode::NoLease | RefusalCode::NoVersion => Some(LONG_DELAY),
            _ => None,
        }
    }
}

/// The final error response to a request that got no complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Reason code.
    pub code: RefusalCode,
    /// Explanation for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay before a retry, where a retry can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was never sent; the `Unsent` proof guarantees that.
    pub fn not_run<S>(code: RefusalCode, message: S, _proof: &Unsent) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), ran: Ran::No, retry_after: code.retry_after() }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run<S>(code: RefusalCode, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), ran: Ran::Unknown, retry_after: code.retry_after() }
    }

    /// Returns the error body, as JSON.
    pub fn body(&self) -> String {
        let error = serde_json::json!({
            "type": "samphireshift",
            "code": self.code.as_str(),
            "message": self.message,
            "ran": self.ran.as_str(),
        });
        serde_json::json!({ "error": error }).to_string()
    }
}

/// Creates a refusal: not run if there is a proof that the request was not sent, else it may have
/// run.
pub(super) fn refuse<S>(code: RefusalCode, message: S, unsent: Option<&Unsent>) -> Refusal
where
    S: Into<String>,
{
    match unsent {
        Some(proof) => Refusal::not_run(code, message, proof),
        None => Refusal::may_have_run(code, message),
    }
}

/// Creates a refusal of a request that was not sent, with a retry delay other than the code's
/// default.
pub(super) fn refuse_with_delay<S>(
    code: RefusalCode,
    message: S,
    delay: Duration,
    unsent: &Unsent,
) -> Refusal
where
    S: Into<String>,
{
    let refusal = Refusal::not_run(code, message, unsent);
    Refusal { retry_after: Some(delay), ..refusal }
}
