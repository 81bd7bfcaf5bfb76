//! Checks the guarantees of a test run from outside: only by what callers, fakes and operators
//! observed.

use super::Fleet;
use super::http::Reply;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long bills shown to an operator may lag behind those committed.
const BILL_LAG_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's request and the response to it.
#[derive(Debug, Clone)]
pub struct RecordedCall {
    /// Idempotency key of a service call; `None` for a chat completion.
    pub key: Option<String>,
    pub session: Option<String>,
    /// Body of the request.
    pub body: Value,
    pub reply: Reply,
}

impl RecordedCall {
    fn request_id(&self) -> &str {
        self.reply.header("x-request-id")
    }

    /// Whether the caller received a complete, successful response.
    fn is_answered(&self) -> bool {
        self.reply.status == 200 && self.reply.complete
    }

    /// Whether the response states that the request did not run.
    fn is_not_run(&self) -> bool {
        self.reply.header("x-samphireshift-ran") == "no"
    }
}

/// The withdrawal of a version that an operator was told is in force.
#[derive(Debug)]
struct Withdrawal {
    version: String,
    /// Number of requests that each engine had logged at that moment.
    served_counts: Vec<usize>,
}

/// Records the requests and withdrawals of a test run and checks them against the logs of the fakes
/// and the bills.
#[derive(Debug, Default)]
pub struct BlackBoxChecker {
    calls: Mutex<Vec<RecordedCall>>,
    withdrawals: Mutex<Vec<Withdrawal>>,
}

impl BlackBoxChecker {
    /// Calls the payment service with an idempotency key and records the call.
    pub async fn pay(&self, fleet: &Fleet, i: usize, key: &str, headers: &[(&str, &str)]) -> Reply {
        let body = json!({ "payee": key, "amount": 125 });
        let mut all = vec![("idempotency-key", key)];
        all.extend_from_slice(headers);
        let reply = fleet.post(i, "/v1/services/ledger/payments", &all, &body).await;
        let (key, session) = (Some(key.to_owned()), None);
        self.record(RecordedCall { key, session, body, reply: reply.clone() });
        reply
    }

    /// Requests a chat completion in a session and records the call.
    pub async fn chat(&self, fleet: &Fleet, i: usize, session: &str) -> Reply {
        let message = json!({ "role": "user", "content": session });
        let body = json!({ "model": "auto", "stream": false, "messages": [message] });
        let headers = [("x-session-id", session), ("x-deadline-ms", "8000")];
        let reply = fleet.chat(i, &headers, &body).await;
        let (key, session) = (None, Some(session.to_owned()));
        self.record(RecordedCall { key, session, body, reply: reply.clone() });
        reply
    }

    fn record(&self, recorded: RecordedCall) {
        self.calls.lock().unwrap().push(recorded);
    }

    /// Records that an operator has just been told that a version's withdrawal is in force.
    pub async fn record_withdrawal(&self, fleet: &Fleet, version: &str) {
        let mut served_counts = Vec::new();
        for log in engine_logs(fleet).await {
            served_counts.push(log.len());
        }
        let version = version.to_owned();
        self.withdrawals.lock().unwrap().push(Withdrawal { version, served_counts });
    }

    /// All violations of guarantees found in the run.
    pub async fn violations(&self, fleet: &Fleet) -> Vec<String> {
        let mut violations = Vec::new();
        let calls = self.calls.lock().unwrap().clone();
        let runs = service_runs(fleet).await;
        let engines = engine_logs(fleet).await;
        check_keys(&calls, &runs, &mut violations);
        check_not_run(&calls, &runs, &engines, &mut violations);
        check_sessions(&calls, &mut violations);
        violations.extend(bill_violations(fleet, &calls).await);
        for withdrawal in self.withdrawals.lock().unwrap().iter() {
            for (log, before) in engines.iter().zip(&withdrawal.served_counts) {
                let later = log.iter().skip(*before);
                let later = later.filter(|call| call["model"] == withdrawal.version.as_str());
                violations.extend(later.map(|call| {
                    format!("call of a withdrawn version after its withdrawal was in force: {call}")
                }));
            }
        }
        violations
    }
}

async fn service_runs(fleet: &Fleet) -> Vec<Value> {
    let mut runs = Vec::new();
    for server in fleet.servers.iter().filter(|server| server.pool == "ledger") {
        runs.extend(fleet.fake_log(server.address).await);
    }
    runs
}

async fn engine_logs(fleet: &Fleet) -> Vec<Vec<Value>> {
    let mut logs = Vec::new();
    for server in fleet.servers.iter().filter(|server| server.pool != "ledger") {
        logs.push(fleet.fake_log(server.address).await);
    }
    logs
}

