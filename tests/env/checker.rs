//! Judges a run by what callers, fakes and operators saw, and by nothing else.

use super::Fleet;
use super::http::Reply;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LAG_LIMIT: Duration = Duration::from_secs(3);
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// One caller's exchange.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub key: Option<String>,
    pub session: Option<String>,
    pub sent: Value,
    pub reply: Reply,
}

impl Exchange {
    fn request(&self) -> &str {
        self.reply.header("x-request-id")
    }

    fn is_answered(&self) -> bool {
        self.reply.status == 200 && self.reply.whole
    }

    fn is_not_run(&self) -> bool {
        self.reply.header("x-samphireshift-ran") == "no"
    }
}

/// What each engine had served when a version's withdrawal was answered as in force.
#[derive(Debug)]
struct Withdrawn {
    version: String,
    served: Vec<usize>,
}

/// Gathers what was seen in a run.
#[derive(Debug, Default)]
pub struct Checker {
    exchanges: Mutex<Vec<Exchange>>,
    withdrawn: Mutex<Vec<Withdrawn>>,
}

impl Checker {
    /// Makes a call of the payment service and notes it.
    pub async fn pay(&self, fleet: &Fleet, i: usize, key: &str, headers: &[(&str, &str)]) -> Reply {
        let sent = json!({ "payee": key, "amount": 125 });
        let mut all = vec![("idempotency-key", key)];
        all.extend_from_slice(headers);
        let reply = fleet.ask(i, "/v1/services/ledger/payments", &all, &sent).await;
        let (key, session) = (Some(key.to_owned()), None);
        self.note(Exchange { key, session, sent, reply: reply.clone() });
        reply
    }

    /// Makes a chat completion in a session and notes it.
    pub async fn chat(&self, fleet: &Fleet, i: usize, session: &str) -> Reply {
        let message = json!({ "role": "user", "content": session });
        let sent = json!({ "model": "auto", "stream": false, "messages": [message] });
        let headers = [("x-session-id", session), ("x-deadline-ms", "8000")];
        let reply = fleet.chat(i, &headers, &sent).await;
        let (key, session) = (None, Some(session.to_owned()));
        self.note(Exchange { key, session, sent, reply: reply.clone() });
        reply
    }

    fn note(&self, exchange: Exchange) {
        self.exchanges.lock().unwrap().push(exchange);
    }

    /// Notes that a version's withdrawal has just been answered as in force.
    pub async fn withdrawn(&self, fleet: &Fleet, version: &str) {
        let mut served = Vec::new();
        for log in engine_logs(fleet).await {
            served.push(log.len());
        }
        let version = version.to_owned();
        self.withdrawn.lock().unwrap().push(Withdrawn { version, served });
    }

    /// Every way in which the run broke a promise; empty for a good one.
    pub async fn faults(&self, fleet: &Fleet) -> Vec<String> {
        let mut faults = Vec::new();
        let exchanges = self.exchanges.lock().unwrap().clone();
        let runs = service_runs(fleet).await;
        let engines = engine_logs(fleet).await;
        check_keys(&exchanges, &runs, &mut faults);
        check_not_run(&exchanges, &runs, &engines, &mut faults);
        check_sessions(&exchanges, &mut faults);
        faults.extend(bill_faults(fleet, &exchanges).await);
        for withdrawn in self.withdrawn.lock().unwrap().iter() {
            for (log, before) in engines.iter().zip(&withdrawn.served) {
                let late = log.iter().skip(*before);
                let late = late.filter(|call| call["model"] == withdrawn.version.as_str());
                faults.extend(late.map(|call| format!("work after in force: {call}")));
            }
        }
        faults
    }
}

async fn service_runs(fleet: &Fleet) -> Vec<Value> {
    let mut runs = Vec::new();
    for server in fleet.servers.iter().filter(|server| server.pool == "ledger") {
        runs.extend(fleet.log(server.address).await);
    }
    runs
}

async fn engine_logs(fleet: &Fleet) -> Vec<Vec<Value>> {
    let mut logs = Vec::new();
    for server in fleet.servers.iter().filter(|server| server.pool != "ledger") {
        logs.push(fleet.log(server.address).await);
    }
    logs
}

