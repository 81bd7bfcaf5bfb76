use super::{
    OperatorOrder, PoolRollout, RegionRules, Rollout, RouteTable, StatsSummaryChange, Ticket,
    TicketAnswer,
};
use crate::name::{DataCentre, VersionKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A command of the control group's replicated state machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Applies an operator's ticket.
    Ticket(Ticket),
    /// Withdraws a version that the evidence shows to be bad. A ticket with a higher number than
    /// the version's last one can reopen it; older tickets cannot.
    StopVersion {
        /// The version to withdraw.
        version: VersionKey,
        /// The observations behind the decision, as text for operators.
        evidence: String,
    },
    /// Replaces a roll-out with `after` if it still equals `before` (compare-and-swap).
    AdvanceRollout {
        /// The roll-out as the proposer read it.
        before: Rollout,
        /// The new state of the roll-out.
        after: Rollout,
    },
    /// Issues the next fencing number.
    IssueFence,
    /// Updates the statistics and evidence; does not change the configuration's revision.
    UpdateStats(StatsSummaryChange),
    /// Replaces the whole route table, unless the current one has the same or a higher number.
    ReplaceRouteTable(Arc<RouteTable>),
    /// Starts a pool's roll-out, unless the newest one of the pool has the same target.
    StartPoolRollout(PoolRollout),
    /// Replaces a pool's roll-out with `after` if it still equals `before` (compare-and-swap).
    AdvancePoolRollout {
        /// The roll-out as the proposer read it.
        before: PoolRollout,
        /// The new state of the roll-out.
        after: PoolRollout,
    },
    /// Blocks calls with a part of a prompt; does not change the configuration's revision.
    BlockPart {
        /// The id of the part.
        part: u64,
        /// The observations behind the decision, as text for operators.
        evidence: String,
    },
    /// Lets calls with a part through again.
    ClearPart(u64),
    /// Blocks a request; does not change the configuration's revision.
    BlockRequest {
        /// The id of the request.
        request: u64,
        /// The observations behind the decision, as text for operators.
        evidence: String,
    },
    /// Lets a request through again.
    ClearRequest(u64),
    /// Keeps calls from the servers of a data centre, unless that is so already.
    BeginEvacuation(DataCentre),
    /// Lets calls to the servers of a data centre through again, unless that is so already.
    FinishEvacuation(DataCentre),
    /// As [`ControlCommand::ReplaceRouteTable`], with rules on where calls on its routes may be
    /// served.
    ReplaceTableInRegions(Arc<RouteTable>, Arc<RegionRules>),
    /// Carries out an operator's order, unless that is done already or its caller has to confirm it first.
    Order {
        /// What is ordered.
        order: OperatorOrder,
        /// The number of the object's last order when the caller confirmed this one; `None` if it has not.
        after: Option<u64>,
    },
}

/// The result of applying a [`ControlCommand`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlOutcome {
    /// Whether the ticket was accepted, and if not, why.
    Ticket(TicketAnswer),
    /// The configuration changed and now has this revision.
    Changed(u64),
    /// The configuration did not change: the command's precondition no longer held, or the command
    /// only updated statistics.
    Unchanged,
    /// A fencing number, higher than every one issued before.
    Fence(u64),
    /// Nothing changed: the order may be a late copy of one that later orders have replaced. Its caller has to
    /// confirm it as one that follows the order with this number.
    NeedsConfirmation(u64),
}
