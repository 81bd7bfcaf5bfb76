//! An entry of another writer in the platform's list, with bytes that can't be read.

use crate::Found;
use crate::fleet::{Fleet, KEY, Record};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(3_000);
const CLIENTS: usize = 24;
const WATCHED: Duration = Duration::from_secs(12);

pub fn run(record: &Arc<Record>, trouble: bool) -> Found {
    let mut fleet = Fleet::new(record, 3, 2)?;
    for number in 0..8 {
        fleet.add_replica(&format!("i-ledger{number}"), "payee-ledger", "v1")?;
    }
    fleet.set_list(&fleet.replicas, &[]);
    fleet.start()?;
    let config = format!(
        r#"{{"version":3,"routes":[{{"name":"r-pay","hostname":"ficu95.example","path_prefix":"/lodge/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"payee-ledger","max_attempts":1,"public":false}}],"services":[{{"name":"payee-ledger","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    );
    if fleet.order("POST", "/v1/config/replace", &config, 0)?.status() != 200 {
        return Err("the configuration is refused".to_owned());
    }
    fleet.await_ready()?;
    // All are in touch from here on.
    thread::sleep(Duration::from_secs(4));
    let mut odd = Vec::new();
    if trouble {
        let entry = b"{\"service\":\"payee-ledger\",\"address\":\"127.0.0.1:9\",\"zone\":\"perth-a\",\"version\":\"v1\",\"batch_slots\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\"id\":\"i-\xff\x00\x1b\xfe\"}";
        record.say(&format!(
            "the list has one more entry, of another writer: {}",
            String::from_utf8_lossy(entry).escape_debug()
        ));
        odd.push(entry.to_vec());
    }
    fleet.set_list(&fleet.replicas, &odd);
    fleet.crowd(CLIENTS, Duration::from_secs(2), "POST", "/lodge/7", b"{\"pay\":1}");
    let busiest = fleet.replicas.iter().max_by_key(|replica| replica.taken.lock().unwrap().len());
    let leaving = busiest.ok_or("there is no replica")?.clone();
    leaving.draining.store(true, Ordering::SeqCst);
    fleet.set_list(&fleet.replicas, &odd);
    let listed_at = Instant::now();
    record.say(&format!("{} is listed as draining", leaving.id));
    let sent = fleet.crowd(CLIENTS, WATCHED, "POST", "/lodge/7", b"{\"pay\":1}").len();
    let others = fleet.replicas.iter().filter(|replica| replica.id != leaving.id);
    let others: usize = others.map(|other| other.taken.lock().unwrap().len()).sum();
    if others == 0 {
        return Err("the other replicas got nothing".to_owned());
    }
    let taken = leaving.taken.lock().unwrap();
    let late = taken.iter().filter(|taken| taken.ran && taken.at > listed_at + DRAIN).count();
    record.say(&format!(
        "of {sent} requests, {late} reached {} later than {} ms after it was listed as draining",
        leaving.id,
        DRAIN.as_millis()
    ));
    Ok((late > 0).then(|| {
        format!(
            "DRAIN: {late} requests reached {} later than drain_ms after the list showed it as draining, up to \
             the end, {} s after it",
            leaving.id,
            WATCHED.as_secs()
        )
    }))
}
