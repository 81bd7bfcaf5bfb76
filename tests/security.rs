//! Security of the listeners: tokens, oversized and slow input, isolation of organisations, and no
//! secrets in files.

mod env;

use env::http::call;
use env::{Fleet, FleetSpec, ticket};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const OTHER_KEY: &str = "vanrajvadi-key";
const PROMPT: &str = "a-confidential-prompt";

fn two_organisations() -> Value {
    let mut first = ticket::initial(1);
    let mut other = ticket::organisation("vanrajvadi", OTHER_KEY);
    other["models"] = json!([{ "model": "better" }]);
    other["services"] = json!(["ledger"]);
    let mut own = ticket::organisation("karri", ticket::KEY);
    own["models"] = json!([{ "model": "cheap" }]);
    own["kinds"] = json!([]);
    own["services"] = json!(["ledger", "stock"]);
    first["organisations"] = json!([own, other]);
    first
}

fn prompt(model: &str) -> Value {
    json!({ "model": model, "messages": [{ "role": "user", "content": PROMPT }] })
}

async fn ask(
    fleet: &Fleet,
    key: &str,
    path: &str,
    header: (&str, &str),
    body: &Value,
) -> env::http::Reply {
    let bearer = format!("Bearer {key}");
    let method = if body.is_null() { "GET" } else { "POST" };
    call(fleet.daemons[0].callers, method, path, &[("authorization", &bearer), header], body).await
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_need_tokens_and_organisations_are_isolated() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    tokens_are_needed_on_every_path(&fleet).await;
    fleet.apply(&two_organisations()).await;
    organisations_are_isolated(&fleet).await;
    tokio::join!(oversized_tickets_are_refused(&fleet), slow_tickets_are_refused(&fleet));
    no_file_contains_a_secret(&fleet);
}

/// Paths of the operators' port, both those that change state and those that only read it.
const PATHS: [(&str, &str); 12] = [
    ("GET", "/metrics"),
    ("GET", "/"),
    ("POST", "/v1/found"),
    ("POST", "/v1/drain"),
    ("POST", "/v1/tickets"),
    ("GET", "/v1/tickets"),
    ("GET", "/v1/tickets/1"),
    ("GET", "/v1/status"),
    ("GET", "/v1/config"),
    ("GET", "/v1/bills/karri"),
    ("GET", "/v1/timeline"),
    ("GET", "/v1/explain/ticket/1"),
];

async fn tokens_are_needed_on_every_path(fleet: &Fleet) {
    let wrong_headers =
        ["", "Bearer ", "Bearer operator-toke", "Bearer operator-token2", "Basic operator-token"];
    for (method, path) in PATHS {
        for header in wrong_headers {
            let headers = [("authorization", header)];
            let headers = if header.is_empty() { &headers[..0] } else { &headers[..] };
            let reply = call(fleet.daemons[0].operators, method, path, headers, &json!({})).await;
            assert_eq!(reply.status, 401, "{method} {path} with '{header}': {}", reply.text());
        }
    }
    let metrics = fleet.operate(0, "GET", "/metrics", &Value::Null).await;
    assert!(metrics.status == 200 && metrics.text().contains("samphireshift_peer_bytes"));
}

async fn organisations_are_isolated(fleet: &Fleet) {
    let none = ("x-none", "1");
    let session = ("x-session-id", "shared-name");
    for (key, model) in [(ticket::KEY, "cheap/v1"), (OTHER_KEY, "better/v1")] {
        for _ in 0..2 {
            let answer = ask(fleet, key, "/v1/chat/completions", session, &prompt("auto")).await;
            assert_eq!(answer.json()["model"], model, "{}", answer.text());
        }
    }
    let forbidden = ask(fleet, OTHER_KEY, "/v1/chat/completions", none, &prompt("cheap")).await;
    assert_eq!(forbidden.json()["error"]["ran"], "no", "{}", forbidden.text());
    let models = ask(fleet, OTHER_KEY, "/v1/models", none, &Value::Null).await;
    assert!(
        models.text().contains("better") && !models.text().contains("cheap"),
        "{}",
        models.text()
    );
    let stock = ask(fleet, OTHER_KEY, "/v1/services/stock/teak", none, &json!({})).await;
    assert_eq!(stock.json()["error"]["ran"], "no", "{}", stock.text());
    let idempotency = ("idempotency-key", "shared-key");
    let path = "/v1/services/ledger/payments";
    let mine = ask(fleet, ticket::KEY, path, idempotency, &json!({ "payee": "mine" })).await;
    let theirs = ask(fleet, OTHER_KEY, path, idempotency, &json!({ "payee": "theirs" })).await;
    assert_eq!((mine.status, theirs.status), (200, 200), "{} {}", mine.text(), theirs.text());
    assert_eq!(
        fleet.fake_log(fleet.server_address("ledger")).await.len(),
        2,
        "both organisations' calls ran"
    );
    for path in ["/v1/bills/karri", "/v1/timeline", "/v1/status", "/v1/config", "/metrics"] {
        let reply = ask(fleet, OTHER_KEY, path, none, &Value::Null).await;
        assert_eq!(reply.status, 404, "{path} on the callers' port: {}", reply.text());
    }
    let bills = fleet.operate(0, "GET", "/v1/bills/vanrajvadi", &Value::Null).await;
    assert_eq!(bills.json().as_array().map(Vec::len), Some(3), "{}", bills.text());
}

async fn oversized_tickets_are_refused(fleet: &Fleet) {
    let author = "a".repeat(5 << 20);
    let reply =
        fleet.operate(0, "POST", "/v1/tickets", &json!({ "number": 9, "author": author })).await;
    assert_eq!(reply.status, 413, "{}", reply.text());
}

/// A ticket whose body never arrives is refused after a timeout; other requests are served
/// meanwhile.
async fn slow_tickets_are_refused(fleet: &Fleet) {
    let mut stream = TcpStream::connect(fleet.daemons[0].operators).await.unwrap();
    let head = "POST /v1/tickets HTTP/1.1\r\nhost: a\r\nauthorization: Bearer operator-token\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(fleet.operate(0, "GET", "/v1/status", &Value::Null).await.status, 200);
    let mut bytes = [0; 64];
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read(&mut bytes)).await;
    let count = read.expect("a response before the timeout").unwrap_or(0);
    let answer = String::from_utf8_lossy(&bytes[..count]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

fn no_file_contains_a_secret(fleet: &Fleet) {
    let secrets = [ticket::KEY, OTHER_KEY, "operator-token", "cluster-secret", PROMPT];
    let mut checked = 0;
    for path in files(fleet.dir()) {
        if path.extension().is_some_and(|kind| kind == "ini") {
            continue;
        }
        checked += 1;
        let text = String::from_utf8_lossy(&std::fs::read(&path).unwrap()).into_owned();
        for secret in secrets {
            assert!(!text.contains(secret), "secret '{secret}' found in {}", path.display());
        }
    }
    assert!(checked > 6, "only {checked} log and state files were checked");
}

fn files(folder: &Path) -> Vec<std::path::PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}
