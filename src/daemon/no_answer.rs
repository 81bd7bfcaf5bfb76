use crate::name::VmName;
use std::time::Duration;
use thiserror::Error;

/// When to ask again where a leader has to be elected, found or heard from: about half an election.
const LEADER_PAUSE: Duration = Duration::from_millis(300);
/// When to ask again where the answer is near: a change on its way is acknowledged as soon as it is accepted, and
/// other daemons answer for one that stops.
const SHORT_PAUSE: Duration = Duration::from_millis(100);

/// What a question to the control group's leader waited for when it ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NoAnswer {
    /// Nobody that was asked knows a leader.
    #[error("no leader is known")]
    LeaderUnknown,
    /// A VM was asked that may lead, and did not answer.
    #[error("{0} may lead and does not answer")]
    LeaderSilent(VmName),
    /// The leader has the change, but it was not accepted in time. It may still be.
    #[error("the change is not accepted yet")]
    NotAccepted,
    /// Too few voters are heard from for anybody to lead.
    #[error("too few voters are heard from for anybody to lead")]
    NoMajority,
    /// The group is being founded, and a change could still be lost with its first voters.
    #[error("too few voters have joined yet")]
    TooFewVoters,
    /// This daemon ends.
    #[error("this daemon stops")]
    Stopping,
}

impl NoAnswer {
    /// A short name, for metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Self::LeaderUnknown => "leader_unknown",
            Self::LeaderSilent(_) => "leader_silent",
            Self::NotAccepted => "not_accepted",
            Self::NoMajority => "no_majority",
            Self::TooFewVoters => "too_few_voters",
            Self::Stopping => "stopping",
        }
    }

    /// When it is worth asking again.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::NotAccepted | Self::Stopping => SHORT_PAUSE,
            _ => LEADER_PAUSE,
        }
    }
}
