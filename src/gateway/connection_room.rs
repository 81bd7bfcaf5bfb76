//! This router's share of the connections to servers that limit them.

use super::Gateway;
use super::accepted_call::Call;
use super::exchange::SendOutcome;
use super::paths::PoolPath;
use super::server_table::ServerState;
use crate::backend::{ConnectionProof, ConnectionSlot, PooledConnection, ServerRoom};
use crate::group::since_start;
use crate::name::PoolName;
use crate::policy::{ConnectFailure, ConnectionShare, ConnectionUse};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long a call waits for a connection of this router to a server, as a part of the target latency
/// of its route. Then another server is tried.
const WAIT_FRACTION: f64 = 0.125;
/// The longest such wait.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// How long a connection may have rested for a call that may not be repeated. Something between the two
/// ends may have lost one that rested for longer, without a sign.
const MAX_REST: Duration = Duration::from_millis(150);
/// How long a new connection must last before it is written to.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Why a call is not sent to a server that has reset the connection opened for it.
const TURNED_DOWN: &str = "the server has reset the connection right away";
/// An accepted connection that ends so soon was one too many for its server.
pub(super) const RESET_WITHIN: Duration = Duration::from_millis(100);

/// The shares of this router.
#[derive(Debug)]
pub struct ConnectionShares {
    share: RwLock<ConnectionShare>,
    /// Notified when a report is due early: a call waits for a connection, or a new configuration may
    /// name new pools.
    pub(super) wanted: Notify,
}

/// What a call gets of the room for connections to a server.
pub(super) enum Room {
    /// A connection that can be used at once.
    Idle(PooledConnection),
    /// A place for a new connection.
    Place(ConnectionSlot),
    /// Nothing: all connections of this router are in use, or the server accepts no more.
    Full,
}

impl ConnectionShares {
    /// The shares of a router that knows of no other one.
    pub fn new() -> Self {
        let share = RwLock::new(ConnectionShare::new(rand::random()));
        Self { share, wanted: Notify::new() }
    }

    /// Sets the number of routers that the leader has told of.
    pub fn set_fleet(&self, routers: u32) {
        self.share.write().expect("share lock").set_fleet(since_start(), routers);
    }

    /// The largest number of routers that a leader has told of lately.
    pub(super) fn fleet(&self) -> u32 {
        self.share.read().expect("share lock").fleet()
    }

    /// Sets whether the leader gives parts.
    pub(super) fn set_led(&self, is_led: bool) {
        self.share.write().expect("share lock").set_led(is_led);
    }

    fn of(&self, pool: &PoolName, server: SocketAddr, cap: u32) -> u32 {
        self.share.read().expect("share lock").of_pool(since_start(), pool, server, cap)
    }
}

impl Gateway {
    /// The most connections that each server of a pool accepts from all routers together; `None` if the
    /// configuration names no such number.
    pub(super) fn connection_cap(&self, pool: &PoolName) -> Option<u32> {
        let index = self.route_index()?;
        let cap = index.config.route_table.as_ref()?.pool(pool)?.max_connections;
        (cap < u32::MAX).then_some(cap)
    }

    /// Tests whether a server accepts a connection. One that limits its connections, resets this one and
    /// keeps others of this router is full and not gone.
    pub(super) async fn try_connect(&self, server: &ServerState) -> Result<(), ConnectFailure> {
        match self.connections.open(server.vm.address).await {
            Err(ConnectFailure::Reset) if self.keeps_connections(server) => Ok(()),
            opened => opened.map(drop).map_err(ConnectFailure::of_uncapped),
        }
    }

    /// Whether a server that limits its connections has some of this router.
    fn keeps_connections(&self, server: &ServerState) -> bool {
        let room = self.connections.rooms().find(server.vm.address);
        self.connection_cap(&server.vm.pool).is_some() && room.is_some_and(|room| room.has_any())
    }

    /// Whether a call would find a connection to the server, or room to open one.
    pub(super) fn has_connection_room(&self, server: SocketAddr, cap: u32) -> bool {
        let Some(room) = self.connections.rooms().find(server) else { return true };
        room.has_place(self.shares.of(&room.pool(), server, cap), false)
            || self.connections.has_idle(server)
    }

