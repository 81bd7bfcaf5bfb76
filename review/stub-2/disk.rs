//! A machine of the core that loses its disk, and loses it again before it counts as back.

use crate::Found;
use crate::fleet::{Fleet, KEY, Record};
use crate::net::Connection;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LOST: &str = "core-2";
/// A machine counts as lost for so long after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(12);
/// How long after each of its next starts it loses its disk again, in ms.
const AGAIN: [u64; 4] = [220, 240, 260, 280];

pub fn run(record: &Arc<Record>, trouble: bool) -> Found {
    let mut fleet = Fleet::new(record, 3, 2)?;
    for number in 0..3 {
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
    thread::sleep(CATCH_UP);
    fleet.kill(LOST);
    fleet.lose_disk(LOST);
    thread::sleep(Duration::from_millis(500));
    if trouble {
        for after in AGAIN {
            fleet.start_voter(2, false)?;
            thread::sleep(Duration::from_millis(after));
            fleet.kill(LOST);
            fleet.lose_disk(LOST);
            record.say(&format!("{LOST} loses its disk again, {after} ms after its start"));
            thread::sleep(Duration::from_millis(500));
        }
    }
    fleet.start_voter(2, false)?;
    record.say("core-2 is back for good, with an empty disk");
    let back = Instant::now();
    thread::sleep(CATCH_UP + RECOVERY);
    let (mut served, mut read, mut asked) = (0, 0, 0);
    while back.elapsed() < CATCH_UP + RECOVERY + Duration::from_secs(10) {
        for voter in 0..3 {
            let answer = fleet.operate(voter, "GET", "/v1/config/read", "");
            read += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
        }
        for router in 0..2 {
            asked += 1;
            if let Ok(mut connection) =
                Connection::open(fleet.callers(router), Duration::from_secs(3))
            {
                let (_, answer) =
                    fleet.call(&mut connection, "POST", "/lodge/7", &[], b"{\"pay\":1}");
                served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.say(&format!(
        "16 to 26 s after it is back: {read} reads of the configuration are answered, {served} of {asked} \
         requests served"
    ));
    for voter in 0..3 {
        let log = fleet.log(&format!("core-{voter}"));
        let steps = log.lines().filter(|line| line.contains(": step "));
        steps.for_each(|line| record.add(&format!("core-{voter} logs: {line}")));
    }
    Ok((read == 0).then(|| {
        format!(
            "CONFIG: the configuration doesn't come, from no machine of the core, 16 to 26 s after {LOST} is \
             back with all others up all the while; {served} of {asked} requests are served"
        )
    }))
}
