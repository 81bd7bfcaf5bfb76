use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::RoomLimit;
use metrics::{Counter, Gauge};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Shards of the rooms, each with its own lock.
const SHARDS: usize = 16;
/// Time between two connections that are replaced at a server that has reset some.
const REPLACE_INTERVAL: Duration = Duration::from_millis(50);

/// The connections of this process to one backend server that limits them.
#[derive(Debug)]
pub struct ServerRoom {
    counts: Mutex<Counts>,
    /// A connection has ended, or can be used again.
    freed: Notify,
}

/// The pool of a server, and where its connections are counted.
#[derive(Debug)]
struct RoomPool {
    name: PoolName,
    open: Gauge,
    opened: Counter,
    resets: Counter,
}

#[derive(Debug)]
struct Counts {
    pool: RoomPool,
    /// Connections that are in use, idle or being opened.
    open: u32,
    /// Open ones that have ended or are being closed here, and still keep their places.
    closing: u32,
    /// Open ones on which the server has answered.
    proven: u32,
    /// The most proven ones that there have been at once.
    most_proven: u32,
    limit: RoomLimit,
    /// The share as it was last told.
    share: Option<u32>,
    /// The most connections since the last report, and the most calls that waited for one.
    most_open: u32,
    most_waiting: u32,
    /// The most that could have been used, as told in reports since the last answered one.
    unanswered: u32,
    waiting: u32,
    /// When an idle connection was last closed to make room for another one.
    replaced_at: Option<Duration>,
}

/// One connection that counts towards the router's share, until this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    proof: ConnectionProof,
}

/// A call that waits for a connection, until this is dropped.
#[derive(Debug)]
pub struct RoomWait {
    room: Arc<ServerRoom>,
}

/// What the user of a connection tells its room by: that the server has answered on it, or that it is
/// closing.
#[derive(Debug, Clone)]
pub struct ConnectionProof {
    room: Arc<ServerRoom>,
    /// Whether the server was not known to take as many connections when this one took its place.
    is_extra: bool,
    marks: Arc<ConnectionMarks>,
}

/// What is known of one connection. Changed under the lock of its room only.
#[derive(Debug, Default)]
struct ConnectionMarks {
    has_answered: AtomicBool,
    is_closing: AtomicBool,
    has_ended: AtomicBool,
}

/// The rooms of all servers that limit their connections.
#[derive(Debug)]
pub struct ServerRooms {
    shards: Vec<Mutex<HashMap<SocketAddr, Arc<ServerRoom>>>>,
}

impl ServerRoom {
    fn new(pool: &PoolName) -> Self {
        Self { counts: Mutex::new(Counts::new(pool)), freed: Notify::new() }
    }

    /// Takes a place for a connection that is to be opened; `None` if the router has its `share` of them,
    /// or the server takes no more. `may_repeat` tells of the call that needs it.
    pub fn try_open(self: &Arc<Self>, share: u32, may_repeat: bool) -> Option<ConnectionSlot> {
        let mut counts = self.counts.lock().expect("room lock");
        if !counts.has_place(share, may_repeat) {
            return None;
        }
        counts.open += 1;
        counts.most_open = counts.most_open.max(counts.open);
        counts.pool.open.increment(1.0);
        counts.pool.opened.increment(1);
        let is_extra = counts.may_be_full();
        drop(counts);
        let proof = ConnectionProof { room: self.clone(), is_extra, marks: Arc::default() };
        Some(ConnectionSlot { proof })
    }

    /// The pool of the server.
    pub fn pool(&self) -> PoolName {
        self.counts.lock().expect("room lock").pool.name.clone()
    }

    /// Sets the pool of the server. The connections stay, also towards the cap of a new pool.
    fn set_pool(&self, pool: &PoolName) {
        let mut counts = self.counts.lock().expect("room lock");
        if counts.pool.name == *pool {
            return;
        }
        counts.pool.open.decrement(f64::from(counts.open));
        counts.pool = RoomPool::new(pool);
        counts.pool.open.increment(f64::from(counts.open));
        counts.share = None;
    }

    /// Sets the router's share, beyond which connections are closed after use.
    pub fn set_share(&self, share: u32) {
        self.counts.lock().expect("room lock").share = Some(share);
    }

    /// Whether there are more connections than the share, besides those that are closing already.
    pub fn is_beyond_share(&self) -> bool {
        self.counts.lock().expect("room lock").is_beyond_share()
    }

