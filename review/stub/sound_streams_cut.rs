//! A roll-out is completed, and the old replicas stop, as the pages say. Streams that run on the sound
//! replicas of the new version are watched.

use super::common::{ask, page, read_message, Deployment, List, Record, HOST};
use super::Verdict;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The roll-out's `duration_s`.
const ROLL_OUT: u64 = 16;
/// Events of a stream, and the pause between two; up to 1,000 ms the answer is on time.
const EVENTS: u64 = 16;
const TICK: Duration = Duration::from_millis(900);
/// `config_apply_ms` + 1 s: how long after its acknowledgement a configuration counts as planned work.
const WINDOW: Duration = Duration::from_millis(3_000);
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The last replica that ran each request, and whether that replica has broken the answer off.
type Runs = Arc<Mutex<BTreeMap<String, (String, bool)>>>;

#[derive(Clone)]
struct Replica {
    name: String,
    version: &'static str,
    address: SocketAddr,
    has_stopped: Arc<AtomicBool>,
}

impl Replica {
    fn start(
        name: String,
        version: &'static str,
        start: Instant,
        runs: Runs,
        record: Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener can be made non-blocking");
        let address = listener.local_addr().unwrap();
        let replica = Self { name, version, address, has_stopped: Arc::default() };
        let own = replica.clone();
        thread::spawn(move || {
            while !own.has_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).expect("a stream can be made blocking");
                let (own, runs, record) = (own.clone(), runs.clone(), record.clone());
                thread::spawn(move || own.serve(stream, start, &runs, &record));
            }
        });
        replica
    }

    fn serve(&self, mut stream: TcpStream, start: Instant, runs: &Runs, record: &Record) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let last: u64 =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            record.say(&format!(
                "replica {} {} runs {id} after event {last}",
                self.name, self.version
            ));
            runs.lock().unwrap().insert(id.clone(), (self.name.clone(), false));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.name
            );
            let mut sent = stream.write_all(head.as_bytes());
            for event in last + 1..=EVENTS {
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                sent = sent.and_then(|()| {
                    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                });
                if sent.is_err() {
                    return;
                }
                let until = next_tick(start);
                while Instant::now() < until {
                    if self.has_stopped.load(Ordering::SeqCst) {
                        runs.lock().unwrap().insert(id, (self.name.clone(), true));
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

/// All replicas make their events at the same moments.
fn next_tick(start: Instant) -> Instant {
    let passed = start.elapsed().as_nanos() / TICK.as_nanos() + 1;
    start + TICK * u32::try_from(passed).expect("a short play")
}

fn config(version: u64, more: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"reply","hostname":"{HOST}","path_prefix":"/reply/","type":"streaming","timeout_ms":25000,"target_latency_ms":2000,"target_gap_ms":1000,"priority":1,"service":"models","max_attempts":3,"public":false,"sticky":true,"resumable":true}}{more}],"services":[{{"name":"models","health_path":"/healthz","max_connections":480,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

const IDLE_ROUTE: &str = r#",{"name":"idle","hostname":"ficu95.example","path_prefix":"/idle/","type":"idempotent","timeout_ms":600,"priority":1,"service":"models","public":false}"#;

fn listed(replicas: &[Replica]) -> Vec<u8> {
    let entry = |replica: &Replica| {
        let Replica { name, version, address, .. } = replica;
        format!(
            "{{\"id\":\"{name}\",\"service\":\"models\",\"address\":\"{address}\",\"zone\":\"perth-a\",\
             \"version\":\"{version}\",\"batch_slots\":96,\"state\":\"ready\",\"warmup_left_ms\":0}}"
        )
        .into_bytes()
    };
    page(&replicas.iter().map(entry).collect::<Vec<_>>())
}

/// How a client's stream ended.
struct Ended {
    id: String,
    is_whole: bool,
    at: Instant,
}

/// Asks for a stream in the background; says how many events came and whether the answer was whole.
fn ask_stream(router: SocketAddr, id: String, record: Record) -> thread::JoinHandle<Ended> {
    thread::spawn(move || {
        let request = format!(
            "POST /reply/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 25000\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let answer = ask(router, request.as_bytes(), Duration::from_secs(30)).unwrap_or_default();
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        let (status, whole) = (answer.status(), answer.whole);
        record
            .say(&format!("the client of {id} has got {status}, {events} events, whole: {whole}"));
        Ended {
            id,
            is_whole: status == 200 && whole && events == EVENTS as usize,
            at: Instant::now(),
        }
    })
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let (start, runs) = (Instant::now(), Runs::default());
    let replica = |number: u32, version: &'static str| {
        Replica::start(
            format!("i-{version}-{number}"),
            version,
            start,
            runs.clone(),
            record.clone(),
        )
    };
    let old: Vec<Replica> = (0..6).map(|number| replica(number, "v1")).collect();
    let list = List::serve(listed(&old));
    let deployment = Deployment::start(3, list.address);
    let is_done =
        |answer: Option<super::common::Message>| answer.is_some_and(|a| a.status() == 200);
    if !is_done(deployment.order("POST", "/v1/config/replace", &config(1, ""))) {
        return Err("configuration 1 is not acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("the routers are not ready".to_owned());
    }
    let order = format!(r#"{{"service":"models","target":"v2","duration_s":{ROLL_OUT}}}"#);
    if !is_done(deployment.order("POST", "/v1/rollouts/begin", &order)) {
        return Err("the roll-out is not acknowledged".to_owned());
    }
    let ordered_at = Instant::now();
    record.say("the roll-out of models to v2 is acknowledged");
    let new: Vec<Replica> = (0..6).map(|number| replica(number, "v2")).collect();
    let all: Vec<Replica> = old.iter().chain(&new).cloned().collect();
    list.set(listed(&all));
    thread::sleep(Duration::from_secs(ROLL_OUT - 2).saturating_sub(ordered_at.elapsed()));

    let (mut clients, mut completed_at, mut number) = (Vec::new(), None::<Instant>, 0usize);
    let until = Instant::now() + Duration::from_secs(8);
    while completed_at.is_none_or(|at| at.elapsed() < Duration::from_millis(300)) {
        if Instant::now() >= until {
            return Err("the roll-out is not completed".to_owned());
        }
        let router = deployment.routers[number % deployment.routers.len()];
        clients.push(ask_stream(router, format!("stream-{number}"), record.clone()));
        number += 1;
        if completed_at.is_none() {
            let answer = deployment.order("GET", "/v1/rollouts/models/read", "");
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            if String::from_utf8_lossy(&body).contains("completed") {
                completed_at = Some(Instant::now());
                record.say("the roll-out is completed");
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let middle = next_tick(start) + TICK / 2;
    thread::sleep(middle.saturating_duration_since(Instant::now()));
    if !is_done(deployment.order("POST", "/v1/config/replace", &config(2, IDLE_ROUTE))) {
        return Err("configuration 2 is not acknowledged".to_owned());
    }
    let changed_at = Instant::now();
    record.say("configuration 2, with one route more, is acknowledged");
    if trouble {
        old.iter().for_each(|replica| replica.has_stopped.store(true, Ordering::SeqCst));
        record.say("the old replicas stop; they stay on the list for some seconds");
        thread::sleep(Duration::from_secs(3));
        list.set(listed(&new));
        record.say("the list has only the new replicas");
    }
    let (mut cut, mut cut_elsewhen, mut whole, mut old_cut) = (Vec::new(), 0, 0, 0);
    for client in clients {
        let Ended { id, is_whole, at } = client.join().map_err(|_| "a client failed".to_owned())?;
        let (replica, broke_off) = runs.lock().unwrap().get(&id).cloned().unwrap_or_default();
        match (is_whole, broke_off) {
            (true, _) => whole += 1,
            (false, true) => old_cut += 1,
            (false, false) if at < changed_at + WINDOW => cut.push(format!("{id} of {replica}")),
            (false, false) => cut_elsewhen += 1,
        }
    }
    record.say(&format!(
        "{whole} streams whole, {old_cut} ended with their old replica and were not resumed, {} cut \
         beside the change although their replica is sound, {cut_elsewhen} at other times: {}",
        cut.len(),
        cut.join(", ")
    ));
    Ok(cut.len() > 3 * cut_elsewhen)
}
