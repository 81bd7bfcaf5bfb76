use super::{Guard, GuardedStream, Permit};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::ThreadId;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 64;
/// How long an idle connection may be reused; older ones are more often silent.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// How long a small query of the daemon's own may take.
const GET_LIMIT: Duration = Duration::from_secs(2);
/// How long a backend server's TCP may leave bytes or probes unacknowledged: a connection that
/// something in between has lost track of is found by this, whatever the engine is doing.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// How long a connection may be quiet before it is probed, and how often.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// The pool is divided into this many shards, each under its own lock.
const SHARDS: usize = 16;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    MaybeSent(String),
}

/// One HTTP/1.1 connection, used for one exchange at a time.
type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    guard: Arc<Guard>,
    until: Instant,
    home: ThreadId,
}

/// Connections to backend servers.
pub struct Connections {
    connect: Duration,
    pool: Arc<Pool>,
}

/// Idle connections by address, in shards that each have their own lock.
struct Pool {
    shards: Vec<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection in use; it goes back only through [`Lent::give_back`].
pub struct Lent {
    owner: Arc<Pool>,
    address: SocketAddr,
    sender: Sender,
    guard: Arc<Guard>,
    home: ThreadId,
}

impl Connections {
    /// Opens an empty pool; `connect` bounds how long a new connection may take.
    pub fn open(connect: Duration) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { connect, pool: Arc::new(Pool { shards }) }
    }

    /// Takes a connection, an idle one unless `fresh`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] where none can be opened.
    pub async fn take(&self, address: SocketAddr, fresh: bool) -> Result<Lent, SendError> {
        let home = std::thread::current().id();
        if !fresh && let Some((sender, guard)) = self.pool.idle(address, home) {
            guard.begin(None);
            return Ok(Lent { owner: self.pool.clone(), address, sender, guard, home });
        }
        let dial = TcpStream::connect(address);
        let stream = match tokio::time::timeout(self.connect, dial).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(SendError::NotSent(cause.to_string())),
            Err(_) => return Err(SendError::NotSent("connecting took too long".to_owned())),
        };
        let not_sent = |cause: String| SendError::NotSent(cause);
        set_up(&stream).map_err(|cause| not_sent(cause.to_string()))?;
        let guard = Arc::new(Guard::default());
        let stream = GuardedStream::open(stream, guard.clone());
        let opened = handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(|cause| not_sent(cause.to_string()))?;
        tokio::spawn(async move {
            // The exchange in progress reports the error to its caller.
            let _ = connection.await;
        });
        Ok(Lent { owner: self.pool.clone(), address, sender, guard, home })
    }

    /// Fetches a small document; `None` where it cannot be had.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let request = Request::get(path).body(Full::default()).ok()?;
        tokio::time::timeout(GET_LIMIT, self.fetch(address, request)).await.ok()?
    }

    /// Posts a small JSON document and returns the answer's body; `None` without a whole answer of
    /// status 200.
    pub async fn post(&self, address: SocketAddr, path: &str, body: Bytes) -> Option<Bytes> {
        let request = Request::post(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        tokio::time::timeout(GET_LIMIT, self.fetch(address, request)).await.ok()?
    }

    async fn fetch(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Bytes> {
        let mut lent = self.take(address, false).await.ok()?;
        let response = lent.send(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        lent.give_back();
        Some(body)
    }
}

impl Pool {
    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, Vec<Idle>>> {
        &self.shards[address.port() as usize % SHARDS]
    }

    fn idle(&self, address: SocketAddr, home: ThreadId) -> Option<(Sender, Arc<Guard>)> {
        let mut shard = self.shard(address).lock().expect("connection lock");
        let stack = shard.get_mut(&address)?;
        // A connection's task runs on the thread that opened it; from another, each token would cost
        // two wake-ups across threads.
        while let Some(at) = stack.iter().rposition(|idle| idle.home == home) {
            let idle = stack.remove(at);
            if idle.sender.is_ready() && Instant::now() < idle.until {
                return Some((idle.sender, idle.guard));
            }
        }
        None
    }
}

impl Lent {
    /// Has a permit asked around every write of the exchange that follows.
    pub fn guard(&self, permit: Arc<dyn Permit>) {
        self.guard.begin(Some(permit));
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`SendError::MaybeSent`], unless no byte of the request left this process.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let host = HeaderValue::from_str(&self.address.to_string()).expect("addresses are ASCII");
        request.headers_mut().insert(header::HOST, host);
        self.send_unchanged(request).await
    }

    /// Sends a request that names its own host.
    ///
    /// # Errors
    /// As [`Lent::send`].
    pub async fn send_unchanged(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let outcome = self.sender.try_send_request(request).await;
        outcome.map_err(|mut failed| match failed.take_message() {
            Some(_) => SendError::NotSent(failed.error().to_string()),
            None if self.guard.written() == 0 => SendError::NotSent(failed.error().to_string()),
            None => SendError::MaybeSent(failed.error().to_string()),
        })
    }

    /// Returns the connection after the whole answer was read.
    pub fn give_back(self) {
        self.give_back_for(IDLE_LIMIT);
    }

    /// Keeps the connection for a later exchange, for at most `idle`.
    pub fn give_back_for(self, idle: Duration) {
        let now = Instant::now();
        let mut shard = self.owner.shard(self.address).lock().expect("connection lock");
        let stack = shard.entry(self.address).or_default();
        stack.retain(|idle| now < idle.until);
        if stack.len() < IDLE_PER_ADDRESS {
            let Lent { sender, guard, home, .. } = self;
            stack.push(Idle { sender, guard, until: now + idle.min(IDLE_LIMIT), home });
        }
    }
}

fn set_up(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