    /// Counts a call that waits for a connection, until the returned value is dropped.
    pub fn begin_wait(self: &Arc<Self>) -> RoomWait {
        let mut counts = self.counts.lock().expect("room lock");
        counts.waiting += 1;
        counts.most_waiting = counts.most_waiting.max(counts.waiting);
        drop(counts);
        RoomWait { room: self.clone() }
    }

    /// The connections there are, and the most that could have been used since the last report that was
    /// answered.
    pub fn report_use(&self) -> (u32, u32) {
        let mut counts = self.counts.lock().expect("room lock");
        counts.unanswered = counts.unanswered.max(counts.most_open + counts.most_waiting);
        (counts.most_open, counts.most_waiting) = (counts.open, counts.waiting);
        (counts.open, counts.unanswered)
    }

    /// The leader has answered the last report, so it knows the need that was told.
    pub fn record_report_answered(&self) {
        self.counts.lock().expect("room lock").unanswered = 0;
    }

    /// Whether [`Self::try_open`] would find a place.
    pub fn has_place(&self, share: u32, may_repeat: bool) -> bool {
        self.counts.lock().expect("room lock").has_place(share, may_repeat)
    }

    /// Whether an idle connection may be closed, so that another one takes its place. At a server that has
    /// reset some, one is closed at a time: the next interval starts where it may.
    pub fn may_replace(&self, share: u32, may_repeat: bool) -> bool {
        let now = since_start();
        let mut counts = self.counts.lock().expect("room lock");
        let is_closing = counts.replaced_at.is_some_and(|at| now < at + REPLACE_INTERVAL);
        let is_held_up = counts.limit.is_in_doubt(now) && is_closing;
        let may_replace = !is_held_up && counts.limit.most_open(now, share, may_repeat) > 0;
        if may_replace {
            counts.replaced_at = Some(now);
        }
        may_replace
    }

    /// The server has reset a connection that it had just accepted. Of the others only those count on which it
    /// has answered: it may be about to reset the rest.
    pub fn record_reset(&self) {
        let mut counts = self.counts.lock().expect("room lock");
        let others = counts.proven;
        counts.limit.record_reset(since_start(), others);
        counts.pool.resets.increment(1);
    }

    /// Whether there are connections to the server.
    pub fn has_any(&self) -> bool {
        self.counts.lock().expect("room lock").open > 0
    }

    /// Whether there are connections that have neither ended nor are being closed here.
    pub fn has_live(&self) -> bool {
        let counts = self.counts.lock().expect("room lock");
        counts.open > counts.closing
    }

    /// Whether the server has reset a connection lately that it had just accepted.
    pub fn is_in_doubt(&self) -> bool {
        self.counts.lock().expect("room lock").limit.is_in_doubt(since_start())
    }

    /// Whether there are more connections than the server is known to take, or it has reset one
    /// lately. One is taken for granted.
    pub fn may_be_full(&self) -> bool {
        self.counts.lock().expect("room lock").may_be_full()
    }

    /// A connection can be used again.
    pub fn wake(&self) {
        self.freed.notify_one();
    }

    /// The share has changed.
    pub fn wake_all(&self) {
        self.freed.notify_waiters();
    }

    /// Waits until a connection has ended or can be used again.
    pub async fn until_freed(&self) {
        self.freed.notified().await;
    }

    fn is_unused(&self) -> bool {
        self.counts.lock().expect("room lock").open == 0 && !self.is_in_doubt()
    }
}

impl RoomPool {
    fn new(pool: &PoolName) -> Self {
        let label = pool.to_string();
        Self {
            name: pool.clone(),
            open: metrics::gauge!("samphireshift_connections", "pool" => label.clone()),
            opened: metrics::counter!("samphireshift_connections_opened_total", "pool" => label.clone()),
            resets: metrics::counter!("samphireshift_connection_resets_total", "pool" => label),
        }
    }
}

impl Counts {
    fn new(pool: &PoolName) -> Self {
        Self {
            pool: RoomPool::new(pool),
            open: 0,
            closing: 0,
            proven: 0,
            most_proven: 0,
            limit: RoomLimit::default(),
            share: None,
            most_open: 0,
            most_waiting: 0,
            unanswered: 0,
            waiting: 0,
            replaced_at: None,
        }
    }

    fn may_be_full(&self) -> bool {
        self.open > self.most_proven.max(1) || self.limit.is_in_doubt(since_start())
    }

    fn is_beyond_share(&self) -> bool {
        self.share.is_some_and(|share| self.open - self.closing > share)
    }

    fn has_place(&self, share: u32, may_repeat: bool) -> bool {
        self.open < self.limit.most_open(since_start(), share, may_repeat)
    }
}

