//! Graceful shutdown of a daemon under traffic.

mod env;

use env::fleet::await_until;
use env::{Fleet, FleetSpec, ticket};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use samphireshift::backend::ConnectionPool;
use serde_json::json;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Streams in progress when the daemon is told to stop.
const STREAM_COUNT: usize = 8;
/// A connection without a response after this time counts as hanging.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a readiness request on a new connection.
#[derive(Debug, PartialEq)]
enum Probe {
    Answered(u16),
    /// Refused or reset.
    Refused,
    Hanging,
    ClosedWithoutResponse,
}

/// Requests the readiness check on a new connection.
async fn probe(address: SocketAddr) -> Probe {
    let request = async {
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.map(|_| answer)
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, request).await {
        Err(_) => Probe::Hanging,
        Ok(Ok(answer)) if answer.is_empty() => Probe::ClosedWithoutResponse,
        Ok(Ok(answer)) => {
            let status = String::from_utf8_lossy(&answer[9..12]).parse();
            Probe::Answered(status.expect("the response has a status code"))
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
async fn a_graceful_stop_completes_requests_and_leaves_no_connection_hanging() {
    let spec = FleetSpec {
        cheap: vec![vec!["--versions=cheap/v1", "--tokens=60", "--delay-us=40000", "--slots=64"]],
        settings: vec![("limits", "drain", "300ms"), ("limits", "idle", "1s")],
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    let callers = fleet.daemons[0].callers;
    let body = json!({ "stream": true, "messages": [] });
    // Stays open and idle during the whole shutdown.
    let idle = TcpStream::connect(callers).await.expect("an idle connection");
    let connections = ConnectionPool::new(RESPONSE_TIMEOUT);
    let mut kept = connections.acquire(callers, false).await.expect("a kept connection");
    let health = || Request::get("/health/ready").body(Full::default()).expect("a request");
    let first = kept.send(health()).await.expect("an answer");
    assert_eq!((first.status().as_u16(), first.headers().get(header::CONNECTION)), (200, None));
    first.into_body().collect().await.expect("a whole answer");

    let streams = (0..STREAM_COUNT).map(|_| fleet.chat(0, &[], &body));
    let streams = futures::future::join_all(streams);
    let stop = async {
        let all_running = async || {
            let reply = fleet.operate(0, "GET", "/v1/status", &serde_json::Value::Null).await;
            reply.json()["daemons"][0]["requests"] == STREAM_COUNT
        };
        await_until("all streams are in progress", all_running).await;
        fleet.daemons[0].process.signal("TERM");
        await_until("the daemon reports that it is not ready", async || {
            probe(callers).await == Probe::Answered(503)
        })
        .await;
        let last = kept.send(health()).await.expect("an answer on the kept connection");
        assert_eq!(last.headers().get(header::CONNECTION).expect("a header"), "close");
        loop {
            match probe(callers).await {
                Probe::Answered(503) => {}
                Probe::Refused => break,
                other => panic!("unexpected outcome of a readiness request: {other:?}"),
            }
        }
    };
    let (answers, ()) = tokio::join!(streams, stop);
    let expected: String = (0..60).map(|n| format!("word{n} ")).collect();
    for answer in answers {
        assert_eq!(answer.streamed_text(), Some(expected.clone()), "{}", answer.text());
    }
    assert_eq!(fleet.daemons[0].process.wait(), Some(0));
    drop(idle);
}
