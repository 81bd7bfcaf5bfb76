use super::{Bill, Claim, StoredAnswer};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};

/// A command of a ledger group. Each is idempotent, so that it may be resent after a lost answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Binds a session to a version; the first one wins.
    Pin {
        /// The session's organisation.
        organisation: OrganisationName,
        /// The session.
        session: SessionName,
        /// The version wanted.
        version: VersionKey,
    },
    /// Takes the sole right to send a call.
    Claim {
        /// The caller's organisation.
        organisation: OrganisationName,
        /// The caller's key.
        key: IdempotencyKey,
        /// The claim as it is to stand.
        claim: Claim,
    },
    /// Gives a claim up; only where no byte of the call left.
    Release {
        /// The caller's organisation.
        organisation: OrganisationName,
        /// The caller's key.
        key: IdempotencyKey,
        /// The request that holds it.
        request: RequestId,
    },
    /// Records a claimed call's outcome, and its bill in the same step.
    Settle {
        /// The caller's organisation.
        organisation: OrganisationName,
        /// The caller's key.
        key: IdempotencyKey,
        /// The request that holds it.
        request: RequestId,
        /// The answer; `None` where the outcome is unknown.
        answer: Option<StoredAnswer>,
        /// The bill, where there was an answer.
        bill: Option<Bill>,
    },
    /// Bills a request; the first bill of a request wins.
    Bill {
        /// The caller's organisation.
        organisation: OrganisationName,
        /// The bill.
        bill: Bill,
    },
}

/// What a command brought about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerOutcome {
    /// The version that the session is bound to.
    Pinned(VersionKey),
    /// The claim as it stands, ours or an earlier one.
    Claimed(Claim),
    /// The claim is gone, or was not ours.
    Released(bool),
    /// The outcome stands; false where an earlier one did.
    Settled(bool),
    /// The bill stands; false where an earlier one did.
    Billed(bool),
}
