use super::{
    BackendBody, ConnectionProof, ConnectionSlot, ExchangeState, PermitCheckedStream, ServerRoom,
    ServerRooms, WritePermit,
};
use crate::policy::ConnectFailure;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::ThreadId;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// How long an idle connection may be reused. The longer a connection has been idle, the more
/// likely it is to be dead without either side having noticed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of [`ConnectionPool::get`] and [`ConnectionPool::post`], connecting included.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response to [`ConnectionPool::get`] and [`ConnectionPool::post`].
const MAX_QUERY_BYTES: usize = 8 << 20;
/// The largest read buffer of a connection, and so the largest head of a response.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// How long sent data or keepalive probes may stay unacknowledged before the kernel closes the
/// connection. The backend server's kernel acknowledges them even while its engine is busy, so this
/// finds connections whose state a device on the path has lost.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keepalive probe, and the interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection that was closed here still counts where its server is full: until the server has
/// noticed, a new one would be one too many.
const NOTICE_TIME: Duration = Duration::from_millis(20);
/// Shards of the idle connections, each with its own lock.
const SHARDS: usize = 16;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// At least a part of the request was sent; the server may have received and run it.
    #[error("no response, but the request may have been sent: {0}")]
    MaybeSent(String),
}

/// Sends on one HTTP/1.1 connection, which carries one exchange at a time.
type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    exchange: Arc<ExchangeState>,
    opened_at: Instant,
    rests_since: Instant,
    expires_at: Instant,
    thread: ThreadId,
    /// Where the connection counts; `None` for servers that limit none.
    proof: Option<ConnectionProof>,
}

/// A pool of HTTP/1.1 connections to backend servers.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// The size of the kernel's buffers of a connection, in bytes; `None` for its own choice.
    socket_buffer: Option<usize>,
    idle: Arc<IdleConnections>,
    rooms: ServerRooms,
}

/// Idle connections by address, in shards that each have their own lock.
struct IdleConnections {
    shards: Vec<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection taken from the pool. It is closed on drop unless
/// [`PooledConnection::return_to_pool`] returns it.
pub struct PooledConnection {
    idle: Arc<IdleConnections>,
    address: SocketAddr,
    sender: Sender,
    exchange: Arc<ExchangeState>,
    thread: ThreadId,
    opened_at: Instant,
    /// Where the connection counts; `None` for servers that limit none.
    proof: Option<ConnectionProof>,
    /// Whether the connection may be used for another exchange.
    reusable: bool,
    /// Whether the connection was opened for this exchange.
    is_new: bool,
    /// Whether the server has reset it.
    is_reset: bool,
}

impl ConnectionPool {
    /// Creates an empty pool; `connect_timeout` is the time limit for opening a new connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let idle = Arc::new(IdleConnections { shards });
        Self { connect_timeout, socket_buffer: None, idle, rooms: ServerRooms::default() }
    }

    /// Sets the size of the kernel's buffers of each connection, in bytes, so that slow servers
    /// cost bounded memory. Without one the kernel chooses.
    pub fn with_buffers(self, bytes: Option<usize>) -> Self {
        Self { socket_buffer: bytes, ..self }
    }

