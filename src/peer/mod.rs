//! Connections between the daemons of a cluster, and the messages sent on them. Pings detect peers
//! that no longer respond.

mod cluster;
mod handshake;
mod identity;
mod link;
mod message;
mod outbox;
mod peer_links;
mod postcard_codec;
mod service;

pub use cluster::{Cluster, Unavailable};
pub use handshake::{HandshakeError, accept, connect};
pub use identity::PeerIdentity;
pub use link::{Link, dial};
pub use message::{
    EventResponse, EvidenceView, GroupView, LeaseRequest, LeaseResponse, NodeStatus,
    OperatorRequest, OperatorResponse, PoolReport, PoolUpdate, StoppedVersion, SubmitResponse,
};
pub use outbox::dispatch_outbox;
pub use peer_links::PeerLinks;
pub use postcard_codec::PostcardCodec;
pub use service::{Peer, PeerClient};
