use super::{
    Greeting, KnownGroups, PeerClient, PeerIdentity, PostcardCodec, ProtocolVersion, handshake,
};
use crate::event::{Event, Journal};
use crate::group::since_start;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, RwLock};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Interval between the pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a ping, after which the connection is dropped.
const PING_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The state of a link that is connected.
#[derive(Clone)]
struct ActiveConnection {
    client: PeerClient,
    identity: PeerIdentity,
    /// When the peer last responded, since process start.
    last_heard: Duration,
}

/// What all links of a daemon share.
#[derive(Clone)]
pub struct LinkContext {
    /// The shared secret of the cluster.
    pub secret: String,
    /// The identity of this daemon.
    pub local: Arc<RwLock<PeerIdentity>>,
    /// Records links that fall silent.
    pub journal: Arc<Journal>,
    /// What this daemon knows of the groups.
    pub groups: Arc<KnownGroups>,
}

/// A persistent connection to a peer's address, reopened when it fails or a ping times out.
pub struct Link {
    address: SocketAddr,
    /// When the link was created, since process start.
    created_at: Duration,
    active: RwLock<Option<ActiveConnection>>,
    /// The peer that last responded, and when, since process start.
    last_heard: RwLock<Option<(PeerIdentity, Duration)>>,
    /// The protocol version of the peer that responded last.
    version: RwLock<Option<ProtocolVersion>>,
    task: OnceLock<AbortHandle>,
}

impl Link {
    /// Creates a link to an address and starts a task that keeps it connected.
    pub fn spawn(address: SocketAddr, context: LinkContext) -> Arc<Self> {
        let link = Arc::new(Self {
            address,
            created_at: since_start(),
            active: RwLock::default(),
            last_heard: RwLock::default(),
            version: RwLock::default(),
            task: OnceLock::new(),
        });
        let handle = tokio::spawn(maintain(link.clone(), context));
        link.task.get_or_init(|| handle.abort_handle());
        link
    }

    /// Time since the peer last responded, or since the link was created if it never did.
    pub fn silent_for(&self) -> Duration {
        let heard = self.last_heard().map_or(self.created_at, |(_, heard)| heard);
        since_start().saturating_sub(heard)
    }

    /// Closes the link for good, without reconnecting.
    pub fn close(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
        self.set_active(None);
    }

    /// The address that the link connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A client to the peer, if the link is connected.
    pub fn client(&self) -> Option<PeerClient> {
        self.active.read().expect("link lock poisoned").as_ref().map(|active| active.client.clone())
    }

    /// The identity of the peer, if the link is connected.
    pub fn identity(&self) -> Option<PeerIdentity> {
        self.active
            .read()
            .expect("link lock poisoned")
            .as_ref()
            .map(|active| active.identity.clone())
    }

    /// The peer that last responded at this address, and when, since process start.
    pub fn last_heard(&self) -> Option<(PeerIdentity, Duration)> {
        self.last_heard.read().expect("link lock poisoned").clone()
    }

    /// The protocol version of the peer that last responded at this address.
    pub fn version(&self) -> Option<ProtocolVersion> {
        *self.version.read().expect("link lock poisoned")
    }

    fn set_active(&self, active: Option<ActiveConnection>) {
        if let Some(active) = &active {
            let last_heard = (active.identity.clone(), active.last_heard);
            *self.last_heard.write().expect("link lock poisoned") = Some(last_heard);
        }
        *self.active.write().expect("link lock poisoned") = active;
    }
}

/// Connects, pings until the connection fails, and reconnects, in an endless loop.
async fn maintain(link: Arc<Link>, context: LinkContext) {
    let LinkContext { secret, local, journal, groups } = context;
    loop {
        let identity = local.read().expect("identity lock poisoned").clone();
        if let Some(dialed) = dial(link.address, &secret, &identity, &journal).await {
            *link.version.write().expect("link lock poisoned") = Some(dialed.version);
            log::info!("linked to {} at {}", dialed.identity.vm, link.address);
            ping_until_failure(&link, dialed, &groups).await;
            link.set_active(None);
            journal.record(Event::PeerSilent { peer: link.address.to_string() });
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// A connection to a peer.
#[derive(Debug, Clone)]
pub struct Dialed {
    /// The client for calls to the peer.
    pub client: PeerClient,
    /// The identity of the peer.
    pub identity: PeerIdentity,
    /// The version of the calls that the peer answers.
    pub version: ProtocolVersion,
}

/// Connects to a peer and runs the handshake, once. Returns `None` on failure.
pub async fn dial(
    address: SocketAddr,
    secret: &str,
    local: &PeerIdentity,
    journal: &Arc<Journal>,
) -> Option<Dialed> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
    let peer = match handshake::connect(stream, secret, local).await {
        Ok(peer) => peer,
        Err(error) => {
            log::debug!("handshake with peer {address} failed: {error}");
            return None;
        }
    };
    let codec = PostcardCodec::new(journal.clone());
    let transport = tarpc::serde_transport::new(peer.framed, codec);
    let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
    Some(Dialed { client, identity: peer.identity, version: peer.version })
}

/// Marks the link as connected and pings the peer until a ping fails.
async fn ping_until_failure(link: &Link, dialed: Dialed, groups: &KnownGroups) {
    let Dialed { client, identity, version } = dialed;
    let connected = |identity| {
        let (client, last_heard) = (client.clone(), since_start());
        link.set_active(Some(ActiveConnection { client, identity, last_heard }));
    };
    connected(identity);
    groups.wake();
    while let Ok(identity) = ping(&client, version, groups).await {
        connected(identity);
        tokio::time::sleep(PING_INTERVAL).await;
    }
}

/// Pings a peer, and takes in what it knows of the groups.
async fn ping(
    client: &PeerClient,
    version: ProtocolVersion,
    groups: &KnownGroups,
) -> Result<PeerIdentity, RpcError> {
    let mut context = context::current();
    context.deadline = Instant::now() + PING_TIMEOUT;
    if version < ProtocolVersion::DIRECTORIES {
        return client.ping(context).await;
    }
    let Greeting { identity, directory } = client.greet(context, groups.digest()).await?;
    if let Some(directory) = directory {
        groups.merge(identity.cluster, directory);
    }
    Ok(identity)
}
