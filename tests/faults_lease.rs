//! Router leases and withdrawals of versions while real daemon processes are partitioned or paused.

mod env;

use env::checker::BlackBoxChecker;
use env::fleet::await_until;
use env::proxy::ProxyFault;
use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// Limit of the time until a withdrawal is in force while one daemon does not respond.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

fn plan() -> FleetSpec {
    let settings = vec![
        ("limits", "drain", "200ms"),
        ("lease", "duration", "1500ms"),
        ("lease", "renew", "200ms"),
        ("consensus", "election", "300ms"),
        ("consensus", "heartbeat", "60ms"),
        ("rating", "sample", "0"),
    ];
    FleetSpec { durable: vec![true, true, true], proxies: true, settings, ..FleetSpec::default() }
}

fn withdrawal(number: u64) -> Value {
    json!({ "number": number, "author": "test", "versions": [
        ticket::version("cheap", "v1", "withdrawn", 0.8, 100),
        ticket::version("cheap", "v2", "open", 0.8, 100),
    ]})
}

async fn start() -> Fleet {
    let fleet = Fleet::start(&plan()).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet.await_voters(3).await;
    fleet
}

/// Withdraws `cheap/v1` through daemon `at` and waits until that is in force; returns the time of
/// the call.
async fn withdraw(fleet: &Fleet, at: usize, checker: &BlackBoxChecker) -> Duration {
    let began = Instant::now();
    fleet.apply_at(at, &withdrawal(2)).await;
    let took = began.elapsed();
    checker.record_withdrawal(fleet, "cheap/v1").await;
    took
}

