//! Callers that send malformed or slow requests or disconnect.

mod env;

use env::fleet::await_until;
use env::raw::{chat, exchange, post, status};
use env::ticket::KEY;
use env::{Fleet, FleetSpec, ticket};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const VALID_BODY: &str = r#"{"messages":[]}"#;

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    /// Refusal code; empty if the HTTP library responds without a body.
    code: &'static str,
}

fn case(name: &'static str, request: String, status: u16, code: &'static str) -> Case {
    Case { name, request, status, code }
}

async fn fleet(settings: &[(&'static str, &'static str, &'static str)]) -> Fleet {
    let mut spec = FleetSpec { durable: vec![true], ..FleetSpec::default() };
    spec.settings.extend_from_slice(settings);
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet
}

/// Waits until neither the daemon nor the engine has a request in progress.
async fn await_idle(fleet: &Fleet) {
    await_until("no request is in progress", async || {
        let daemon = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
        daemon["daemons"][0]["requests"] == 0 && running(fleet).await == 0
    })
    .await;
}

/// Number of requests that the engine is running.
async fn running(fleet: &Fleet) -> u64 {
    let load =
        env::http::call(fleet.server_address("cheap"), "GET", "/v1/load", &[], &Value::Null).await;
    load.json()["running"].as_u64().expect("the load report has a count of running requests")
}

fn malformed_requests() -> Vec<Case> {
    let deep = format!(r#"{{"messages":{}{}}}"#, "[".repeat(5_000), "]".repeat(5_000));
    let large = "x".repeat(200_000);
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );
    let chat = |headers: &str, body: &str| chat(KEY, headers, body);
    vec![
        case("unknown key", env::raw::chat("other", "", VALID_BODY), 401, "unknown_key"),
        case("not JSON", chat("", "{"), 400, "bad_request"),
        case("JSON array as body", chat("", "[]"), 400, "bad_request"),
        case("deep nesting", chat("", &deep), 400, "bad_request"),
        case("no messages", chat("", "{}"), 400, "bad_request"),
        case("stream as text", chat("", r#"{"messages":[],"stream":"yes"}"#), 400, "bad_request"),
        case("model as number", chat("", r#"{"messages":[],"model":7}"#), 400, "bad_request"),
        case("unknown model", chat("", r#"{"messages":[],"model":"no"}"#), 404, "unknown_model"),
        case("unknown path", post("/v2/chat", KEY, "", VALID_BODY), 404, "not_found"),
        case("other method", chat("", VALID_BODY).replacen("POST", "PUT", 1), 404, "not_found"),
        case("large body", chat("", &large), 413, "too_large"),
        case("large body in chunks", chunked, 413, "too_large"),
        case("deadline of 0", chat("x-deadline-ms: 0\r\n", VALID_BODY), 400, "bad_request"),
        case("deadline with a sign", chat("x-deadline-ms: +5\r\n", VALID_BODY), 400, "bad_request"),
        case("deadline as text", chat("x-deadline-ms: soon\r\n", VALID_BODY), 400, "bad_request"),
        case("empty session", chat("x-session-id: \r\n", VALID_BODY), 400, "bad_request"),
        case(
            "two sessions",
            chat("x-session-id: a\r\nx-session-id: b\r\n", VALID_BODY),
            400,
            "bad_request",
        ),
        case(
            "session that is not ASCII",
            chat("x-session-id: \u{e9}\r\n", VALID_BODY),
            400,
            "bad_request",
        ),
    ]
}

fn malformed_http() -> Vec<Case> {
    let chat = |headers: &str| chat(KEY, headers, VALID_BODY);
    let large = format!("x-large: {}\r\n", "x".repeat(100_000));
    let many: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
    vec![
        case("large head", chat(&large), 431, ""),
        case("many headers", chat(&many), 431, ""),
        case("length and chunks", chat("transfer-encoding: chunked\r\n"), 400, ""),
        case("two lengths", chat("content-length: 3\r\n"), 400, ""),
        case("length that is not a number", chat("").replace("length: 15", "length: x"), 400, ""),
        case("NUL in a header", chat("x-session-id: a\0b\r\n"), 400, ""),
        case("not HTTP", "hello\r\n\r\n".to_owned(), 400, ""),
    ]
}

fn service_path_cases() -> Vec<Case> {
    let traversals = ["ledger/../x", "ledger/%2e%2e/x", "ledger/.%2E/x", "ledger//x", "", "/x"];
    let encoded = ["ledger/a%2fb", "ledger/a%5Cb", "ledger/a%00", "..", "%2e%2e/x", "le%64ger/x"];
    let paths = traversals.into_iter().chain(encoded);
    let path_case = |rest| {
        let request = post(&format!("/v1/services/{rest}"), KEY, "", VALID_BODY);
        case(rest, request, 400, "bad_request")
    };
    let mut cases: Vec<Case> = paths.map(path_case).collect();
    let unknown = post("/v1/services/other/x", KEY, "", VALID_BODY);
    cases.push(case("unknown service", unknown, 404, "unknown_service"));
    cases
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_with_a_code_and_reach_no_backend() {
    let fleet = fleet(&[("limits", "body", "64KiB")]).await;
    let callers = fleet.daemons[0].callers;
    for case in malformed_requests().into_iter().chain(malformed_http()).chain(service_path_cases())
    {
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
    assert!(fleet.fake_log(fleet.server_address("cheap")).await.is_empty());
    assert!(fleet.fake_log(fleet.server_address("ledger")).await.is_empty());
    await_idle(&fleet).await;
    assert_eq!(fleet.chat(0, &[], &json!({ "messages": [] })).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn absolute_targets_and_pipelined_requests_are_served() {
    let fleet = fleet(&[]).await;
    let callers = fleet.daemons[0].callers;
    let head = format!("host: x\r\nauthorization: Bearer {KEY}\r\n");
    let absolute =
        format!("GET http://other/v1/models HTTP/1.1\r\nconnection: close\r\n{head}\r\n");
    assert_eq!(status(&exchange(callers, absolute.as_bytes()).await), 200);
    let first = chat(KEY, "", VALID_BODY).replace("connection: close\r\n", "");
    let both = first + &chat(KEY, "", VALID_BODY);
    let answers = exchange(callers, both.as_bytes()).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_time_out() {
    let fleet = fleet(&[("limits", "receive", "300ms")]).await;
    let callers = fleet.daemons[0].callers;
    let whole = chat(KEY, "", VALID_BODY);
    let slow_body = exchange(callers, &whole.as_bytes()[..whole.len() - 3]).await;
    assert_eq!(status(&slow_body), 408, "{slow_body}");
    assert!(slow_body.contains("too_slow"), "{slow_body}");
    let slow_head = exchange(callers, &whole.as_bytes()[..40]).await;
    assert_eq!(status(&slow_head), 408, "{slow_head}");
    await_idle(&fleet).await;
}

/// Sends a request, waits until the engine runs it, and disconnects.
async fn disconnect_while_running(fleet: &Fleet, callers: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(callers).await.expect("the daemon accepts the connection");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    await_until("the engine runs the request", async || running(fleet).await == 1).await;
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_s_disconnect_cancels_the_engine_s_work() {
    const MINUTE_US: u64 = 60_000_000;
    let limits = [("limits", "token_gap", "2m"), ("limits", "first_token", "2m")];
    let fleet = fleet(&limits).await;
    let callers = fleet.daemons[0].callers;
    let streamed = chat(KEY, "", r#"{"messages":[],"stream":true}"#);
    let whole = chat(KEY, "", VALID_BODY);
    let cases = [
        ("before the first token", &streamed, json!({ "first_us": MINUTE_US })),
        ("before a whole answer", &whole, json!({ "first_us": MINUTE_US })),
        ("between slow tokens", &streamed, json!({ "first_us": 0, "delay_us": MINUTE_US })),
        ("between quick tokens", &streamed, json!({ "delay_us": 1_000, "tokens": 1_000_000 })),
    ];
    for (name, request, behaviour) in &cases {
        fleet.configure_fake(fleet.server_address("cheap"), behaviour).await;
        disconnect_while_running(&fleet, callers, request).await;
        println!("disconnected {name}");
        await_idle(&fleet).await;
    }
    let half = &whole.as_bytes()[..whole.len() - 3];
    let mut stream = TcpStream::connect(callers).await.expect("the daemon accepts the connection");
    stream.write_all(half).await.expect("half a request is sent");
    drop(stream);
    await_idle(&fleet).await;
    assert_eq!(fleet.fake_log(fleet.server_address("cheap")).await.len(), cases.len());
}