/// A call with an idempotency key runs at most once, and exactly once if a caller was answered; all
/// answers to a key are identical and answer that call.
fn check_keys(calls: &[RecordedCall], runs: &[Value], violations: &mut Vec<String>) {
    let mut answers: BTreeMap<&str, &Reply> = BTreeMap::new();
    for recorded in calls.iter().filter(|c| c.is_answered()) {
        let Some(key) = &recorded.key else { continue };
        if recorded.reply.json()["body"] != recorded.body {
            violations.push(format!("key {key}: answered with the response to another call"));
        }
        let first = answers.entry(key).or_insert(&recorded.reply);
        if first.body != recorded.reply.body {
            violations.push(format!("key {key}: two different answers"));
        }
    }
    let keys: BTreeSet<&str> = calls.iter().filter_map(|c| c.key.as_deref()).collect();
    for key in keys {
        let count = runs.iter().filter(|run| run["key"] == key).count();
        if count > 1 || (count == 0 && answers.contains_key(key)) {
            violations.push(format!("key {key}: ran {count} times"));
        }
    }
}

/// A request reported as not run never reached a backend server.
fn check_not_run(
    calls: &[RecordedCall],
    runs: &[Value],
    engines: &[Vec<Value>],
    violations: &mut Vec<String>,
) {
    for recorded in calls.iter().filter(|c| c.is_not_run()) {
        let id = recorded.request_id();
        let ran = runs.iter().chain(engines.iter().flatten()).any(|run| run["request"] == id);
        if ran {
            violations.push(format!(
                "request {id}: reported as not run, but a backend server received it"
            ));
        }
    }
}

/// All answers within a session come from the same version.
fn check_sessions(calls: &[RecordedCall], violations: &mut Vec<String>) {
    let mut versions: BTreeMap<&str, Value> = BTreeMap::new();
    for recorded in calls.iter().filter(|c| c.is_answered()) {
        let Some(session) = &recorded.session else { continue };
        let version = recorded.reply.json()["model"].clone();
        let first = versions.entry(session).or_insert_with(|| version.clone());
        if *first != version {
            violations.push(format!("session {session}: answered by {first}, then by {version}"));
        }
    }
}

/// Violations of billing that persist for [`BILL_LAG_TIMEOUT`], as the bills shown to an operator
/// may lag behind those committed.
async fn bill_violations(fleet: &Fleet, calls: &[RecordedCall]) -> Vec<String> {
    let deadline = Instant::now() + BILL_LAG_TIMEOUT;
    loop {
        let mut violations = Vec::new();
        check_bills(fleet, calls, &mut violations).await;
        if violations.is_empty() || Instant::now() >= deadline {
            return violations;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Each answered chat completion has one bill, and at least as many service calls are billed as
/// keys were answered, but no more than ran. Requests reported as not run have no bill, and the
/// bill sum counts as many bills as are listed.
async fn check_bills(fleet: &Fleet, calls: &[RecordedCall], violations: &mut Vec<String>) {
    let Some(daemon) = fleet.first_reachable().await else {
        violations.push("no daemon answers on its operators' port".to_owned());
        return;
    };
    let bills = fleet.operate(daemon, "GET", "/v1/bills/karri", &Value::Null).await.json();
    let list = bills.as_array().cloned().unwrap_or_default();
    let billed = |id: &str| list.iter().filter(|bill| bill["request"] == id).count();
    let mut answered_keys = BTreeSet::new();
    for recorded in calls {
        let (id, count) = (recorded.request_id(), billed(recorded.request_id()));
        if recorded.is_not_run() && count > 0 {
            violations.push(format!("request {id}: reported as not run, but billed"));
        }
        match &recorded.key {
            Some(key) if recorded.is_answered() => {
                answered_keys.insert(key.clone());
            }
            None if recorded.is_answered() && count != 1 => {
                violations.push(format!("request {id}: answered, but billed {count} times"));
            }
            _ => {}
        }
    }
    let services = list.iter().filter(|bill| bill["item"] == "service ledger").count();
    if services < answered_keys.len() {
        violations.push(format!(
            "{} keys answered, but {services} service calls billed",
            answered_keys.len()
        ));
    }
    let runs = service_runs(fleet).await.len();
    if services > runs {
        violations.push(format!("{runs} service calls ran, but {services} billed"));
    }
    let sums = fleet.operate(daemon, "GET", "/v1/bills", &Value::Null).await.json();
    let sum = sums[0][1]["count"].as_u64().unwrap_or(0);
    if sum != list.len() as u64 {
        violations.push(format!("{} bills listed, but the bill sum counts {sum}", list.len()));
    }
}
