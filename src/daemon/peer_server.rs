//! RPC server for other daemons.

use super::Node;
use crate::event::{Event, EventQuery};
use crate::group::{Envelope, GroupId};
use crate::peer::{
    ColdReport, ColdResponse, ConnectionReport, ConnectionResponse, DepartureRequest,
    DepartureResponse, EventResponse, Greeting, HealthView, HelperRequest, HelperResponse,
    LeaseRequest, LeaseResponse, LimitReport, LimitResponse, NodeStatus, OperatorRequest,
    OperatorResponse, PartReport, PartResponse, Peer, PeerIdentity, PostcardCodec, ProtocolVersion,
    RenewRequest, RenewResponse, SubmitResponse, SuspectReport, SuspectResponse, accept,
};
use bytes::Bytes;
use futures::StreamExt;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

/// Implementation of the RPC service on the state of this daemon, for a daemon of this version.
#[derive(Clone)]
struct PeerServer(Arc<Node>, ProtocolVersion);

impl Peer for PeerServer {
    async fn ping(self, _: Context) -> PeerIdentity {
        self.0.identity()
    }

    async fn step(self, _: Context, batch: Vec<Envelope>) {
        for Envelope { group, message } in batch {
            if let Some(group) = self.0.cluster.group(group) {
                group.step(message);
            }
        }
    }

    async fn submit(self, _: Context, id: GroupId, command: Bytes) -> SubmitResponse {
        let node = &self.0;
        let Some(group) = node.cluster.group(id) else {
            return SubmitResponse::Failed {
                error: crate::group::SubmitError::NotLeader,
                leader: None,
            };
        };
        match group.submit(command).await {
            Ok(outcome) => SubmitResponse::Applied(outcome),
            Err(error) => SubmitResponse::Failed { error, leader: node.cluster.leader(id) },
        }
    }

    async fn lease(self, _: Context, request: LeaseRequest) -> LeaseResponse {
        if !self.0.cluster.control().status().leading {
            let (leader, address) = (self.0.leader(), self.0.leader_address());
            return LeaseResponse::NotLeader { leader, address };
        }
        self.0.grant_lease_to(request, self.1).await
    }

    async fn renew(self, _: Context, request: RenewRequest) -> RenewResponse {
        if !self.0.cluster.control().status().leading {
            return RenewResponse::NotLeader { address: self.0.leader_address() };
        }
        self.0.renew(request, self.1).await
    }

    async fn share_parts(self, _: Context, report: PartReport) -> PartResponse {
        if !self.0.cluster.control().status().leading {
            return PartResponse::NotLeader { address: self.0.leader_address() };
        }
        self.0.share_suspects(report.into()).await.into()
    }

    async fn share_suspects(self, _: Context, report: SuspectReport) -> SuspectResponse {
        if !self.0.cluster.control().status().leading {
            return SuspectResponse::NotLeader { address: self.0.leader_address() };
        }
        self.0.share_suspects(report).await
    }

    async fn share_limits(self, _: Context, report: LimitReport) -> LimitResponse {
        if !self.0.cluster.control().status().leading {
            return LimitResponse::NotLeader { address: self.0.leader_address() };
        }
        self.0.share_limits(report).await
    }

    async fn share_cold(self, _: Context, report: ColdReport) -> ColdResponse {
        self.0.share_cold(&report)
    }

    async fn share_connections(self, _: Context, report: ConnectionReport) -> ConnectionResponse {
        self.0.share_connections(&report)
    }

    async fn find_helpers(self, _: Context, request: HelperRequest) -> HelperResponse {
        self.0.find_helpers(&request)
    }

    async fn greet(self, _: Context, digest: u64) -> Greeting {
        let groups = self.0.cluster.peers().groups();
        let directory = (groups.digest() != digest).then(|| groups.directory());
        Greeting { identity: self.0.identity(), directory }
    }

    async fn group_health(self, _: Context) -> Vec<HealthView> {
        self.0.health_views()
    }

    async fn depart(self, _: Context, request: DepartureRequest) -> DepartureResponse {
        self.0.take_departure(request)
    }

    async fn operate(self, _: Context, request: OperatorRequest) -> OperatorResponse {
        let is_for_control = !matches!(request, OperatorRequest::AtLedger(..));
        if is_for_control && !self.0.cluster.control().status().leading {
            return OperatorResponse::NotLeader { leader: self.0.leader() };
        }
        self.0.handle_request(request).await
    }

    async fn status(self, _: Context) -> NodeStatus {
        self.0.status()
    }

    async fn events(self, _: Context, query: EventQuery) -> EventResponse {
        let page = self.0.journal.select(&query);
        let line = |record| serde_json::to_string(record).expect("events always serialise");
        let lines = page.events.iter().map(line).collect();
        EventResponse { lines, truncated: page.truncated }
    }
}

/// Accepts connections from other daemons forever.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(node.clone(), stream));
            }
            Err(error) => log::warn!("failed to accept a connection from a peer: {error}"),
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) {
    let own = node.identity();
    let peer = match accept(stream, &node.settings.cluster_secret, &own).await {
        Ok(peer) => {
            node.on_peer_connected(&peer.identity);
            peer
        }
        Err(error) => {
            node.journal.record(Event::PeerRefused { reason: error.to_string() });
            return;
        }
    };
    let transport =
        tarpc::serde_transport::new(peer.framed, PostcardCodec::new(node.journal.clone()));
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.execute(PeerServer(node, peer.version).serve());
    requests
        .for_each(|response| async {
            let mut response = Box::pin(response);
            // Consensus messages are delivered on the first poll, which keeps them in order of
            // arrival.
            if futures::poll!(response.as_mut()).is_pending() {
                tokio::spawn(response);
            }
        })
        .await;
}