    /// Takes an idle connection, or opens a new one if there is none or `fresh` is set.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if a new connection cannot be opened.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<PooledConnection, SendError> {
        if !fresh && let Some(connection) = self.acquire_idle(address) {
            return Ok(connection);
        }
        let opened = self.open(address).await;
        let stream = opened.map_err(|failure| SendError::NotSent(failure.to_string()))?;
        self.adopt(address, stream, None).await
    }

    /// The connections of this process to each server that limits them.
    pub fn rooms(&self) -> &ServerRooms {
        &self.rooms
    }

    /// Opens a connection that belongs to no pool; [`Self::adopt`] takes it into this one.
    ///
    /// # Errors
    /// If the server refuses it, or does not answer within the pool's time limit.
    pub async fn open(&self, address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(self.connect_timeout, connecting).await {
            Ok(Ok(stream)) => {
                if let Err(error) = self.bound_buffers(&stream) {
                    log::debug!("cannot set the buffers of a connection to {address}: {error}");
                }
                Ok(stream)
            }
            Ok(Err(error)) => {
                log::debug!("no connection to {address}: {error}");
                Err(ConnectFailure::from(&error))
            }
            Err(_) => Err(ConnectFailure::Silent),
        }
    }

    fn bound_buffers(&self, stream: &TcpStream) -> io::Result<()> {
        let Some(bytes) = self.socket_buffer else { return Ok(()) };
        let socket = SockRef::from(stream);
        socket.set_send_buffer_size(bytes)?;
        socket.set_recv_buffer_size(bytes)
    }

    /// Takes an idle connection, if there is one.
    pub fn acquire_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let thread = std::thread::current().id();
        let taken = self.idle.take(address, |idle| idle.thread == thread)?;
        Some(self.start_exchange(address, taken))
    }

    /// Takes the idle connection that has rested for the shortest time, if that is at most `most_rest`,
    /// and of any thread if there is none of this one.
    pub fn take_rested(
        &self,
        address: SocketAddr,
        most_rest: Duration,
    ) -> Option<PooledConnection> {
        let thread = std::thread::current().id();
        let has_rested = |idle: &IdleConnection| idle.rests_since.elapsed() <= most_rest;
        let own = self.idle.take(address, |idle| idle.thread == thread && has_rested(idle));
        let taken = own.or_else(|| self.idle.take(address, has_rested))?;
        Some(self.start_exchange(address, taken))
    }

    /// Closes the idle connection to a server that has rested for the longest time. Returns whether there
    /// was one.
    pub fn close_oldest(&self, address: SocketAddr) -> bool {
        let mut shard = self.idle.shard(address).lock().expect("connection lock");
        let Some(stack) = shard.get_mut(&address).filter(|stack| !stack.is_empty()) else {
            return false;
        };
        let oldest = stack.remove(0);
        drop(shard);
        if let Some(proof) = &oldest.proof {
            proof.begin_close();
        }
        true
    }

    /// Closes idle connections to a server until those that are left are within the share of its room.
    pub fn close_beyond_share(&self, address: SocketAddr, room: &ServerRoom) {
        while room.is_beyond_share() && self.close_oldest(address) {}
    }

    /// Whether there is an idle connection to the server.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let shard = self.idle.shard(address).lock().expect("connection lock");
        shard.get(&address).is_some_and(|stack| !stack.is_empty())
    }

    /// Closes the idle connections that may not be used any more.
    pub fn close_expired(&self) {
        let now = Instant::now();
        for shard in &self.idle.shards {
            shard.lock().expect("connection lock").retain(|_, stack| {
                stack.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
                !stack.is_empty()
            });
        }
    }

    fn start_exchange(&self, address: SocketAddr, taken: IdleConnection) -> PooledConnection {
        let IdleConnection { sender, exchange, opened_at, thread, proof, .. } = taken;
        exchange.start(None);
        let idle = self.idle.clone();
        PooledConnection {
            idle,
            address,
            sender,
            exchange,
            thread,
            opened_at,
            proof,
            reusable: true,
            is_new: false,
            is_reset: false,
        }
    }

    /// Uses a connection that was opened elsewhere. It keeps its place, if it takes one, until it is
    /// closed.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if the connection cannot be used.
    pub async fn adopt(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        slot: Option<ConnectionSlot>,
    ) -> Result<PooledConnection, SendError> {
        let thread = std::thread::current().id();
        let not_sent = |cause: String| SendError::NotSent(cause);
        configure_socket(&stream).map_err(|cause| not_sent(cause.to_string()))?;
        let exchange = Arc::new(ExchangeState::default());
        let stream = PermitCheckedStream::new(stream, exchange.clone());
        let opened = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await;
        let (sender, connection) = opened.map_err(|cause| not_sent(cause.to_string()))?;
        let proof = slot.as_ref().map(|slot| slot.proof().clone());
        tokio::spawn(async move {
            // The exchange in progress gets the same error from its sender.
            let _ = connection.await;
            if let Some(slot) = &slot {
                slot.proof().begin_close();
                if slot.room().is_in_doubt() {
                    tokio::time::sleep(NOTICE_TIME).await;
                }
            }
            drop(slot);
        });
        let idle = self.idle.clone();
        Ok(PooledConnection {
            idle,
            address,
            sender,
            exchange,
            thread,
            opened_at: Instant::now(),
            proof,
            reusable: true,
            is_new: true,
            is_reset: false,
        })
    }

    /// Fetches a small document with GET. `None` unless a complete response with a status of 2xx
    /// arrives within `QUERY_TIMEOUT`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let request = Request::get(path).body(Full::default()).ok()?;
        tokio::time::timeout(QUERY_TIMEOUT, self.fetch(address, request)).await.ok()?
    }

    /// Posts a small JSON document and returns the body of the response. `None` unless a complete
    /// response with a status of 2xx arrives within `QUERY_TIMEOUT`.
    pub async fn post(&self, address: SocketAddr, path: &str, body: Bytes) -> Option<Bytes> {
        let request = Request::post(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        tokio::time::timeout(QUERY_TIMEOUT, self.fetch(address, request)).await.ok()?
    }

    async fn fetch(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Bytes> {
        // An idle connection of any thread will do: a poll is not to open one for each thread that asks.
        let mut connection = match self.take_rested(address, IDLE_TIMEOUT) {
            Some(connection) => connection,
            None => self.acquire(address, true).await.ok()?,
        };
        let response = connection.send(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_QUERY_BYTES).collect().await;
        let body =
            body.inspect_err(|error| log::warn!("no usable response from {address}: {error}"));
        let body = body.ok()?.to_bytes();
        connection.return_to_pool();
        Some(body)
    }
}

impl IdleConnections {
    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, Vec<IdleConnection>>> {
        &self.shards[super::shard_of(address, SHARDS)]
    }

    /// Takes the newest usable connection that fits. A connection's task runs on the thread that opened
    /// the connection: used from another thread, it needs two wake-ups across threads for each token.
    fn take<F>(&self, address: SocketAddr, fits: F) -> Option<IdleConnection>
    where
        F: Fn(&IdleConnection) -> bool,
    {
        let mut shard = self.shard(address).lock().expect("connection lock");
        let stack = shard.get_mut(&address)?;
        while let Some(index) = stack.iter().rposition(&fits) {
            let idle = stack.remove(index);
            if idle.sender.is_ready() && Instant::now() < idle.expires_at {
                return Some(idle);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Whether the connection was opened for this exchange.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Where the connection counts; `None` for servers that limit none.
    pub fn room(&self) -> Option<&Arc<ServerRoom>> {
        self.proof.as_ref().map(ConnectionProof::room)
    }

    /// What tells the room of the connection; `None` where the server does not limit connections.
    pub fn proof(&self) -> Option<&ConnectionProof> {
        self.proof.as_ref()
    }

    /// Whether the server has reset the connection in this exchange. A kernel resets where bytes were not
    /// read, so a server that had read the request closes it without one.
    pub fn is_reset(&self) -> bool {
        self.is_reset
    }

    /// Whether the connection may be one more than the server accepts.
    pub fn may_be_extra(&self) -> bool {
        self.proof.as_ref().is_some_and(ConnectionProof::may_be_extra)
    }

    /// The server has answered on the connection.
    pub fn record_answered(&self) {
        if let Some(proof) = &self.proof {
            proof.record_answered();
        }
    }

    /// Time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Bytes of this exchange that were written.
    pub fn bytes_written(&self) -> u64 {
        self.exchange.bytes_written()
    }

    /// Sets the permit that is checked around every write of the next exchange.
    pub fn set_permit(&self, permit: Arc<dyn WritePermit>) {
        self.exchange.start(Some(permit));
    }

    /// Sends a request with a `Host` header for the server's address and waits for the head of the
    /// response.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no byte of the request left this process, otherwise
    /// [`SendError::MaybeSent`].
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<BackendBody>, SendError> {
        let host = HeaderValue::from_str(&self.address.to_string()).expect("addresses are ASCII");
        request.headers_mut().insert(header::HOST, host);
        self.send_unchanged(request).await
    }

    /// Sends a request that has its own `Host` header, and waits for the head of the response.
    ///
    /// # Errors
    /// Same as [`PooledConnection::send`].
    pub async fn send_unchanged(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<BackendBody>, SendError> {
        let outcome = self.sender.try_send_request(request).await;
        self.exchange.record_progress();
        self.is_reset = outcome.as_ref().err().is_some_and(|error| is_reset(error.error()));
        let response = outcome.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent(error.error().to_string()),
            None if self.exchange.bytes_written() == 0 => {
                SendError::NotSent(error.error().to_string())
            }
            None => SendError::MaybeSent(error.error().to_string()),
        })?;
        Ok(response.map(|body| BackendBody::new(body, self.exchange.clone())))
    }

    /// Closes the connection after this exchange, because its responses do not name their request: a
    /// second copy that came late could not be told from the response to the next request.
    pub fn set_single_use(&mut self) {
        self.reusable = false;
    }

    /// Returns the connection to the pool. To be called only after the whole response was read.
    pub fn return_to_pool(self) {
        self.return_to_pool_for(IDLE_TIMEOUT);
    }

    /// Returns the connection to the pool, to be reused within `idle_timeout`, which is capped at
    /// `IDLE_TIMEOUT`.
    pub fn return_to_pool_for(self, idle_timeout: Duration) {
        if !self.reusable {
            return;
        }
        // The connection's task may not have noticed yet that the response has ended: one that is taken
        // before would be closed.
        if self.proof.is_some() && !self.sender.is_ready() {
            tokio::spawn(self.return_once_ready(idle_timeout));
        } else {
            self.put_back(idle_timeout);
        }
    }

    async fn return_once_ready(mut self, idle_timeout: Duration) {
        // A server that does not read the rest of a request would keep its place.
        let ready = tokio::time::timeout(idle_timeout.min(IDLE_TIMEOUT), self.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            self.put_back(idle_timeout);
        }
    }

    fn put_back(self, idle_timeout: Duration) {
        if self.proof.as_ref().is_some_and(ConnectionProof::closes_beyond_share) {
            return;
        }
        let now = Instant::now();
        let mut shard = self.idle.shard(self.address).lock().expect("connection lock");
        let stack = shard.entry(self.address).or_default();
        stack.retain(|idle| now < idle.expires_at);
        if stack.len() < MAX_IDLE_PER_ADDRESS {
            let PooledConnection { sender, exchange, thread, opened_at, proof, .. } = self;
            let freed = proof.clone();
            stack.push(IdleConnection {
                sender,
                exchange,
                opened_at,
                rests_since: now,
                expires_at: now + idle_timeout.min(IDLE_TIMEOUT),
                thread,
                proof,
            });
            drop(shard);
            if let Some(proof) = freed {
                proof.room().wake();
            }
        }
    }
}

fn is_reset(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionReset)
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
