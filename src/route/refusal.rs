use super::Unsent;
use serde::Serialize;
use std::time::Duration;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not, and never will.
    No,
    /// It may have.
    Unknown,
}

impl Ran {
    /// As the header `x-samphireshift-ran` says it.
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
    /// The request could not be read.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The body came too slowly.
    TooSlow,
    /// There is no such path or method.
    NotFound,
    /// The API key is missing or unknown.
    UnknownKey,
    /// There is no such model or version.
    UnknownModel,
    /// There is no such service.
    UnknownService,
    /// The organisation may not use it.
    NotAllowed,
    /// The session's version was withdrawn.
    VersionWithdrawn,
    /// No version takes new work.
    NoVersion,
    /// No backend server can take the request.
    NoServer,
    /// Too much is waiting already.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// This daemon has no lease and may not work.
    NoLease,
    /// The shared state cannot be reached.
    NoLedger,
    /// The idempotency key was used for another call.
    KeyReused,
    /// A call that may not be repeated has an open outcome.
    OutcomeUnknown,
    /// The backend server broke off.
    BackendFailed,
    /// The backend server refused the request as wrong.
    BackendRefused,
}

impl RefusalCode {
    /// The HTTP status.
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

    /// As the `code` field says it.
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

    /// When coming back can help, and how soon.
    pub fn retry_after(self) -> Option<Duration> {
        const SOON: Duration = Duration::from_secs(1);
        const LATER: Duration = Duration::from_secs(3);
        match self {
            RefusalCode::Overloaded | RefusalCode::NoServer | RefusalCode::NoLedger => Some(SOON),
            RefusalCode::NoLease | RefusalCode::NoVersion => Some(LATER),
            _ => None,
        }
    }
}

/// The final answer to a request that got no whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// In words, for people.
    pub message: String,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was never sent; the proof makes it true.
    pub fn not_run<S>(code: RefusalCode, message: S, _proof: &Unsent) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), ran: Ran::No, retry: code.retry_after() }
    }

    /// A refusal of a request that may have run.
    pub fn unknown<S>(code: RefusalCode, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), ran: Ran::Unknown, retry: code.retry_after() }
    }

    /// The body, as JSON.
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

/// A refusal as true as the proof allows: not run where there is one, else unknown.
pub(super) fn refuse<S>(code: RefusalCode, message: S, unsent: Option<&Unsent>) -> Refusal
where
    S: Into<String>,
{
    match unsent {
        Some(proof) => Refusal::not_run(code, message, proof),
        None => Refusal::unknown(code, message),
    }
}

/// A refusal, not run, that tells when to come back.
pub(super) fn refuse_until<S>(
    code: RefusalCode,
    message: S,
    wait: Duration,
    unsent: &Unsent,
) -> Refusal
where
    S: Into<String>,
{
    let refusal = Refusal::not_run(code, message, unsent);
    Refusal { retry: Some(wait), ..refusal }
}
