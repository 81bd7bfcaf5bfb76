use super::{PeerClient, PeerIdentity, Postcard, handshake};
use crate::event::{Event, Journal};
use crate::group::since_start;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, RwLock};
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How often a connection is tried out.
const PING_EVERY: Duration = Duration::from_millis(300);
/// How long an answer may take before the connection counts as silent.
const PING_LIMIT: Duration = Duration::from_millis(900);
/// How long a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// The pause before the next try.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// What a link knows while it is up.
#[derive(Clone)]
struct Up {
    client: PeerClient,
    identity: PeerIdentity,
    heard: Duration,
}

/// The connection to one peer address; replaced as soon as it breaks or falls silent.
pub struct Link {
    address: SocketAddr,
    opened: Duration,
    up: RwLock<Option<Up>>,
    last: RwLock<Option<(PeerIdentity, Duration)>>,
    task: OnceLock<AbortHandle>,
}

impl Link {
    /// Starts to keep a connection to an address.
    pub fn spawn(
        address: SocketAddr,
        secret: String,
        own: Arc<RwLock<PeerIdentity>>,
        journal: Arc<Journal>,
    ) -> Arc<Self> {
        let (up, last, task) = (RwLock::default(), RwLock::default(), OnceLock::new());
        let link = Arc::new(Self { address, opened: since_start(), up, last, task });
        let keeper = tokio::spawn(keep(link.clone(), secret, own, journal));
        link.task.get_or_init(|| keeper.abort_handle());
        link
    }

    /// How long nothing has been heard there.
    pub fn silence(&self) -> Duration {
        let heard = self.last().map_or(self.opened, |(_, heard)| heard);
        since_start().saturating_sub(heard)
    }

    /// Gives the connection up for good.
    pub fn close(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
        self.set(None);
    }

    /// The address that it connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A client, while the link is up.
    pub fn client(&self) -> Option<PeerClient> {
        self.up.read().expect("link lock").as_ref().map(|up| up.client.clone())
    }

    /// Who is at the other end, while the link is up.
    pub fn identity(&self) -> Option<PeerIdentity> {
        self.up.read().expect("link lock").as_ref().map(|up| up.identity.clone())
    }

    /// Who was last heard there, and when.
    pub fn last(&self) -> Option<(PeerIdentity, Duration)> {
        self.last.read().expect("link lock").clone()
    }

    fn set(&self, up: Option<Up>) {
        if let Some(up) = &up {
            let last = (up.identity.clone(), up.heard);
            *self.last.write().expect("link lock") = Some(last);
        }
        *self.up.write().expect("link lock") = up;
    }
}

async fn keep(
    link: Arc<Link>,
    secret: String,
    own: Arc<RwLock<PeerIdentity>>,
    journal: Arc<Journal>,
) {
    loop {
        let identity = own.read().expect("identity lock").clone();
        if let Some((client, identity)) = dial(link.address, &secret, &identity, &journal).await {
            watch(&link, client, identity).await;
            link.set(None);
            journal.record(Event::PeerSilent { peer: link.address.to_string() });
        }
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

/// Connects to a peer once.
pub async fn dial(
    address: SocketAddr,
    secret: &str,
    own: &PeerIdentity,
    journal: &Arc<Journal>,
) -> Option<(PeerClient, PeerIdentity)> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_LIMIT, connect).await.ok()?.ok()?;
    let (framed, identity) = match handshake::connect(stream, secret, own).await {
        Ok(done) => done,
        Err(error) => {
            log::debug!("handshake with {address}: {error}");
            return None;
        }
    };
    let transport = tarpc::serde_transport::new(framed, Postcard::open(journal.clone()));
    let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
    Some((client, identity))
}

/// Pings until an answer stays out.
async fn watch(link: &Link, client: PeerClient, identity: PeerIdentity) {
    link.set(Some(Up { client: client.clone(), identity, heard: since_start() }));
    loop {
        tokio::time::sleep(PING_EVERY).await;
        let mut context = context::current();
        context.deadline = Instant::now() + PING_LIMIT;
        match client.ping(context).await {
            Ok(identity) => {
                link.set(Some(Up { client: client.clone(), identity, heard: since_start() }));
            }
            Err(_) => return,
        }
    }
}