#[rstest]
#[case::silent(ProxyFault::Stall)]
#[case::cut(ProxyFault::Disconnect)]
#[case::one_way(ProxyFault::StallBack)]
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_router_refuses_requests_until_it_is_reconnected(#[case] fault: ProxyFault) {
    let (fleet, checker) = (start().await, BlackBoxChecker::default());
    let leader = fleet.leader().await;
    let (isolated, other) = ((leader + 1) % 3, (leader + 2) % 3);
    assert_eq!(checker.chat(&fleet, isolated, "old").await.status, 200);
    fleet.set_peer_fault(isolated, fault);
    let took = withdraw(&fleet, other, &checker).await;
    assert!(took < IN_FORCE_TIMEOUT, "the withdrawal took {took:?} to be in force");
    for session in ["old", "new"] {
        let refused = checker.chat(&fleet, isolated, session).await;
        assert_eq!(refused.header("x-samphireshift-ran"), "no", "{}", refused.text());
        assert!(!refused.header("retry-after").is_empty());
    }
    let health = |i| fleet.health(i);
    assert_ne!(
        health(isolated).await,
        200,
        "a router without a lease must not be reported as healthy"
    );
    assert_eq!(checker.chat(&fleet, other, "served").await.json()["model"], "cheap/v2");
    fleet.set_peer_fault(isolated, ProxyFault::None);
    fleet.await_ready().await;
    let gone = checker.chat(&fleet, isolated, "old").await;
    assert_eq!(gone.json()["error"]["code"], "version_withdrawn", "{}", gone.text());
    assert_eq!(checker.chat(&fleet, isolated, "back").await.json()["model"], "cheap/v2");
    assert_eq!(checker.violations(&fleet).await, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_router_sends_no_request_to_a_version_withdrawn_meanwhile() {
    let (fleet, checker) = (start().await, BlackBoxChecker::default());
    let leader = fleet.leader().await;
    let (paused, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let traffic = async {
        // The calls start 5 ms apart, so that the pause hits them at different stages.
        let calls = (0..40).map(|n| {
            let session = format!("s{n}");
            let (fleet, checker) = (&fleet, &checker);
            async move {
                tokio::time::sleep(Duration::from_millis(n * 5)).await;
                checker.chat(fleet, paused, &session).await;
            }
        });
        futures::future::join_all(calls).await;
    };
    let faults = async {
        tokio::time::sleep(Duration::from_millis(90)).await;
        fleet.daemons[paused].process.signal("STOP");
        let took = withdraw(&fleet, other, &checker).await;
        fleet.daemons[paused].process.signal("CONT");
        took
    };
    let ((), took) = tokio::join!(traffic, faults);
    assert!(took < IN_FORCE_TIMEOUT, "the withdrawal took {took:?} to be in force");
    assert_eq!(checker.violations(&fleet).await, Vec::<String>::new());
}

#[rstest]
#[case::isolated(true)]
#[case::paused(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_deposed_leader_accepts_nothing(#[case] isolated: bool) {
    let (fleet, checker) = (start().await, BlackBoxChecker::default());
    let old = fleet.leader().await;
    let other = (old + 1) % 3;
    match isolated {
        true => fleet.set_peer_fault(old, ProxyFault::Stall),
        false => fleet.daemons[old].process.signal("STOP"),
    }
    let submit_to_minority = async {
        if isolated {
            let minority_ticket = json!({ "number": 7, "author": "lonely", "versions": [
                ticket::version("better", "v1", "closing", 0.95, 1),
            ]});
            let reply = fleet.operate(old, "POST", "/v1/tickets", &minority_ticket).await;
            assert_ne!(
                reply.status,
                200,
                "a leader without a quorum accepted a ticket: {}",
                reply.text()
            );
        }
    };
    let (took, ()) = tokio::join!(withdraw(&fleet, other, &checker), submit_to_minority);
    assert!(
        took < IN_FORCE_TIMEOUT + LEASE_DURATION,
        "the withdrawal took {took:?} to be in force"
    );
    match isolated {
        true => fleet.set_peer_fault(old, ProxyFault::None),
        false => fleet.daemons[old].process.signal("CONT"),
    }
    fleet.await_ready().await;
    for i in 0..3 {
        let served = checker.chat(&fleet, i, &format!("after-{i}")).await;
        assert_eq!(served.json()["model"], "cheap/v2", "{}", served.text());
        let shown = fleet.operate(i, "GET", "/v1/tickets/2", &Value::Null).await;
        assert_eq!(shown.status, 200, "{}", shown.text());
    }
    assert_eq!(checker.violations(&fleet).await, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_tickets_with_one_number_exactly_one_is_accepted() {
    let fleet = start().await;
    let leader = fleet.leader().await;
    let (a, b) = ((leader + 1) % 3, (leader + 2) % 3);
    for number in 10..20 {
        // Daemon `a` gets no answers from the leader for 100 ms and has to retry.
        fleet.peer_proxy(a, leader).set_fault(ProxyFault::StallBack);
        let made = |author: &str, price: u64| {
            json!({ "number": number, "author": author, "versions": [
                ticket::version("cheap", "v1", "open", 0.8, price),
                ticket::version("cheap", "v2", "open", 0.8, price),
            ]})
        };
        let (one, two) = (made("one", 1), made("two", 2));
        let reconnect = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            fleet.peer_proxy(a, leader).set_fault(ProxyFault::None);
        };
        let first = fleet.operate(a, "POST", "/v1/tickets", &one);
        let second = fleet.operate(b, "POST", "/v1/tickets", &two);
        let (first, second, ()) = tokio::join!(first, second, reconnect);
        let is_accepted = |reply: &env::http::Reply| reply.json()["accepted"]["revision"].is_u64();
        assert!(is_accepted(&first) != is_accepted(&second), "{} {}", first.text(), second.text());
        for i in 0..3 {
            let again = fleet.operate(i, "POST", "/v1/tickets", &one).await;
            assert_eq!(again.body, first.body, "a repeated ticket must get the same answer");
        }
        let config = fleet.operate(b, "GET", "/v1/config", &Value::Null).await.json();
        let versions = config["versions"].as_array().cloned().unwrap_or_default();
        let price = if is_accepted(&first) { 1 } else { 2 };
        let changed = versions.iter().filter(|v| v["price"]["prompt"] == price).count();
        assert_eq!(changed, 2, "the accepted ticket must change both versions: {config}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_connections_to_the_peer_port_are_closed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = start().await;
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0, 0, 0, 2, 1, 2]] {
        let mut stream = tokio::net::TcpStream::connect(fleet.daemons[0].peers).await.unwrap();
        stream.write_all(garbage).await.unwrap();
        let mut answer = Vec::new();
        // The daemon may send its challenge before it closes or resets the connection.
        let _ = stream.read_to_end(&mut answer).await;
        assert!(answer.len() < 64, "an unauthenticated client got {} bytes", answer.len());
    }
    assert_eq!(fleet.health(0).await, 200);
    await_until("the timeline shows the refused peer", async || {
        let events = fleet.operate(0, "GET", "/v1/timeline", &Value::Null).await.text();
        events.contains("peer_refused")
    })
    .await;
}