    /// Whether the servers of any pool limit their connections.
    pub(super) fn limits_connections(&self) -> bool {
        let Some(index) = self.route_index() else { return false };
        let table = index.config.route_table.as_ref();
        table.is_some_and(|table| table.pools.iter().any(|pool| pool.max_connections < u32::MAX))
    }

    /// What this router uses and needs of the connections of each pool whose servers limit them.
    pub(super) fn connection_use(&self) -> Vec<(PoolName, ConnectionUse)> {
        let Some(index) = self.route_index() else { return Vec::new() };
        let Some(table) = index.config.route_table.as_ref() else { return Vec::new() };
        let mut uses: BTreeMap<&PoolName, ConnectionUse> = BTreeMap::new();
        let share = self.shares.share.read().expect("share lock");
        for pool in table.pools.iter().filter(|pool| pool.max_connections < u32::MAX) {
            let held = share.held(since_start(), &pool.name, pool.max_connections);
            uses.insert(&pool.name, ConnectionUse { held, open: 0, need: 0 });
        }
        drop(share);
        for (_, room) in self.connections.rooms().all() {
            let Some(told) = uses.get_mut(&room.pool()) else { continue };
            let (open, need) = room.report_use();
            (told.open, told.need) = (told.open.max(open), told.need.max(need));
        }
        for (pool, told) in &uses {
            let set = |name: &'static str, value: u32| {
                metrics::gauge!(name, "pool" => pool.to_string()).set(f64::from(value));
            };
            set("samphireshift_connection_part", told.held);
            set("samphireshift_connection_need", told.need);
        }
        uses.into_iter().map(|(pool, told)| (pool.clone(), told)).collect()
    }

    /// Sets the parts that the leader has given in answer to the report of `asked_at`.
    pub(super) fn set_connection_parts(&self, asked_at: Duration, parts: Vec<(PoolName, u32)>) {
        let pools: HashSet<PoolName> = parts.iter().map(|(pool, _)| pool.clone()).collect();
        self.shares.share.write().expect("share lock").set_parts(asked_at, parts);
        self.trim_connections();
        for (_, room) in self.connections.rooms().all() {
            if pools.contains(&room.pool()) {
                room.record_report_answered();
            }
            room.wake_all();
        }
    }

    /// Closes idle connections beyond the parts that the leader gives.
    pub(super) fn trim_connections(&self) {
        if !self.shares.share.read().expect("share lock").is_led() {
            return;
        }
        for (server, room) in self.connections.rooms().all() {
            let pool = room.pool();
            let Some(cap) = self.connection_cap(&pool) else { continue };
            room.set_share(self.shares.of(&pool, server, cap));
            self.connections.close_beyond_share(server, &room);
        }
    }

    /// Sets the number of routers that share the servers' connections, and closes idle ones that have
    /// expired.
    pub(super) fn update_shares(&self, routers: u32) {
        self.shares.set_fleet(routers);
        self.connections.close_expired();
        self.connections.rooms().forget_unused();
    }
}

impl Call {
    /// What the call gets of the room for connections to a server; waits shortly for one that is in use.
    pub(super) async fn connection_room(&self, server: &ServerState, cap: u32) -> Room {
        let (connections, address) = (&self.gateway.connections, server.vm.address);
        let room = connections.rooms().of(address, &self.pool);
        let may_repeat = self.route.kind.is_retry_safe();
        let most_rest = if may_repeat { Duration::MAX } else { MAX_REST };
        let wait = self.route.latency_target.mul_f64(WAIT_FRACTION).min(MAX_WAIT);
        let until = Instant::now() + wait;
        let mut waits = None;
        loop {
            if let Some(connection) = connections.take_rested(address, most_rest) {
                return Room::Idle(connection);
            }
            let share = self.gateway.shares.of(&self.pool, address, cap);
            if let Some(slot) = room.try_open(share, may_repeat) {
                return Room::Place(slot);
            }
            if waits.is_none() {
                waits = Some(room.begin_wait());
                self.gateway.shares.wanted.notify_one();
                let pool = self.pool.to_string();
                metrics::counter!("samphireshift_connection_waits_total", "pool" => pool)
                    .increment(1);
            }
            // One that has rested for too long gives its place up. It is free once that has closed.
            if connections.has_idle(address) && room.may_replace(share, may_repeat) {
                connections.close_oldest(address);
            }
            let freed = tokio::time::timeout_at(until.into(), room.until_freed()).await;
            // A part that grew before the wait began has woken nobody.
            if freed.is_err()
                && !room.has_place(self.gateway.shares.of(&self.pool, address, cap), may_repeat)
            {
                self.count_refusal("share");
                return Room::Full;
            }
        }
    }

