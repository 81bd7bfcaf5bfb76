use super::{Bill, Claim, Pin, Retention, StoredAnswer};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A command of a ledger group's replicated state machine. Every command is idempotent, so that it
/// can be resent after its answer was lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Pins a session to a version, unless it has a pin already.
    Pin {
        /// The organisation that the session belongs to.
        organisation: OrganisationName,
        /// The session's name, unique within the organisation.
        session: SessionName,
        /// The version and whether the pin is tentative or final.
        pin: Pin,
    },
    /// Makes a tentative pin final.
    FinalisePin {
        /// The organisation that the session belongs to.
        organisation: OrganisationName,
        /// The session's name, unique within the organisation.
        session: SessionName,
        /// The session's first request, which created the pin.
        request: RequestId,
        /// The final version of the session.
        version: VersionKey,
    },
    /// Claims the exclusive right to send a call, unless another request holds it.
    Claim {
        /// The organisation that the caller belongs to.
        organisation: OrganisationName,
        /// The caller's idempotency key.
        key: IdempotencyKey,
        /// The claim to record.
        claim: Claim,
    },
    /// Releases a claim for good and refuses it if it arrives later. May be sent only if no byte of
    /// the call was sent.
    ReleaseClaim {
        /// The organisation that the caller belongs to.
        organisation: OrganisationName,
        /// The caller's idempotency key.
        key: IdempotencyKey,
        /// The request that holds the claim.
        request: RequestId,
    },
    /// Records the outcome of a claimed call together with its bill.
    RecordOutcome {
        /// The organisation that the caller belongs to.
        organisation: OrganisationName,
        /// The caller's idempotency key.
        key: IdempotencyKey,
        /// The request that holds the claim.
        request: RequestId,
        /// The answer; `None` if the outcome is unknown.
        answer: Option<StoredAnswer>,
        /// The bill, if there is an answer.
        bill: Option<Bill>,
    },
    /// Records the bill of a request, unless it has one already.
    Bill {
        /// The organisation that the caller belongs to.
        organisation: OrganisationName,
        /// The bill to record.
        bill: Bill,
    },
    /// Advances ledger time and removes records that are older than the retention.
    Tick {
        /// The ledger time that the leader read; the command has no effect if it has changed since.
        from: Duration,
        /// The time since then, measured by the leader's monotonic clock.
        elapsed: Duration,
        /// How long records are kept.
        retention: Retention,
    },
}

/// The result of applying a [`LedgerCommand`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerOutcome {
    /// The session's current pin.
    Pinned(Pin),
    /// Whether the pin is final now, with the requested version.
    PinFinalised(bool),
    /// The current claim: the requested one, or an earlier one of the same idempotency key.
    Claimed(Claim),
    /// The claim was refused because the request has released it already.
    AlreadyReleased,
    /// Whether a claim of this request was removed.
    Released(bool),
    /// Whether the outcome was recorded; false if the claim is gone, belongs to another request or
    /// has an answer already.
    OutcomeRecorded(bool),
    /// Whether the bill was recorded; false if the request has one already.
    Billed(bool),
    /// The current ledger time.
    Ticked(Duration),
}
