//! The RPC service that every daemon offers to its peers.

#![allow(missing_docs, reason = "the macro generates undocumented items")]

use super::{
    ColdReport, ColdResponse, ConnectionReport, ConnectionResponse, DepartureRequest,
    DepartureResponse, EventResponse, Greeting, HealthView, HelperRequest, HelperResponse,
    LeaseRequest, LeaseResponse, LimitReport, LimitResponse, NodeStatus, OperatorRequest,
    OperatorResponse, PartReport, PartResponse, PeerIdentity, RenewRequest, RenewResponse,
    SubmitResponse, SuspectReport, SuspectResponse,
};
use crate::event::EventQuery;
use crate::group::{Envelope, GroupId};
use bytes::Bytes;

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Returns the daemon's identity; also used to check that the connection is alive.
    async fn ping() -> PeerIdentity;
    /// Delivers consensus messages to their groups.
    async fn step(messages: Vec<Envelope>);
    /// Commits a command, if this daemon leads the group, and returns its outcome.
    async fn submit(group: GroupId, command: Bytes) -> SubmitResponse;
    /// Renews a router's lease, if this daemon leads the control group.
    async fn lease(request: LeaseRequest) -> LeaseResponse;
    /// Handles an operator's request, if this daemon leads the control group.
    async fn operate(request: OperatorRequest) -> OperatorResponse;
    /// Returns the daemon's status.
    async fn status() -> NodeStatus;
    /// Returns the events that match a query from the daemon's own journal.
    async fn events(query: EventQuery) -> EventResponse;
    /// Renews the lease of a routing-only daemon, if this daemon leads the control group, and sends
    /// a part of the state that the router lacks. Needs protocol version 1.
    async fn renew(request: RenewRequest) -> RenewResponse;
    /// Counts what a router knows of parts of prompts that end servers, if this daemon leads the
    /// control group, and returns what all know. Needs protocol version 2.
    async fn share_parts(report: PartReport) -> PartResponse;
    /// Counts what a router has heard of the limits of servers, if this daemon leads the control
    /// group, and returns what all know and tokens for these servers. Needs protocol version 3.
    async fn share_limits(report: LimitReport) -> LimitResponse;
    /// As `share_parts`, of parts of prompts and of whole requests. Needs protocol version 4.
    async fn share_suspects(report: SuspectReport) -> SuspectResponse;
    /// Returns routers to which calls can be passed on, if this daemon leads the control group. Needs
    /// protocol version 6.
    async fn find_helpers(request: HelperRequest) -> HelperResponse;
    /// Takes a voter's word that it leaves, if this daemon leads the group. Needs protocol version 8.
    async fn depart(request: DepartureRequest) -> DepartureResponse;
    /// As `ping`; also returns the daemon's directory of groups if its digest is not `digest`. Needs
    /// protocol version 9.
    async fn greet(digest: u64) -> Greeting;
    /// Returns the health of the groups that this daemon leads. Needs protocol version 10.
    async fn group_health() -> Vec<HealthView>;
    /// Counts what a router has found of servers that are cold, if this daemon leads the control group.
    /// Needs protocol version 12.
    async fn share_cold(report: ColdReport) -> ColdResponse;
    /// Counts what a router uses and needs of the connections that servers accept, if this daemon
    /// leads the control group, and returns its parts. Needs protocol version 15.
    async fn share_connections(report: ConnectionReport) -> ConnectionResponse;
}
