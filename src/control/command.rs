use super::{Rollout, SummaryChange, Ticket, TicketAnswer};
use crate::name::VersionKey;
use serde::{Deserialize, Serialize};

/// A command of the control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// An operator's ticket.
    Ticket(Ticket),
    /// Withdraws a version on evidence; wins over older tickets, not over newer ones.
    Stop {
        /// The version.
        version: VersionKey,
        /// What was seen, in words and figures.
        evidence: String,
    },
    /// Moves a roll-out on, if it still is as `before`.
    Step {
        /// The roll-out as the proposer knew it.
        before: Rollout,
        /// The roll-out as it is to be.
        after: Rollout,
    },
    /// Takes the next fencing number.
    Fence,
    /// Keeps what was learned from answers; changes no revision.
    Learn(SummaryChange),
}

/// What a command brought about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlOutcome {
    /// A ticket's answer.
    Ticket(TicketAnswer),
    /// The change was made, at this revision.
    Changed(u64),
    /// The state had moved on; nothing was changed.
    Unchanged,
    /// A fencing number, never given before.
    Fence(u64),
}