impl ConnectionSlot {
    /// The room that the connection takes a place of.
    pub fn room(&self) -> &Arc<ServerRoom> {
        &self.proof.room
    }

    /// What the user of the connection tells the room by.
    pub fn proof(&self) -> &ConnectionProof {
        &self.proof
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let ConnectionProof { room, marks, .. } = &self.proof;
        let mut counts = room.counts.lock().expect("room lock");
        marks.has_ended.store(true, Ordering::Relaxed);
        counts.open -= 1;
        counts.proven -= u32::from(marks.has_answered.load(Ordering::Relaxed));
        counts.closing -= u32::from(marks.is_closing.load(Ordering::Relaxed));
        counts.pool.open.decrement(1.0);
        drop(counts);
        room.wake();
    }
}

impl Drop for RoomWait {
    fn drop(&mut self) {
        self.room.counts.lock().expect("room lock").waiting -= 1;
    }
}

impl ConnectionProof {
    /// The room that the connection takes a place of.
    pub fn room(&self) -> &Arc<ServerRoom> {
        &self.room
    }

    /// The server has answered on the connection; only the first time counts.
    pub fn record_answered(&self) {
        // Under the lock, so that a connection that ends meanwhile is not counted any more.
        let mut counts = self.room.counts.lock().expect("room lock");
        if self.marks.has_ended.load(Ordering::Relaxed) {
            return;
        }
        if !self.marks.has_answered.swap(true, Ordering::Relaxed) {
            counts.proven += 1;
            let proven = counts.proven;
            counts.most_proven = counts.most_proven.max(proven);
            counts.limit.record_accepted(proven);
        }
    }

    /// Whether there are other connections to the server.
    pub fn has_others(&self) -> bool {
        let counts = self.room.counts.lock().expect("room lock");
        counts.open > u32::from(!self.marks.has_ended.load(Ordering::Relaxed))
    }

    /// Whether the connection may be one too many: the server was not known to take as many when it was
    /// opened, and has not answered on it.
    pub fn may_be_extra(&self) -> bool {
        self.is_extra && !self.marks.has_answered.load(Ordering::Relaxed)
    }

    /// The connection is closed here, or has ended; it keeps its place for now.
    pub fn begin_close(&self) {
        self.mark_closing(&mut self.room.counts.lock().expect("room lock"));
    }

    /// Whether this end is to close the connection, which is not in use any more, as there are more of them
    /// than the share. It counts as closing from then on.
    pub fn closes_beyond_share(&self) -> bool {
        let mut counts = self.room.counts.lock().expect("room lock");
        let closes = counts.is_beyond_share();
        if closes {
            self.mark_closing(&mut counts);
        }
        closes
    }

    fn mark_closing(&self, counts: &mut Counts) {
        if !self.marks.has_ended.load(Ordering::Relaxed)
            && !self.marks.is_closing.swap(true, Ordering::Relaxed)
        {
            counts.closing += 1;
        }
    }
}

impl Default for ServerRooms {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl ServerRooms {
    /// The room of a server of this pool.
    pub fn of(&self, server: SocketAddr, pool: &PoolName) -> Arc<ServerRoom> {
        let mut shard = self.shard(server).lock().expect("rooms lock");
        let room = shard.entry(server).or_insert_with(|| Arc::new(ServerRoom::new(pool)));
        room.set_pool(pool);
        room.clone()
    }

    /// The room of a server, if it has been used.
    pub fn find(&self, server: SocketAddr) -> Option<Arc<ServerRoom>> {
        self.shard(server).lock().expect("rooms lock").get(&server).cloned()
    }

    /// All rooms.
    pub fn all(&self) -> Vec<(SocketAddr, Arc<ServerRoom>)> {
        let rooms = self.shards.iter().flat_map(|shard| {
            let shard = shard.lock().expect("rooms lock");
            shard.iter().map(|(server, room)| (*server, room.clone())).collect::<Vec<_>>()
        });
        rooms.collect()
    }

    /// Forgets the servers to which there is no connection and that have reset none lately.
    pub fn forget_unused(&self) {
        for shard in &self.shards {
            // A room that someone else holds may be about to be used.
            let is_used = |room: &Arc<ServerRoom>| Arc::strong_count(room) > 1 || !room.is_unused();
            shard.lock().expect("rooms lock").retain(|_, room| is_used(room));
        }
    }

    fn shard(&self, server: SocketAddr) -> &Mutex<HashMap<SocketAddr, Arc<ServerRoom>>> {
        &self.shards[super::shard_of(server, SHARDS)]
    }
}
