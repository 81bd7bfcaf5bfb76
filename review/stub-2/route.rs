//! An entry of another writer in the platform's list, with fields missing.

use crate::Found;
use crate::fleet::{Fleet, KEY, Record};
use crate::net::Message;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 24;
const LASTS: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, trouble: bool) -> Found {
    let mut fleet = Fleet::new(record, 3, 2)?;
    for number in 0..3 {
        fleet.add_replica(&format!("i-ledger{number}"), "payee-ledger", "v1")?;
        fleet.add_replica(&format!("i-audit{number}"), "statement-audit", "v1")?;
    }
    fleet.set_list(&fleet.replicas, &[]);
    fleet.start()?;
    let config = format!(
        r#"{{"version":3,"routes":[{{"name":"r-pay","hostname":"ficu95.example","path_prefix":"/lodge/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"payee-ledger","max_attempts":1,"public":false}},{{"name":"r-audit","hostname":"ficu95.example","path_prefix":"/audit/","type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"statement-audit","max_attempts":2,"public":false}}],"services":[{{"name":"payee-ledger","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}},{{"name":"statement-audit","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    );
    if fleet.order("POST", "/v1/config/replace", &config, 0)?.status() != 200 {
        return Err("the configuration is refused".to_owned());
    }
    fleet.await_ready()?;
    if trouble {
        let audit = &fleet.replicas[1];
        // Of the eight fields of an entry, `version`, `batch_slots` and `warmup_left_ms` are missing.
        let odd = format!(
            r#"{{"service":"payee-ledger","address":"{}","zone":"{}","state":"ready","id":"{}"}}"#,
            audit.address, audit.zone, audit.id
        );
        record.say(&format!("the list has one more entry, of another writer: {odd}"));
        fleet.set_list(&fleet.replicas, &[odd.into_bytes()]);
    }
    thread::sleep(Duration::from_secs(4));
    let lodged = fleet.crowd(CLIENTS, LASTS, "POST", "/lodge/7", b"{\"pay\":1}");
    let is_success =
        |answer: &Result<_, String>| answer.as_ref().is_ok_and(|a: &Message| a.status() == 200);
    let (sent, answered) =
        (lodged.len(), lodged.iter().filter(|(_, answer)| is_success(answer)).count());
    record.say(&format!("{answered} of {sent} payments are answered with 200"));
    if answered == 0 {
        return Err("no payment was served at all".to_owned());
    }
    let wrong = fleet.replicas.iter().filter(|replica| replica.service != "payee-ledger");
    let ran: Vec<(String, String)> = wrong
        .flat_map(|replica| {
            let taken = replica.taken.lock().unwrap();
            let ran = taken.iter().filter(|taken| taken.ran && taken.path.starts_with("/lodge/"));
            ran.map(|taken| (taken.id.clone(), replica.id.clone())).collect::<Vec<_>>()
        })
        .collect();
    let successes = lodged
        .iter()
        .filter(|(id, answer)| ran.iter().any(|(other, _)| other == id) && is_success(answer));
    let successes = successes.count();
    for (id, replica) in ran.iter().take(5) {
        record.say(&format!("payment {id} was run by {replica} of service statement-audit"));
    }
    Ok((!ran.is_empty()).then(|| {
        format!(
            "ROUTE: {} of {sent} payments were run by a replica of service statement-audit, to which \
             no configuration ever sent /lodge/; {successes} of these clients got its 200",
            ran.len()
        )
    }))
}
