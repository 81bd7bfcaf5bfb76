use crate::name::{
    DataCentre, OrganisationName, RequestId, RolloutName, ServiceName, SessionName, VersionKey,
    VmName,
};
use serde::{Deserialize, Serialize};

/// Event in a daemon. docs/EVENTS.md lists the numbers, whose meaning never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "name", rename_all = "snake_case")]
#[allow(missing_docs, reason = "docs/EVENTS.md describes all events and their fields")]
pub enum Event {
    DaemonStarted { data_centre: DataCentre, durable: bool },
    DaemonStopping,
    DaemonStopped,
    ClusterFounded { cluster: String },
    LeaderElected { group: String, term: u64 },
    LeaderLost { group: String, term: u64 },
    MemberAdded { group: String, vm: VmName },
    MemberPromoted { group: String, vm: VmName },
    MemberRemoved { group: String, vm: VmName },
    SnapshotTaken { group: String, index: u64 },
    LeaseGained { revision: u64 },
    LeaseLost,
    RevisionInstalled { revision: u64 },
    TicketAccepted { ticket: u64, revision: u64 },
    TicketRefused { ticket: u64, reason: String },
    TicketInForce { ticket: u64, revision: u64 },
    RequestAdmitted { request: RequestId, organisation: OrganisationName, kind: String },
    RequestRefused { request: RequestId, code: String, ran: String },
    SessionPinned { request: RequestId, session: SessionName, version: VersionKey },
    VersionChosen { request: RequestId, version: VersionKey, reason: String },
    ClaimCommitted { request: RequestId, service: ServiceName },
    ClaimRepeated { request: RequestId, first: RequestId },
    AttemptStarted { request: RequestId, server: VmName, attempt: u32 },
    AttemptFailed { request: RequestId, server: VmName, reason: String },
    AnswerRated { request: RequestId, version: VersionKey, quality: f64 },
    AnswerBilled { request: RequestId, cost: u64 },
    AnswerRelayed { request: RequestId, tokens: u64 },
    CallerLeft { request: RequestId },
    SessionJoined { request: RequestId, session: SessionName },
    AnswerEscalated { request: RequestId, version: VersionKey, quality: Option<f64> },
    VersionStopped { version: VersionKey, evidence: String },
    RolloutStepped { rollout: RolloutName, share: u32 },
    VersionHeld { version: VersionKey, evidence: String },
    VersionKept { version: VersionKey, evidence: String },
    PoolShifted { rollout: String, share: u32, evidence: Option<String> },
    ServerLeaving { server: VmName },
    ServerGone { server: VmName },
    ServerEjected { server: VmName, reason: String },
    ServerRestored { server: VmName },
    OrderSent { server: VmName, order: String, fence: u64 },
    EvacuationBegun { data_centre: DataCentre },
    EvacuationFinished { data_centre: DataCentre },
    PeerSilent { peer: String },
    PeerRefused { reason: String },
    StampRefused { ahead: u64 },
}

impl Event {
    /// Returns the number of the event in docs/EVENTS.md.
    ///
    /// ```
    /// assert_eq!(samphireshift::event::Event::DaemonStopping.number(), 2);
    /// ```
    pub fn number(&self) -> u16 {
        match self {
            Event::DaemonStarted { .. } => 1,
            Event::DaemonStopping => 2,
            Event::DaemonStopped => 3,
            Event::ClusterFounded { .. } => 10,
            Event::LeaderElected { .. } => 11,
            Event::LeaderLost { .. } => 12,
            Event::MemberAdded { .. } => 13,
            Event::MemberPromoted { .. } => 14,
            Event::MemberRemoved { .. } => 15,
            Event::SnapshotTaken { .. } => 16,
            Event::LeaseGained { .. } => 20,
            Event::LeaseLost => 21,
            Event::RevisionInstalled { .. } => 22,
            Event::TicketAccepted { .. } => 30,
            Event::TicketRefused { .. } => 31,
            Event::TicketInForce { .. } => 32,
            Event::RequestAdmitted { .. } => 40,
            Event::RequestRefused { .. } => 41,
            Event::SessionPinned { .. } => 42,
            Event::VersionChosen { .. } => 43,
            Event::ClaimCommitted { .. } => 44,
            Event::ClaimRepeated { .. } => 45,
            Event::AttemptStarted { .. } => 46,
            Event::AttemptFailed { .. } => 47,
            Event::AnswerRated { .. } => 48,
            Event::AnswerBilled { .. } => 49,
            Event::AnswerRelayed { .. } => 50,
            Event::CallerLeft { .. } => 51,
            Event::SessionJoined { .. } => 52,
            Event::AnswerEscalated { .. } => 56,
            Event::VersionStopped { .. } => 60,
            Event::RolloutStepped { .. } => 61,
            Event::VersionHeld { .. } => 62,
            Event::VersionKept { .. } => 63,
            Event::PoolShifted { .. } => 64,
            Event::ServerLeaving { .. } => 70,
            Event::ServerGone { .. } => 71,
            Event::ServerEjected { .. } => 72,
            Event::ServerRestored { .. } => 73,
            Event::OrderSent { .. } => 74,
            Event::EvacuationBegun { .. } => 75,
            Event::EvacuationFinished { .. } => 76,
            Event::PeerSilent { .. } => 80,
            Event::PeerRefused { .. } => 81,
            Event::StampRefused { .. } => 82,
        }
    }

    /// Returns the name of the event in docs/EVENTS.md.
    ///
    /// ```
    /// assert_eq!(samphireshift::event::Event::DaemonStopping.name(), "daemon_stopping");
    /// ```
    pub fn name(&self) -> String {
        let body = serde_json::to_value(self).unwrap_or_default();
        body.get("name").and_then(|name| name.as_str()).unwrap_or("unknown").to_owned()
    }

    /// Returns the request that the event concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::RequestAdmitted { request, .. }
            | Event::RequestRefused { request, .. }
            | Event::SessionJoined { request, .. }
            | Event::SessionPinned { request, .. }
            | Event::VersionChosen { request, .. }
            | Event::ClaimCommitted { request, .. }
            | Event::ClaimRepeated { request, .. }
            | Event::AttemptStarted { request, .. }
            | Event::AttemptFailed { request, .. }
            | Event::AnswerRated { request, .. }
            | Event::AnswerBilled { request, .. }
            | Event::AnswerRelayed { request, .. }
            | Event::AnswerEscalated { request, .. }
            | Event::CallerLeft { request } => Some(*request),
            _ => None,
        }
    }

    /// Returns the ticket that the event concerns, if any.
    pub fn ticket(&self) -> Option<u64> {
        match self {
            Event::TicketAccepted { ticket, .. }
            | Event::TicketRefused { ticket, .. }
            | Event::TicketInForce { ticket, .. } => Some(*ticket),
            _ => None,
        }
    }

    /// Returns the model version that the event concerns, if any.
    pub fn version(&self) -> Option<&VersionKey> {
        match self {
            Event::SessionPinned { version, .. }
            | Event::VersionChosen { version, .. }
            | Event::AnswerRated { version, .. }
            | Event::AnswerEscalated { version, .. }
            | Event::VersionHeld { version, .. }
            | Event::VersionKept { version, .. }
            | Event::VersionStopped { version, .. } => Some(version),
            _ => None,
        }
    }

    /// Returns the session that the event concerns, if any.
    pub fn session(&self) -> Option<&SessionName> {
        match self {
            Event::SessionJoined { session, .. } | Event::SessionPinned { session, .. } => {
                Some(session)
            }
            _ => None,
        }
    }
}
