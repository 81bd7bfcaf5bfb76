use super::{PoolRollout, Rollout, RouteTable, SummaryChange, Ticket, TicketAnswer};
use crate::name::VersionKey;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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
    /// Replaces the whole route table, unless the one in force has the same or a higher number.
    Replace(Arc<RouteTable>),
    /// Starts a pool's roll-out, unless the newest one of the pool has the same target.
    Begin(PoolRollout),
    /// Moves a pool's roll-out on, if it still is as `before`.
    Shift {
        /// The roll-out as the proposer knew it.
        before: PoolRollout,
        /// The roll-out as it is to be.
        after: PoolRollout,
    },
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
