//! The connections of one process to a server that limits them: what is closed, counted and reported.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use samphireshift::backend::{ConnectionPool, PooledConnection, ServerRoom};
use samphireshift::name::PoolName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn pool_name(name: &str) -> PoolName {
    PoolName::new(name)
}

/// A server that answers each request with the same bytes.
async fn serve() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    stream.write_all(ANSWER).await.unwrap();
                }
            });
        }
    });
    address
}

/// Connections that have each carried an exchange and are still in use.
async fn connect(
    pool: &ConnectionPool,
    server: SocketAddr,
    room: &Arc<ServerRoom>,
    count: u32,
) -> Vec<PooledConnection> {
    let mut connections = Vec::new();
    for _ in 0..count {
        let slot = room.try_open(u32::MAX, true).unwrap();
        let stream = pool.open(server).await.unwrap();
        let mut connection = pool.adopt(server, stream, Some(slot)).await.unwrap();
        let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
        let response = connection.send(request).await.unwrap();
        connection.record_answered();
        response.into_body().collect().await.unwrap();
        connections.push(connection);
    }
    // Their tasks notice that the answers have ended.
    tokio::time::sleep(Duration::from_millis(50)).await;
    connections
}

/// When connections beyond the share are found.
#[derive(Debug, Clone, Copy)]
enum Excess {
    /// When they are given back, all at once.
    AtReturn,
    /// While they are idle; looked for so often before the first has closed.
    WhileIdle(usize),
}

/// Guards against connections that are closed for an excess which others are closed for already.
#[rstest]
#[case::at_return(Excess::AtReturn)]
#[case::while_idle(Excess::WhileIdle(1))]
#[case::looked_for_twice(Excess::WhileIdle(2))]
#[tokio::test]
async fn only_what_exceeds_the_share_is_closed(#[case] excess: Excess) {
    let server = serve().await;
    let pool = ConnectionPool::new(Duration::from_secs(1));
    let room = pool.rooms().of(server, &pool_name("pool"));
    let connections = connect(&pool, server, &room, 8).await;
    if let Excess::AtReturn = excess {
        room.set_share(5);
    }
    connections.into_iter().for_each(PooledConnection::return_to_pool);
    if let Excess::WhileIdle(looks) = excess {
        room.set_share(5);
        (0..looks).for_each(|_| pool.close_beyond_share(server, &room));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(room.report_use().0, 5, "connections that are left");
    // What has closed counts no longer as closing.
    room.set_share(3);
    pool.close_beyond_share(server, &room);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(room.report_use().0, 3, "connections that are left");
}

/// Guards against a server that is counted towards a pool that it has left.
#[tokio::test]
async fn a_room_belongs_to_the_newest_pool_of_its_server() {
    let server = SocketAddr::from(([10, 0, 0, 1], 80));
    let pool = ConnectionPool::new(Duration::from_secs(1));
    let old = pool.rooms().of(server, &pool_name("old"));
    let slot = old.try_open(2, true);
    let new = pool.rooms().of(server, &pool_name("new"));
    assert_eq!(new.pool(), pool_name("new"));
    assert!(!new.has_place(1, true), "the connection still counts");
    drop(slot);
    assert!(new.has_place(1, true));
}

/// Guards against need that is forgotten with a report that got no answer.
#[test]
fn need_is_reported_until_a_report_is_answered() {
    let pool = ConnectionPool::new(Duration::from_secs(1));
    let room = pool.rooms().of(SocketAddr::from(([10, 0, 0, 1], 80)), &pool_name("pool"));
    let slot = room.try_open(1, true);
    let waits: Vec<_> = (0..6).map(|_| room.begin_wait()).collect();
    drop(waits);
    assert_eq!(room.report_use(), (1, 7));
    assert_eq!(room.report_use(), (1, 7), "the first report was not answered");
    room.record_report_answered();
    assert_eq!(room.report_use(), (1, 1));
    drop(slot);
    room.record_report_answered();
    assert_eq!(room.report_use(), (0, 1), "one was open since");
}
