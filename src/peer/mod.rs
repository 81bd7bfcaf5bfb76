//! Connections between the daemons of a cluster, and the messages sent on them. Pings detect peers
//! that no longer respond.

mod cluster;
mod cold_report;
mod connection_report;
mod departure;
mod directory;
mod group_reach;
mod handshake;
mod health_view;
mod helper_request;
mod identity;
mod known_groups;
mod limit_report;
mod link;
mod message;
mod outbox;
mod part_report;
mod peer_links;
mod postcard_codec;
mod protocol_version;
mod renewal;
mod service;
mod suspect_report;

pub use cluster::{Cluster, Unavailable};
pub use cold_report::{ColdReport, ColdResponse, WarmUpRateTable};
pub use connection_report::{ConnectionReport, ConnectionResponse};
pub use departure::{DepartureRequest, DepartureResponse};
pub use directory::{Directory, Greeting, GroupContact};
pub use group_reach::Askable;
pub use handshake::{ConnectedPeer, HandshakeError, accept, connect};
pub use health_view::HealthView;
pub use helper_request::{HelperRequest, HelperResponse};
pub use identity::PeerIdentity;
pub use known_groups::KnownGroups;
pub use limit_report::{LimitReport, LimitResponse};
pub use link::{Dialed, Link, LinkContext, dial};
pub use message::{
    EventResponse, EvidenceView, GroupView, LeaseRequest, LeaseResponse, NodeStatus,
    OperatorRequest, OperatorResponse, PoolReport, PoolUpdate, StoppedVersion, SubmitResponse,
};
pub use outbox::dispatch_outbox;
pub use part_report::{PartEnd, PartReport, PartResponse};
pub use peer_links::PeerLinks;
pub use postcard_codec::PostcardCodec;
pub use protocol_version::ProtocolVersion;
pub use renewal::{RenewRequest, RenewResponse};
pub use service::{Peer, PeerClient};
pub use suspect_report::{BlockedSuspects, SuspectReport, SuspectResponse};
