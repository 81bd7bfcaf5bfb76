//! Demo: starts three daemons with fakes of the servers around them, sends requests, and checks the
//! results.

#[path = "../../tests/env/mod.rs"]
mod env;

use env::{Fleet, FleetSpec, ticket};
use serde_json::{Value, json};
use std::process::ExitCode;

/// Number of requests sent while a version is withdrawn.
const WITHDRAWAL_REQUESTS: usize = 60;

/// Checks of the demo that failed.
#[derive(Debug, Default)]
struct CheckResults {
    failed: Vec<String>,
}

impl CheckResults {
    fn check(&mut self, name: &str, passed: bool) {
        println!("{} {name}", if passed { "ok   " } else { "WRONG" });
        if !passed {
            self.failed.push(name.to_owned());
        }
    }
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("failed to start the Tokio runtime");
    let results = runtime.block_on(run_checks());
    match results.failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

async fn run_checks() -> CheckResults {
    let mut results = CheckResults::default();
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let file = fleet.write_file("first.json", &ticket::initial(1).to_string());
    let applied = fleet.run_tool(2, &["ticket", "apply", &file.display().to_string()]);
    print!("{}", String::from_utf8_lossy(&applied.stdout));
    results.check("a ticket is in force on all three daemons", applied.status.success());
    stream_and_session(&fleet, &mut results).await;
    pay_twice(&fleet, &mut results).await;
    withdraw_under_load(&fleet, &mut results).await;
    for arguments in [&["status"][..], &["bills"], &["versions"], &["timeline"]] {
        println!("--- samphireshift {}", arguments.join(" "));
        let output = fleet.run_tool(1, arguments);
        print!("{}", String::from_utf8_lossy(&output.stdout));
        results.check(arguments[0], output.status.success());
    }
    results
}

fn prompt(stream: bool) -> Value {
    json!({ "stream": stream, "messages": [{ "role": "user", "content": "explain" }] })
}

async fn stream_and_session(fleet: &Fleet, results: &mut CheckResults) {
    let session = [("x-session-id", "payee-7")];
    let first = fleet.chat(0, &session, &prompt(true)).await;
    println!("{}", first.streamed_text().unwrap_or_default());
    results.check("a streamed answer is complete", first.streamed_text().is_some());
    let second = fleet.chat(1, &session, &prompt(false)).await;
    println!("{}", second.text());
    let same = second.json()["model"] == "cheap/v1";
    results.check("the session's second turn stays on its version", same);
    let explained = fleet.run_tool(2, &["explain", second.header("x-request-id")]);
    print!("{}", String::from_utf8_lossy(&explained.stdout));
}

async fn pay_twice(fleet: &Fleet, results: &mut CheckResults) {
    let (path, key) = ("/v1/services/ledger/payments", [("idempotency-key", "pay-1")]);
    let body = json!({ "payee": "estate", "amount": 125 });
    let first = fleet.post(0, path, &key, &body).await;
    let second = fleet.post(1, path, &key, &body).await;
    println!("{}\n{}", first.text(), second.text());
    results.check("a repeated payment gets the first answer", first.body == second.body);
    let ran = fleet.fake_log(fleet.server_address("ledger")).await.len();
    results.check("the payment ran once", ran == 1);
}

async fn withdraw_under_load(fleet: &Fleet, results: &mut CheckResults) {
    let next = json!({ "number": 2, "author": "demo", "versions": [
        ticket::version("cheap", "v1", "withdrawn", 0.8, 100),
        ticket::version("cheap", "v2", "open", 0.8, 100),
    ]});
    let bodies: Vec<Value> = (0..WITHDRAWAL_REQUESTS).map(|_| prompt(true)).collect();
    let sends = bodies.iter().enumerate().map(|(i, body)| fleet.chat(i % 3, &[], body));
    let (answers, _) = tokio::join!(futures::future::join_all(sends), fleet.apply(&next));
    let complete = answers.iter().filter(|answer| answer.streamed_text().is_some()).count();
    results.check(
        &format!("{complete} of {WITHDRAWAL_REQUESTS} answers were complete"),
        complete == WITHDRAWAL_REQUESTS,
    );
    let engine = fleet.server_address("cheap");
    let before = fleet.fake_log(engine).await.len();
    for i in 0..3 {
        fleet.chat(i, &[], &prompt(false)).await;
    }
    let served = fleet.fake_log(engine).await;
    let old = served[before..].iter().filter(|call| call["model"] == "cheap/v1").count();
    results.check("the withdrawn version got no new work", old == 0);
}
