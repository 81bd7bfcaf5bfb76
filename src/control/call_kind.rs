use serde::{Deserialize, Serialize};

/// How a call whose outcome is unknown may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call may run at most once.
    NonIdempotent,
    /// The response is an event stream; the call is retried only if the stream can be resumed.
    Streaming {
        /// Whether a retry can continue after the last event that was received.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call may be sent again after an attempt that may have run.
    ///
    /// ```
    /// use samphireshift::control::CallKind;
    /// assert!(CallKind::Streaming { resumable: true }.is_retry_safe());
    /// assert!(!CallKind::NonIdempotent.is_retry_safe());
    /// ```
    pub fn is_retry_safe(self) -> bool {
        matches!(self, CallKind::Idempotent | CallKind::Streaming { resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Streaming { .. })
    }
}
