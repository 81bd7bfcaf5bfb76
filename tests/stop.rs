//! The graceful stop of a daemon under traffic.

mod env;

use env::fleet::await_until;
use env::{Fleet, Plan, ticket};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::json;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Streams under way when the daemon is told to stop.
const STREAMS: usize = 8;
/// An answer later than this counts as none.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// What became of a new connection.
#[derive(Debug, PartialEq)]
enum Probe {
    Answered(u16),
    Refused,
    Hanging,
    ClosedUnanswered,
}

/// Opens a connection and asks for readiness.
async fn probe(address: SocketAddr) -> Probe {
    let work = async {
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.map(|_| answer)
    };
    match tokio::time::timeout(ANSWER_LIMIT, work).await {
        Err(_) => Probe::Hanging,
        Ok(Ok(answer)) if answer.is_empty() => Probe::ClosedUnanswered,
        Ok(Ok(answer)) => {
            let status = String::from_utf8_lossy(&answer[9..12]).parse();
            Probe::Answered(status.expect("a status"))
        }
        Ok(Err(error)) => {
            let kinds =
                [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset, ErrorKind::BrokenPipe];
            assert!(kinds.contains(&error.kind()), "{error}");
            Probe::Refused
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_and_leaves_no_connection_hanging() {
    let plan = Plan {
        cheap: vec![vec!["--versions=cheap/v1", "--tokens=60", "--delay-us=40000", "--slots=64"]],
        settings: vec![("limits", "drain", "300ms"), ("limits", "idle", "1s")],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    fleet.apply(&ticket::first(1)).await;
    let callers = fleet.daemons[0].callers;
    let body = json!({ "stream": true, "messages": [] });
    // A connection that stays open and idle through the whole stop.
    let idle = TcpStream::connect(callers).await.expect("an idle connection");
    let connections = ConnectionPool::new(ANSWER_LIMIT);
    let mut kept = connections.acquire(callers, false).await.expect("a kept connection");
    let health = || Request::get("/health/ready").body(Full::default()).expect("a request");
    let first = kept.send(health()).await.expect("an answer");
    assert_eq!((first.status().as_u16(), first.headers().get(header::CONNECTION)), (200, None));
    first.into_body().collect().await.expect("a whole answer");

    let streams = (0..STREAMS).map(|_| fleet.chat(0, &[], &body));
    let streams = futures::future::join_all(streams);
    let stop = async {
        let under_way = async || {
            let reply = fleet.operate(0, "GET", "/v1/status", &serde_json::Value::Null).await;
            reply.json()["daemons"][0]["requests"] == STREAMS
        };
        await_until("all streams are under way", under_way).await;
        fleet.daemons[0].process.signal("TERM");
        await_until("the daemon looks unready", async || {
            probe(callers).await == Probe::Answered(503)
        })
        .await;
        let last = kept.send(health()).await.expect("an answer on the kept connection");
        assert_eq!(last.headers().get(header::CONNECTION).expect("a header"), "close");
        loop {
            match probe(callers).await {
                Probe::Answered(503) => {}
                Probe::Refused => break,
                other => panic!("{other:?}"),
            }
        }
    };
    let (answers, ()) = tokio::join!(streams, stop);
    let expected: String = (0..60).map(|n| format!("word{n} ")).collect();
    for answer in answers {
        assert_eq!(answer.words(), Some(expected.clone()), "{}", answer.text());
    }
    assert_eq!(fleet.daemons[0].process.wait(), Some(0));
    drop(idle);
}
