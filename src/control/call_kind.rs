use serde::{Deserialize, Serialize};

/// What may be done with a call whose outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// Its answer is a stream of events; it may run again only where the stream can be resumed.
    Streaming {
        /// Whether a later run may go on behind the last event that was received.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call may be sent again although it may have run.
    ///
    /// ```
    /// use samphireshift::control::CallKind;
    /// assert!(CallKind::Streaming { resumable: true }.may_repeat());
    /// assert!(!CallKind::NonIdempotent.may_repeat());
    /// ```
    pub fn may_repeat(self) -> bool {
        matches!(self, CallKind::Idempotent | CallKind::Streaming { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Streaming { .. })
    }
}
