//! Callers that send what they should not, slowly, or leave.

mod env;

use env::fleet::await_until;
use env::raw::{chat, exchange, post, status};
use env::ticket::KEY;
use env::{Fleet, Plan, ticket};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const GOOD: &str = r#"{"messages":[]}"#;

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    /// The refusal's code; empty where the HTTP library answers without a body.
    code: &'static str,
}

fn case(name: &'static str, request: String, status: u16, code: &'static str) -> Case {
    Case { name, request, status, code }
}

async fn fleet(settings: &[(&'static str, &'static str, &'static str)]) -> Fleet {
    let mut plan = Plan { disks: vec![true], ..Plan::default() };
    plan.settings.extend_from_slice(settings);
    let fleet = Fleet::start(&plan).await;
    fleet.apply(&ticket::first(1)).await;
    fleet
}

/// Waits until nothing is under way, at the daemon or at the engine.
async fn await_quiet(fleet: &Fleet) {
    await_until("nothing is under way", async || {
        let daemon = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
        daemon["daemons"][0]["requests"] == 0 && running(fleet).await == 0
    })
    .await;
}

async fn running(fleet: &Fleet) -> u64 {
    let load = env::http::call(fleet.server("cheap"), "GET", "/v1/load", &[], &Value::Null).await;
    load.json()["running"].as_u64().expect("a load report")
}

fn malformed() -> Vec<Case> {
    let deep = format!(r#"{{"messages":{}{}}}"#, "[".repeat(5_000), "]".repeat(5_000));
    let large = "x".repeat(200_000);
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );
    let chat = |headers: &str, body: &str| chat(KEY, headers, body);
    vec![
        case("unknown key", env::raw::chat("other", "", GOOD), 401, "unknown_key"),
        case("no JSON", chat("", "{"), 400, "bad_request"),
        case("a list", chat("", "[]"), 400, "bad_request"),
        case("deep nesting", chat("", &deep), 400, "bad_request"),
        case("no messages", chat("", "{}"), 400, "bad_request"),
        case("stream as text", chat("", r#"{"messages":[],"stream":"yes"}"#), 400, "bad_request"),
        case("model as number", chat("", r#"{"messages":[],"model":7}"#), 400, "bad_request"),
        case("unknown model", chat("", r#"{"messages":[],"model":"no"}"#), 404, "unknown_model"),
        case("unknown path", post("/v2/chat", KEY, "", GOOD), 404, "not_found"),
        case("other method", chat("", GOOD).replacen("POST", "PUT", 1), 404, "not_found"),
        case("large body", chat("", &large), 413, "too_large"),
        case("large body in chunks", chunked, 413, "too_large"),
        case("deadline of 0", chat("x-deadline-ms: 0\r\n", GOOD), 400, "bad_request"),
        case("deadline with a sign", chat("x-deadline-ms: +5\r\n", GOOD), 400, "bad_request"),
        case("deadline as text", chat("x-deadline-ms: soon\r\n", GOOD), 400, "bad_request"),
        case("empty session", chat("x-session-id: \r\n", GOOD), 400, "bad_request"),
        case(
            "two sessions",
            chat("x-session-id: a\r\nx-session-id: b\r\n", GOOD),
            400,
            "bad_request",
        ),
        case("session beyond ASCII", chat("x-session-id: \u{e9}\r\n", GOOD), 400, "bad_request"),
    ]
}

fn library_refused() -> Vec<Case> {
    let chat = |headers: &str| chat(KEY, headers, GOOD);
    let large = format!("x-large: {}\r\n", "x".repeat(100_000));
    let many: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
    vec![
        case("large head", chat(&large), 431, ""),
        case("many headers", chat(&many), 431, ""),
        case("length and chunks", chat("transfer-encoding: chunked\r\n"), 400, ""),
        case("two lengths", chat("content-length: 3\r\n"), 400, ""),
        case("no number as length", chat("").replace("length: 15", "length: x"), 400, ""),
        case("NUL in a header", chat("x-session-id: a\0b\r\n"), 400, ""),
        case("no HTTP", "hello\r\n\r\n".to_owned(), 400, ""),
    ]
}

fn service_paths() -> Vec<Case> {
    let refused = ["ledger/../x", "ledger/%2e%2e/x", "ledger/.%2E/x", "ledger//x", "", "/x"];
    let encoded = ["ledger/a%2fb", "ledger/a%5Cb", "ledger/a%00", "..", "%2e%2e/x", "le%64ger/x"];
    let paths = refused.into_iter().chain(encoded);
    let refuse = |rest| {
        let request = post(&format!("/v1/services/{rest}"), KEY, "", GOOD);
        case(rest, request, 400, "bad_request")
    };
    let mut cases: Vec<Case> = paths.map(refuse).collect();
    let unknown = post("/v1/services/other/x", KEY, "", GOOD);
    cases.push(case("unknown service", unknown, 404, "unknown_service"));
    cases
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_clear_errors_and_leave_nothing_behind() {
    let fleet = fleet(&[("limits", "body", "64KiB")]).await;
    let callers = fleet.daemons[0].callers;
    for case in malformed().into_iter().chain(library_refused()).chain(service_paths()) {
        let answer = exchange(callers, case.request.as_bytes()).await;
        assert_eq!(status(&answer), case.status, "{}: {answer}", case.name);
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let error = serde_json::from_str::<Value>(body).unwrap_or_default()["error"].clone();
        assert_eq!(error["code"].as_str().unwrap_or(""), case.code, "{}: {answer}", case.name);
        if !case.code.is_empty() {
            assert_eq!(error["ran"], "no", "{}: {answer}", case.name);
            assert!(answer.contains("x-samphireshift-ran: no\r\n"), "{}: {answer}", case.name);
        }
    }
    assert!(fleet.log(fleet.server("cheap")).await.is_empty());
    assert!(fleet.log(fleet.server("ledger")).await.is_empty());
    await_quiet(&fleet).await;
    assert_eq!(fleet.chat(0, &[], &json!({ "messages": [] })).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn unusual_but_right_requests_are_served() {
    let fleet = fleet(&[]).await;
    let callers = fleet.daemons[0].callers;
    let head = format!("host: x\r\nauthorization: Bearer {KEY}\r\n");
    let absolute =
        format!("GET http://other/v1/models HTTP/1.1\r\nconnection: close\r\n{head}\r\n");
    assert_eq!(status(&exchange(callers, absolute.as_bytes()).await), 200);
    let first = chat(KEY, "", GOOD).replace("connection: close\r\n", "");
    let both = first + &chat(KEY, "", GOOD);
    let answers = exchange(callers, both.as_bytes()).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_let_go() {
    let fleet = fleet(&[("limits", "receive", "300ms")]).await;
    let callers = fleet.daemons[0].callers;
    let whole = chat(KEY, "", GOOD);
    let slow_body = exchange(callers, &whole.as_bytes()[..whole.len() - 3]).await;
    assert_eq!(status(&slow_body), 408, "{slow_body}");
    assert!(slow_body.contains("too_slow"), "{slow_body}");
    let slow_head = exchange(callers, &whole.as_bytes()[..40]).await;
    assert_eq!(status(&slow_head), 408, "{slow_head}");
    await_quiet(&fleet).await;
}

/// Sends a request, waits until the engine works on it, and leaves.
async fn leave(fleet: &Fleet, callers: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    await_until("the engine is at work", async || running(fleet).await == 1).await;
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_s_leaving_cancels_the_engine_s_work() {
    const MINUTE: u64 = 60_000_000;
    let limits = [("limits", "token_gap", "2m"), ("limits", "first_token", "2m")];
    let fleet = fleet(&limits).await;
    let callers = fleet.daemons[0].callers;
    let streamed = chat(KEY, "", r#"{"messages":[],"stream":true}"#);
    let whole = chat(KEY, "", GOOD);
    let cases = [
        ("before the first token", &streamed, json!({ "first_us": MINUTE })),
        ("before a whole answer", &whole, json!({ "first_us": MINUTE })),
        ("between slow tokens", &streamed, json!({ "first_us": 0, "delay_us": MINUTE })),
        ("between quick tokens", &streamed, json!({ "delay_us": 1_000, "tokens": 1_000_000 })),
    ];
    for (name, request, behaviour) in &cases {
        fleet.set(fleet.server("cheap"), behaviour).await;
        leave(&fleet, callers, request).await;
        println!("left {name}");
        await_quiet(&fleet).await;
    }
    let half = &whole.as_bytes()[..whole.len() - 3];
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    stream.write_all(half).await.expect("half a request is sent");
    drop(stream);
    await_quiet(&fleet).await;
    assert_eq!(fleet.log(fleet.server("cheap")).await.len(), cases.len());
}
