//! The status of a fleet with a peer of an older build, which knows the first calls between daemons only.

mod env;

use bytes::Bytes;
use env::fleet::await_until;
use env::{Fleet, FleetSpec};
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use samphireshift::consensus::MemberId;
use samphireshift::event::Journal;
use samphireshift::group::{Envelope, GroupId, SubmitError};
use samphireshift::name::{DataCentre, VmName};
use samphireshift::peer::{
    LeaseRequest, LeaseResponse, NodeStatus, OperatorRequest, OperatorResponse, PeerIdentity,
    PostcardCodec, SubmitResponse,
};
use serde_json::Value;
use sha2::Sha256;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The name of the older peer.
const NAME: &str = "older";
/// How often the status is asked for.
const QUESTIONS: usize = 5;

/// The calls of the first builds, in their order. A build ends the connection on which another call comes.
#[tarpc::service]
trait FirstCalls {
    async fn ping() -> PeerIdentity;
    async fn step(messages: Vec<Envelope>);
    async fn submit(group: GroupId, command: Bytes) -> SubmitResponse;
    async fn lease(request: LeaseRequest) -> LeaseResponse;
    async fn operate(request: OperatorRequest) -> OperatorResponse;
    async fn status() -> NodeStatus;
}

/// A daemon of an older build that is no member of any group.
#[derive(Clone)]
struct OlderPeer {
    identity: PeerIdentity,
    connections: Arc<AtomicU64>,
}

impl OlderPeer {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let peer = Self { identity: identity(address), connections: Arc::default() };
        tokio::spawn(peer.clone().accept_all(listener));
        peer
    }

    async fn accept_all(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let framed = accept_without_version(stream, &self.identity).await;
        let journal = Arc::new(Journal::in_memory(VmName::new(NAME)));
        let transport = tarpc::serde_transport::new(framed, PostcardCodec::new(journal));
        let channel = BaseChannel::with_defaults(transport);
        let answer = async |response| drop(tokio::spawn(response));
        channel.execute(FirstCalls::serve(self)).for_each(answer).await;
    }
}

impl FirstCalls for OlderPeer {
    async fn ping(self, _: Context) -> PeerIdentity {
        self.identity
    }

    async fn step(self, _: Context, _: Vec<Envelope>) {}

    async fn submit(self, _: Context, _: GroupId, _: Bytes) -> SubmitResponse {
        SubmitResponse::Failed { error: SubmitError::NotLeader, leader: None }
    }

    async fn lease(self, _: Context, _: LeaseRequest) -> LeaseResponse {
        LeaseResponse::NotLeader { leader: None, address: None }
    }

    async fn operate(self, _: Context, _: OperatorRequest) -> OperatorResponse {
        OperatorResponse::NotLeader { leader: None }
    }

    async fn status(self, _: Context) -> NodeStatus {
        NodeStatus {
            vm: self.identity.vm,
            data_centre: self.identity.data_centre,
            durable: false,
            cluster: None,
            revision: 0,
            lease_ms: 0,
            requests: 0,
            draining: false,
            groups: Vec::new(),
        }
    }
}

fn identity(address: SocketAddr) -> PeerIdentity {
    PeerIdentity {
        vm: VmName::new(NAME),
        member: MemberId(1),
        run: 1,
        data_centre: DataCentre::new("dc-0"),
        address,
        durable: false,
        cluster: None,
    }
}

/// The accepting end of the handshake, by a build that states no version.
async fn accept_without_version(
    stream: TcpStream,
    identity: &PeerIdentity,
) -> Framed<TcpStream, LengthDelimitedCodec> {
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let nonce = [7_u8; 16];
    framed.send(Bytes::from(nonce.to_vec())).await.expect("the challenge is sent");
    let proof = framed.next().await.expect("the peer proves itself").expect("a frame");
    let (_, theirs, _): (PeerIdentity, [u8; 16], [u8; 32]) =
        postcard::from_bytes(&proof).expect("a proof");
    let mut mac = Hmac::<Sha256>::new_from_slice(b"cluster-secret").expect("any length will do");
    mac.update(b"accept");
    mac.update(&theirs);
    mac.update(&postcard::to_stdvec(identity).expect("identities always serialise"));
    let mac: [u8; 32] = mac.finalize().into_bytes().into();
    let answer = postcard::to_stdvec(&(identity, nonce, mac)).expect("proofs always serialise");
    framed.send(Bytes::from(answer)).await.expect("the proof is sent");
    framed
}

/// Guards against a status that asks older builds what they don't know: they would end the connection, which
/// also carries consensus.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_of_an_older_build_is_asked_for_its_status_only() {
    let older = OlderPeer::spawn().await;
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    let path = fleet.daemons[0].settings.clone();
    let settings = std::fs::read_to_string(&path).expect("the settings can be read");
    // The section of the cluster stands before the others with such a key.
    let with_older = format!("peers = {}, ", older.identity.address);
    let changed = settings.replacen("peers = ", &with_older, 1);
    assert_ne!(changed, settings, "{settings}");
    std::fs::write(&path, changed).expect("the settings can be written");
    fleet.restart(0);
    fleet.await_ready().await;
    for _ in 0..QUESTIONS {
        await_until("the older peer and the health of the control group show", async || {
            let status = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
            let has = |list: &str, key: &str, value: &str| {
                status[list].as_array().is_some_and(|all| all.iter().any(|one| one[key] == value))
            };
            has("daemons", "vm", NAME) && has("health", "group", "Control")
        })
        .await;
    }
    assert_eq!(older.connections.load(Ordering::Relaxed), 1);
}
