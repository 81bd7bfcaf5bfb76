//! Typed messages between daemons, over connections that notice silence.

mod cluster;
mod codec;
mod handshake;
mod identity;
mod link;
mod message;
mod net;
mod outbox;
mod service;

pub use cluster::{Cluster, Unavailable};
pub use codec::Postcard;
pub use handshake::{HandshakeError, accept, connect};
pub use identity::PeerIdentity;
pub use link::{Link, dial};
pub use message::{
    EventAnswer, EvidenceView, GroupView, LeaseAnswer, LeaseAsk, NodeStatus, OperatorCall,
    OperatorReply, PoolNews, PoolReport, StoppedVersion, SubmitAnswer,
};
pub use net::PeerNet;
pub use outbox::dispatch;
pub use service::{Peer, PeerClient};
