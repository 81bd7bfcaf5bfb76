use crate::control::ControlState;
use crate::ledger::LedgerState;
use bytes::Bytes;
use serde::de::DeserializeOwned;
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

    /// Serialises the whole state. The blocked parts follow the control state, then the blocked
    /// requests, the versions of pools, the evacuations and, if there are any, the rules on
    /// regions and the orders: builds that do not know them leave them unread.
    pub fn snapshot(&self) -> Bytes {
        let bytes = match self {
            ReplicatedState::Control(state) => {
                let blocked = state.blocked_parts();
                let evacuations = (&state.config().evacuated, state.ordered_centres());
                let versions = state.pool_versions();
                let known = (state, blocked, &blocked.requests, versions, evacuations);
                let (rules, orders) = (state.config().region_rules.as_ref(), &state.orders);
                match (rules.is_empty(), orders.is_empty()) {
                    (true, true) => postcard::to_stdvec(&known),
                    (false, true) => postcard::to_stdvec(&(known, rules)),
                    (_, false) => postcard::to_stdvec(&(known, rules, orders)),
                }
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
                *state = restore_control(data)?;
            }
            ReplicatedState::Ledger(state) => *state = postcard::from_bytes(data)?,
        }
        Ok(())
    }
}

/// Reads the control state, and what follows it as far as the build that wrote it knew that.
fn restore_control(data: &[u8]) -> Result<ControlState, StateDecodeError> {
    let (mut state, rest): (ControlState, _) = postcard::take_from_bytes(data)?;
    let Some((blocked, rest)) = take_next(rest)? else { return Ok(state) };
    state.blocked_parts = blocked;
    let Some((requests, rest)) = take_next(rest)? else { return Ok(state) };
    state.blocked_parts.requests = requests;
    let Some((versions, rest)) = take_next(rest)? else { return Ok(state) };
    state.pool_versions = versions;
    let Some(((evacuated, ordered), rest)) = take_next(rest)? else { return Ok(state) };
    state.restore_evacuated(evacuated);
    state.ordered_centres = ordered;
    let Some((rules, rest)) = take_next(rest)? else { return Ok(state) };
    state.restore_region_rules(rules);
    let Some((orders, _)) = take_next(rest)? else { return Ok(state) };
    state.orders = orders;
    Ok(state)
}

/// The next value and the bytes after it; `None` at the end.
fn take_next<T>(rest: &[u8]) -> Result<Option<(T, &[u8])>, StateDecodeError>
where
    T: DeserializeOwned,
{
    match rest.is_empty() {
        true => Ok(None),
        false => Ok(Some(postcard::take_from_bytes(rest)?)),
    }
}
