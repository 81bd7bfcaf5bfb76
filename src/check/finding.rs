use super::Place;
use super::hidden::hide_values;
use serde::Serialize;
use std::fmt;

/// What kind of matter a check has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The configuration is refused for it.
    Refused,
    /// The entry takes effect for no call.
    NeverUsed,
    /// Two limits cannot both be kept.
    Contradiction,
    /// Only the version in force shows whether it is wrong. Not counted as a finding.
    Unsure,
}

impl FindingKind {
    /// The name in texts.
    pub fn as_str(self) -> &'static str {
        match self {
            FindingKind::Refused => "refused",
            FindingKind::NeverUsed => "never used",
            FindingKind::Contradiction => "contradiction",
            FindingKind::Unsure => "unsure",
        }
    }
}

/// One matter that a check has found in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What kind of matter it is.
    pub kind: FindingKind,
    /// Where in the file.
    #[serde(flatten)]
    pub place: Place,
    /// What is wrong, and what to try.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new<S>(kind: FindingKind, place: Place, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { kind, place, message: message.into() }
    }

    /// A finding on a text that is not JSON, or not of the right shape. The values that the message quotes
    /// are hidden, as an API key may be among them.
    pub fn unreadable<S>(error: &serde_json::Error, message: S) -> Self
    where
        S: AsRef<str>,
    {
        Self::new(FindingKind::Refused, Place::of_json(error), hide_values(message.as_ref()))
    }

    /// Whether it counts: whether it is wrong for sure.
    pub fn is_sure(&self) -> bool {
        self.kind != FindingKind::Unsure
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.kind.as_str(), self.message)
    }
}