/// A key runs at most once, and exactly once where a caller has an answer; all its answers are
/// alike and belong to the call.
fn check_keys(exchanges: &[Exchange], runs: &[Value], faults: &mut Vec<String>) {
    let mut answers: BTreeMap<&str, &Reply> = BTreeMap::new();
    for exchange in exchanges.iter().filter(|e| e.is_answered()) {
        let Some(key) = &exchange.key else { continue };
        if exchange.reply.json()["body"] != exchange.sent {
            faults.push(format!("key {key}: the answer of another call"));
        }
        let first = answers.entry(key).or_insert(&exchange.reply);
        if first.body != exchange.reply.body {
            faults.push(format!("key {key}: two answers"));
        }
    }
    let keys: BTreeSet<&str> = exchanges.iter().filter_map(|e| e.key.as_deref()).collect();
    for key in keys {
        let count = runs.iter().filter(|run| run["key"] == key).count();
        if count > 1 || (count == 0 && answers.contains_key(key)) {
            faults.push(format!("key {key}: ran {count} times"));
        }
    }
}

/// What was refused as not run never reached a backend server.
fn check_not_run(
    exchanges: &[Exchange],
    runs: &[Value],
    engines: &[Vec<Value>],
    faults: &mut Vec<String>,
) {
    for exchange in exchanges.iter().filter(|e| e.is_not_run()) {
        let id = exchange.request();
        let ran = runs.iter().chain(engines.iter().flatten()).any(|run| run["request"] == id);
        if ran {
            faults.push(format!("request {id}: 'not run' is false"));
        }
    }
}

fn check_sessions(exchanges: &[Exchange], faults: &mut Vec<String>) {
    let mut versions: BTreeMap<&str, Value> = BTreeMap::new();
    for exchange in exchanges.iter().filter(|e| e.is_answered()) {
        let Some(session) = &exchange.session else { continue };
        let version = exchange.reply.json()["model"].clone();
        let first = versions.entry(session).or_insert_with(|| version.clone());
        if *first != version {
            faults.push(format!("session {session}: {first}, then {version}"));
        }
    }
}

/// Faults of the bills that last: what an operator is shown may lag behind what is committed.
async fn bill_faults(fleet: &Fleet, exchanges: &[Exchange]) -> Vec<String> {
    let until = Instant::now() + LAG_LIMIT;
    loop {
        let mut faults = Vec::new();
        check_bills(fleet, exchanges, &mut faults).await;
        if faults.is_empty() || Instant::now() >= until {
            return faults;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Every answered chat has one bill and every key that ran to an answer has one; what was refused
/// as not run has none; the sum holds no more than the list.
async fn check_bills(fleet: &Fleet, exchanges: &[Exchange], faults: &mut Vec<String>) {
    let Some(up) = fleet.any_up().await else {
        faults.push("no operator port answers".to_owned());
        return;
    };
    let bills = fleet.operate(up, "GET", "/v1/bills/karri", &Value::Null).await.json();
    let list = bills.as_array().cloned().unwrap_or_default();
    let billed = |id: &str| list.iter().filter(|bill| bill["request"] == id).count();
    let mut answered_keys = BTreeSet::new();
    for exchange in exchanges {
        let (id, count) = (exchange.request(), billed(exchange.request()));
        if exchange.is_not_run() && count > 0 {
            faults.push(format!("request {id}: not run, but billed"));
        }
        match &exchange.key {
            Some(key) if exchange.is_answered() => {
                answered_keys.insert(key.clone());
            }
            None if exchange.is_answered() && count != 1 => {
                faults.push(format!("request {id}: answered, billed {count} times"));
            }
            _ => {}
        }
    }
    let services = list.iter().filter(|bill| bill["item"] == "service ledger").count();
    if services < answered_keys.len() {
        faults.push(format!("{} keys answered, {services} billed", answered_keys.len()));
    }
    let runs = service_runs(fleet).await.len();
    if services > runs {
        faults.push(format!("{runs} calls ran, {services} billed"));
    }
    let sums = fleet.operate(up, "GET", "/v1/bills", &Value::Null).await.json();
    let sum = sums[0][1]["count"].as_u64().unwrap_or(0);
    if sum != list.len() as u64 {
        faults.push(format!("{} bills, but a sum of {sum}", list.len()));
    }
}
