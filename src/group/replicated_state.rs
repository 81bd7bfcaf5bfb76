use crate::control::ControlState;
use crate::ledger::LedgerState;
use bytes::Bytes;
use thiserror::Error;

/// A committed command or a snapshot could not be decoded. This indicates a bug or corrupted data;
/// it never happens in a healthy cluster.
#[derive(Debug, Error)]
#[error("failed to decode a replicated command or snapshot: {0}")]
pub struct StateDecodeError(#[from] postcard::Error);

/// The state machine that a group replicates.
#[derive(Debug, Clone)]
pub enum ReplicatedState {
    /// State of the control group.
    Control(ControlState),
    /// State of a ledger group.
    Ledger(LedgerState),
}

impl ReplicatedState {
    /// Applies a committed command and returns its serialised outcome.
    ///
    /// # Errors
    /// If the command cannot be decoded.
    pub fn apply(&mut self, command: &[u8]) -> Result<Bytes, StateDecodeError> {
        let outcome = match self {
            ReplicatedState::Control(state) => {
                postcard::to_stdvec(&state.apply(postcard::from_bytes(command)?))
            }
            ReplicatedState::Ledger(state) => {
                postcard::to_stdvec(&state.apply(postcard::from_bytes(command)?))
            }
        };
        Ok(outcome?.into())
    }

    /// Serialises the whole state. The blocked parts follow the control state, then the blocked requests
    /// and the versions of pools: builds that do not know them leave them unread.
    pub fn snapshot(&self) -> Bytes {
        let bytes = match self {
            ReplicatedState::Control(state) => {
                let blocked = state.blocked_parts();
                postcard::to_stdvec(&(state, blocked, &blocked.requests, state.pool_versions()))
            }
            ReplicatedState::Ledger(state) => postcard::to_stdvec(state),
        };
        bytes.expect("replicated state must be serialisable").into()
    }

    /// Replaces the state with a serialised one from [`ReplicatedState::snapshot`].
    ///
    /// # Errors
    /// If the snapshot cannot be decoded.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), StateDecodeError> {
        match self {
            ReplicatedState::Control(state) => {
                let (restored, rest): (ControlState, _) = postcard::take_from_bytes(data)?;
                *state = restored;
                if !rest.is_empty() {
                    let (blocked, rest) = postcard::take_from_bytes(rest)?;
                    state.blocked_parts = blocked;
                    if !rest.is_empty() {
                        let (requests, rest) = postcard::take_from_bytes(rest)?;
                        state.blocked_parts.requests = requests;
                        if !rest.is_empty() {
                            state.pool_versions = postcard::from_bytes(rest)?;
                        }
                    }
                }
            }
            ReplicatedState::Ledger(state) => *state = postcard::from_bytes(data)?,
        }
        Ok(())
    }
}
