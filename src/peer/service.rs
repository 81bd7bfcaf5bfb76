//! The remote procedures of a daemon.

#![allow(missing_docs, reason = "the macro generates undocumented items")]

use super::{
    EventAnswer, LeaseAnswer, LeaseAsk, NodeStatus, OperatorCall, OperatorReply, PeerIdentity,
    SubmitAnswer,
};
use crate::event::EventQuery;
use crate::group::{Envelope, GroupId};
use bytes::Bytes;

/// What daemons ask of one another.
#[tarpc::service]
pub trait Peer {
    /// Tells who this is, and shows that the connection is alive.
    async fn ping() -> PeerIdentity;
    /// Delivers consensus messages.
    async fn step(batch: Vec<Envelope>);
    /// Applies a command, if this daemon leads the group.
    async fn submit(group: GroupId, command: Bytes) -> SubmitAnswer;
    /// Renews a router's lease.
    async fn lease(ask: LeaseAsk) -> LeaseAnswer;
    /// Answers an operator, if this daemon leads.
    async fn operate(call: OperatorCall) -> OperatorReply;
    /// Says how this daemon is.
    async fn status() -> NodeStatus;
    /// Selects events.
    async fn events(query: EventQuery) -> EventAnswer;
}
