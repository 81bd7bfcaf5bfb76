use super::{Bill, Claim, Pin, Retention, StoredAnswer};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A command of a ledger group. Each is idempotent, so that it may be resent after a lost answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Binds a session to a version; the first one wins.
    Pin {
        /// The session's organisation.
        organisation: OrganisationName,
        /// The session.
        session: SessionName,
        /// The version wanted, tentatively or for good.
        pin: Pin,
    },
    /// Makes a tentative pin final.
    SettlePin {
        /// The session's organisation.
        organisation: OrganisationName,
        /// The session.
        session: SessionName,
        /// The first turn, which made the pin.
        request: RequestId,
        /// The version that the session keeps.
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
    /// Gives a claim up for good, made or still on its way; only where no byte of the call left.
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
    /// Moves ledger time on and forgets what is older than the retention.
    Tick {
        /// The ledger time that the leader saw; nothing happens where it is no longer so.
        from: Duration,
        /// The time that the leader measured since, by its monotonic clock.
        elapsed: Duration,
        /// What to keep.
        retention: Retention,
    },
}

/// What a command brought about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerOutcome {
    /// The session's pin as it stands.
    Pinned(Pin),
    /// Whether the pin became final, or was so already, with the wanted version.
    PinSettled(bool),
    /// The claim as it stands, ours or an earlier one.
    Claimed(Claim),
    /// The request has given its claim up before; it gets none.
    Void,
    /// The claim is gone, or was not ours.
    Released(bool),
    /// The outcome stands; false where an earlier one did.
    Settled(bool),
    /// The bill stands; false where an earlier one did.
    Billed(bool),
    /// The ledger time.
    Ticked(Duration),
}
