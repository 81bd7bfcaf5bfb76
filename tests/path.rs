//! End-to-end tests of the request path with real processes.

mod env;

use env::fleet::await_until;
use env::{Fleet, FleetSpec, ticket};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn prompt(stream: bool) -> Value {
    json!({ "model": "auto", "stream": stream, "messages": [{ "role": "user", "content": "hello" }] })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_in_force_on_all_daemons_and_requests_are_served_by_each() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let revision = fleet.apply(&ticket::initial(1)).await;
    let status = fleet.operate(2, "GET", "/v1/status", &Value::Null).await.json();
    for daemon in status["daemons"].as_array().unwrap() {
        assert_eq!(daemon["revision"], revision, "{daemon}");
    }
    for i in 0..3 {
        let whole = fleet.chat(i, &[], &prompt(false)).await;
        assert_eq!(whole.status, 200, "{}", whole.text());
        assert_eq!(whole.json()["model"], "cheap/v1");
        let streamed = fleet.chat(i, &[], &prompt(true)).await;
        let expected: String = (0..20).map(|n| format!("word{n} ")).collect();
        assert_eq!(streamed.streamed_text(), Some(expected));
    }
    let disputed = fleet.chat(1, &[("x-task-kind", "dispute")], &prompt(false)).await;
    assert_eq!(disputed.json()["model"], "better/v1");
    let bills = fleet.operate(1, "GET", "/v1/bills", &Value::Null).await.json();
    assert_eq!(bills[0][1]["count"], 7, "{bills}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_keeps_its_version_until_it_is_withdrawn() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.apply(&ticket::initial(1)).await;
    let session = [("x-session-id", "payee-7")];
    assert_eq!(fleet.chat(0, &session, &prompt(false)).await.json()["model"], "cheap/v1");
    let closing = json!({ "number": 2, "author": "test", "versions": [
        ticket::version("cheap", "v1", "closing", 0.8, 100),
        ticket::version("cheap", "v2", "open", 0.8, 100),
    ]});
    fleet.apply(&closing).await;
    assert_eq!(fleet.chat(1, &session, &prompt(false)).await.json()["model"], "cheap/v1");
    let other = [("x-session-id", "payee-8")];
    assert_eq!(fleet.chat(1, &other, &prompt(false)).await.json()["model"], "cheap/v2");
    let withdrawn = json!({ "number": 3, "author": "test", "versions": [
        ticket::version("cheap", "v1", "withdrawn", 0.8, 100),
    ]});
    fleet.apply(&withdrawn).await;
    for i in 0..3 {
        let refused = fleet.chat(i, &session, &prompt(false)).await;
        assert_eq!(refused.json()["error"]["code"], "version_withdrawn", "{}", refused.text());
        assert_eq!(refused.header("x-samphireshift-ran"), "no");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_payment_runs_once_and_gets_the_same_answer() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.apply(&ticket::initial(1)).await;
    let key = [("idempotency-key", "pay-1")];
    let body = json!({ "payee": "estate", "amount": 125 });
    let path = "/v1/services/ledger/payments";
    let (first, second) =
        tokio::join!(fleet.post(0, path, &key, &body), fleet.post(2, path, &key, &body));
    assert_eq!((first.status, second.status), (200, 200), "{} {}", first.text(), second.text());
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.fake_log(fleet.server_address("ledger")).await.len(), 1);
    let other = fleet.post(1, path, &key, &json!({ "payee": "other", "amount": 1 })).await;
    assert_eq!(other.json()["error"]["code"], "key_reused");
    let keyless = fleet.post(1, path, &[], &body).await;
    assert_eq!(keyless.json()["error"]["ran"], "no");
    assert_eq!(fleet.fake_log(fleet.server_address("ledger")).await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_resumes_at_another_server() {
    let engine = vec!["--versions=cheap/v1"];
    let spec = FleetSpec { cheap: vec![engine.clone(), engine], ..FleetSpec::default() };
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet.configure_fake(fleet.server_address("cheap"), &json!({ "break_after": 7 })).await;
    for _ in 0..4 {
        let streamed = fleet.chat(0, &[], &prompt(true)).await;
        let expected: String = (0..20).map(|n| format!("word{n} ")).collect();
        assert_eq!(streamed.streamed_text(), Some(expected), "{}", streamed.text());
    }
    let bills = fleet.operate(1, "GET", "/v1/bills", &Value::Null).await.json();
    assert_eq!(bills[0][1]["count"], 4, "{bills}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_state_survives_the_leader_s_crash() {
    let spec = FleetSpec { durable: vec![true, true, true], ..FleetSpec::default() };
    let mut fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    await_until("three voters", async || {
        let status = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
        let groups = status["daemons"][0]["groups"].as_array().cloned().unwrap_or_default();
        groups.iter().all(|group| group["voters"].as_array().is_some_and(|v| v.len() == 3))
    })
    .await;
    fleet.daemons[0].process.kill();
    for i in 1..3 {
        let answer = fleet.chat(i, &[("x-session-id", "s")], &prompt(false)).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let shown = fleet.operate(1, "GET", "/v1/tickets/1", &Value::Null).await;
    assert_eq!(shown.status, 200, "{}", shown.text());
    fleet.restart(0);
    fleet.await_ready().await;
    assert_eq!(fleet.chat(0, &[], &prompt(false)).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_retried_by_key_requires_the_key() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let mut first = ticket::initial(1);
    first["services"][1]["repeat"] = json!("by_key");
    fleet.apply(&first).await;
    let path = "/v1/services/stock/orders";
    let refused = fleet.post(0, path, &[], &json!({ "teak": 1 })).await;
    assert_eq!(refused.json()["error"]["code"], "bad_request", "{}", refused.text());
    assert!(fleet.fake_log(fleet.server_address("ledger")).await.is_empty());
    let keyed = fleet.post(0, path, &[("idempotency-key", "o-1")], &json!({ "teak": 1 })).await;
    assert_eq!(keyed.status, 200, "{}", keyed.text());
}

/// Name and address of an engine that has a request. Routers pick at random among like engines of
/// which they know nothing yet, so it may be either.
async fn first_busy_engine(fleet: &Fleet) -> (String, SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        for server in fleet.servers.iter().filter(|server| server.pool == "cheap") {
            if !fleet.fake_log(server.address).await.is_empty() {
                return (server.name.clone(), server.address);
            }
        }
    }
    panic!("no engine has received a request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_finishes_its_streams_and_gets_no_new_requests() {
    const LIST_POLL_DELAY: Duration = Duration::from_secs(2);
    let engine = vec!["--versions=cheap/v1", "--delay-us=200000"];
    let spec = FleetSpec { cheap: vec![engine.clone(), engine], ..FleetSpec::default() };
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    let body = prompt(true);
    let streams = (0..8).map(|i| fleet.chat(i % 3, &[], &body));
    let publish = async {
        let (leaving, address) = first_busy_engine(&fleet).await;
        fleet.publish_vms(&[&leaving]).await;
        tokio::time::sleep(LIST_POLL_DELAY).await;
        let before = fleet.fake_log(address).await.len();
        // A server that was leaving stays so if a later list, for example a stale copy, has it as
        // live.
        fleet.publish_vms(&[]).await;
        tokio::time::sleep(LIST_POLL_DELAY).await;
        for i in 0..9 {
            assert_eq!(fleet.chat(i % 3, &[], &prompt(false)).await.status, 200);
        }
        assert_eq!(fleet.fake_log(address).await.len(), before);
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(streams), publish);
    assert!(answers.iter().all(|answer| answer.streamed_text().is_some()));
}