    /// Counts that a server is passed over for want of a connection.
    fn count_refusal(&self, cause: &'static str) {
        let pool = self.pool.to_string();
        metrics::counter!("samphireshift_connections_refused_total", "pool" => pool, "cause" => cause)
            .increment(1);
    }

    /// Whether a new connection is still open. It has to last for a while before a call is written
    /// to it that may not be repeated, or any where the server may be full, so that a call that the
    /// server does not take is known not to have run.
    pub(super) async fn is_accepted(&self, room: &ServerRoom, stream: &TcpStream) -> bool {
        // A call that may not be repeated is lost if the reset comes later.
        let settle = match self.route.kind.is_retry_safe() {
            true if !room.may_be_full() => return true,
            false if room.is_in_doubt() => RESET_WITHIN,
            _ => SETTLE_TIME,
        };
        // Nothing is to be read before a request was sent but an end, or bytes that belong to none.
        tokio::time::timeout(settle, stream.readable()).await.is_err()
    }

    /// Records that a server has reset a new connection. Returns whether it is full, as it keeps others of
    /// this router. Else it is put aside as one that cannot be reached: whether it is full for other
    /// routers or resets each connection, it takes none from here.
    pub(super) fn record_turned_down(
        &self,
        server: &ServerState,
        path: &Arc<PoolPath>,
        proof: &ConnectionProof,
    ) -> bool {
        self.count_refusal("reset");
        let is_full = proof.has_others();
        proof.room().record_reset();
        if is_full {
            path.record_connected();
        } else {
            server.pause_unreached();
            path.record_unreached(&self.gateway, &server.vm.name, ConnectFailure::Refused);
        }
        is_full
    }

    /// The same, for a call of which nothing was sent: what came of it.
    pub(super) fn turned_down(
        &self,
        server: &ServerState,
        path: &Arc<PoolPath>,
        proof: &ConnectionProof,
    ) -> SendOutcome {
        match self.record_turned_down(server, path, proof) {
            true => SendOutcome::NotSent(TURNED_DOWN.to_owned()),
            false => SendOutcome::Unreached(TURNED_DOWN.to_owned()),
        }
    }

    /// Whether a new connection that has ended before a response came did so because the server had not taken
    /// it: it has ended early, and the server still accepts others.
    pub(super) async fn is_turned_down(
        &self,
        server: &ServerState,
        connection: &PooledConnection,
    ) -> bool {
        if !connection.is_new() || connection.age() >= RESET_WITHIN {
            return false;
        }
        let opened = self.gateway.connections.open(server.vm.address).await;
        matches!(opened, Ok(_) | Err(ConnectFailure::Reset))
    }

    /// Whether a server that has lost a call which was written is full and has not ended. The others that it
    /// turns down at the same time may be gone already, so what the room was like at the opening counts as
    /// well. One that closes a connection has read the call, and one that has ended keeps no connection.
    pub(super) async fn was_one_too_many(
        &self,
        server: &ServerState,
        connection: &PooledConnection,
        room: &ServerRoom,
    ) -> bool {
        let may_be_full = room.may_be_full();
        connection.is_reset()
            && (may_be_full || connection.may_be_extra())
            && self.is_turned_down(server, connection).await
            && (may_be_full || room.has_live())
    }
}
