//! A key moves from one tenant to another while a stream that was asked for with it runs. Then the
//! replica that runs the stream crashes.

use super::common::{entry, page, read_message, Deployment, List, Record, HOST};
use super::Verdict;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `config_apply_ms` of the site.
const APPLY: Duration = Duration::from_millis(2_000);
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Events of the stream, and the pause between two of them.
const EVENTS: u64 = 20;
const GAP: Duration = Duration::from_millis(500);

/// A run, as its replica saw it.
#[derive(Clone)]
struct Run {
    replica: &'static str,
    tenant: String,
    last_event: Option<u64>,
    at: Instant,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// A replica that can crash.
struct Replica {
    name: &'static str,
    address: SocketAddr,
    is_dead: Arc<AtomicBool>,
}

fn serve_replica(name: &'static str, runs: Runs, record: Record) -> Replica {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let is_dead = Arc::new(AtomicBool::new(false));
    let dead = is_dead.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record, dead) = (runs.clone(), record.clone(), dead.clone());
            thread::spawn(move || serve_connection(name, stream, &runs, &record, &dead));
        }
    });
    Replica { name, address, is_dead }
}

fn serve_connection(
    name: &'static str,
    mut stream: TcpStream,
    runs: &Runs,
    record: &Record,
    dead: &AtomicBool,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        if dead.load(Ordering::SeqCst) {
            return;
        }
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let tenant = request.header("x-tenant").unwrap_or("none").to_owned();
        let last_event = request.header("last-event-id").and_then(|text| text.parse().ok());
        record.say(&format!(
            "replica {name} runs request {id} for tenant {tenant}, last event {last_event:?}"
        ));
        runs.lock().unwrap().push(Run { replica: name, tenant, last_event, at: Instant::now() });
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {name}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for event in last_event.unwrap_or(0) + 1..=EVENTS {
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if dead.load(Ordering::SeqCst) || stream.write_all(chunk.as_bytes()).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            thread::sleep(GAP);
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn config(version: u64, first: &str, second: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"reply","hostname":"{HOST}","path_prefix":"/reply/","type":"streaming","timeout_ms":25000,"target_latency_ms":2000,"target_gap_ms":1000,"priority":1,"service":"models","max_attempts":3,"public":false,"sticky":true,"resumable":true}}],"services":[{{"name":"models","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":[{first}],"priority":1}},{{"name":"wuno96b","api_keys":[{second}],"priority":1}}]}}"#
    )
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let runs = Runs::default();
    let replicas = ["i-one", "i-two", "i-three", "i-four"]
        .map(|name| serve_replica(name, runs.clone(), record.clone()));
    let entries = |gone: &str| -> Vec<Vec<u8>> {
        let left = replicas.iter().filter(|replica| replica.name != gone);
        left.map(|r| entry(r.name, "models", r.address, "ready").into_bytes()).collect()
    };
    let list = List::serve(page(&entries("")));
    let deployment = Deployment::start(1, list.address);
    let order = |config: &str| {
        let answer = deployment.order("POST", "/v1/config/replace", config);
        answer.is_some_and(|answer| answer.status() == 200)
    };
    if !order(&config(1, &format!("\"{KEY}\""), "\"second-key-of-wuno\"")) {
        return Err("configuration 1 is not acknowledged".to_owned());
    }
    record.say(&format!("configuration 1 is acknowledged: tenant hule930 holds key {KEY}"));
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("the router is not ready".to_owned());
    }
    let (router, client_record) = (deployment.routers[0], record.clone());
    let client = thread::spawn(move || {
        let request = format!(
            "POST /reply/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n\
             X-Deadline-Ms: 25000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        client_record.say(&format!("the client sends request 9c41d07be2a35f68 with key {KEY}"));
        let answer = super::common::ask(router, request.as_bytes(), Duration::from_secs(30));
        let Some(answer) = answer else { return client_record.say("the client gets no answer") };
        let ids = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        client_record.say(&format!(
            "the client gets {} with {ids} events, whole: {}",
            answer.status(),
            answer.whole
        ));
    });
    let until = Instant::now() + Duration::from_secs(5);
    let first = loop {
        if let Some(run) = runs.lock().unwrap().first().cloned() {
            break run;
        }
        if Instant::now() >= until {
            return Err("no replica runs the request".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    };
    thread::sleep(Duration::from_secs(1));
    if !order(&config(2, "\"third-key-of-hule\"", &format!("\"second-key-of-wuno\",\"{KEY}\""))) {
        return Err("configuration 2 is not acknowledged".to_owned());
    }
    let acknowledged_at = Instant::now();
    record.say(&format!("configuration 2 is acknowledged: tenant wuno96b holds key {KEY}"));
    thread::sleep(APPLY + Duration::from_secs(1));
    if trouble {
        let replica = replicas.iter().find(|replica| replica.name == first.replica);
        replica.expect("a known replica").is_dead.store(true, Ordering::SeqCst);
        record.say(&format!("replica {} crashes", first.replica));
        list.set(page(&entries(first.replica)));
    }
    client.join().map_err(|_| "the client failed".to_owned())?;
    let runs = runs.lock().unwrap();
    let is_late = |run: &&Run| run.at > acknowledged_at + APPLY;
    let wrong: Vec<&Run> =
        runs.iter().filter(is_late).filter(|run| run.tenant != "wuno96b").collect();
    for run in &wrong {
        record.say(&format!(
            "replica {} ran it {} ms after the acknowledgement for tenant {}, after event {:?}",
            run.replica,
            run.at.duration_since(acknowledged_at).as_millis(),
            run.tenant,
            run.last_event
        ));
    }
    Ok(!wrong.is_empty())
}
