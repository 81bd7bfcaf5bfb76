use crate::control::ControlState;
use crate::ledger::LedgerState;
use bytes::Bytes;
use thiserror::Error;

/// A committed command or snapshot could not be read, which a fault-free cluster never produces.
#[derive(Debug, Error)]
#[error("replicated bytes cannot be read: {0}")]
pub struct ReplicatedError(#[from] postcard::Error);

/// The replicated state of a group.
#[derive(Debug, Clone)]
pub enum Replicated {
    /// The control group's.
    Control(ControlState),
    /// A ledger group's.
    Ledger(LedgerState),
}

impl Replicated {
    /// Applies a committed command and returns its serialised outcome.
    ///
    /// # Errors
    /// Where the command cannot be read.
    pub fn apply(&mut self, command: &[u8]) -> Result<Bytes, ReplicatedError> {
        let outcome = match self {
            Replicated::Control(state) => {
                postcard::to_stdvec(&state.apply(postcard::from_bytes(command)?))
            }
            Replicated::Ledger(state) => {
                postcard::to_stdvec(&state.apply(postcard::from_bytes(command)?))
            }
        };
        Ok(outcome?.into())
    }

    /// Serialises the whole state.
    pub fn snapshot(&self) -> Bytes {
        let bytes = match self {
            Replicated::Control(state) => postcard::to_stdvec(state),
            Replicated::Ledger(state) => postcard::to_stdvec(state),
        };
        bytes.expect("replicated state always serialises").into()
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    /// Where the snapshot cannot be read.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), ReplicatedError> {
        match self {
            Replicated::Control(state) => *state = postcard::from_bytes(data)?,
            Replicated::Ledger(state) => *state = postcard::from_bytes(data)?,
        }
        Ok(())
    }
}
