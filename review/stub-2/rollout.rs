//! A roll-out order that reaches a machine of the core which stands still, and is delivered when it wakes.

use crate::Found;
use crate::fleet::{Fleet, KEY, Record};
use crate::net::Connection;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the machine stands still: a site's longest freeze of a core machine is 7.4 s.
const FREEZE: Duration = Duration::from_secs(7);
/// When the bytes that were sent to it meanwhile come, after it woke: with the sender's next try.
const NEXT_TRY: Duration = Duration::from_secs(1);
/// A way there and back between the operator and the core.
const ROUND_TRIP: Duration = Duration::from_millis(3);
const SERVICE: &str = "statement-audit";
const CLIENTS: usize = 16;

pub fn run(record: &Arc<Record>, trouble: bool) -> Found {
    let mut fleet = Fleet::new(record, 3, 2)?;
    for number in 0..3 {
        fleet.add_replica(&format!("i-audit{number}"), SERVICE, "v1")?;
    }
    let old = fleet.replicas.clone();
    let mut bad = Vec::new();
    let mut good = Vec::new();
    for number in 0..2 {
        let replica = fleet.add_replica(&format!("i-bad{number}"), SERVICE, "v2")?;
        replica.fails.store(50, Ordering::SeqCst);
        bad.push(replica);
        good.push(fleet.add_replica(&format!("i-good{number}"), SERVICE, "v3")?);
    }
    fleet.set_list(&old, &[]);
    fleet.start()?;
    let config = format!(
        r#"{{"version":3,"routes":[{{"name":"r-audit","hostname":"ficu95.example","path_prefix":"/audit/","type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"{SERVICE}","max_attempts":2,"public":false}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    );
    if fleet.order("POST", "/v1/config/replace", &config, 0)?.status() != 200 {
        return Err("the configuration is refused".to_owned());
    }
    fleet.await_ready()?;
    thread::sleep(Duration::from_secs(4));
    let stop = AtomicBool::new(false);
    let found = thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                fleet.crowd(CLIENTS, Duration::from_secs(1), "GET", "/audit/1", b"");
            }
        });
        let found = orders(&fleet, trouble, &old, &bad, &good);
        stop.store(true, Ordering::SeqCst);
        found
    });
    found?;
    record.say("final fault: all processes are killed, and started again within a second");
    fleet.kill_all();
    thread::sleep(Duration::from_millis(500));
    for voter in 0..3 {
        fleet.start_voter(voter, false)?;
    }
    for router in 0..2 {
        fleet.start_router(router)?;
    }
    fleet.await_ready()?;
    let target = target(&fleet, 0)?;
    record.say(&format!("read back after the final fault: {target}"));
    Ok((!target.contains(r#""target":"v3""#)).then(|| {
        format!(
            "LOST: the order of v3 was acknowledged as the last one, after v2 was rolled back, and after the \
             final fault the roll-out that is read back is {target}"
        )
    }))
}

/// The operator orders v2, which is bad, and once it is rolled back v3. With the disruption, the first try of
/// the first order reaches a machine of the core that stands still.
fn orders(
    fleet: &Fleet,
    trouble: bool,
    old: &[Arc<crate::fleet::Replica>],
    bad: &[Arc<crate::fleet::Replica>],
    good: &[Arc<crate::fleet::Replica>],
) -> Result<(), String> {
    let record = &fleet.record;
    let leads = |voter: &usize| fleet.log(&format!("core-{voter}")).contains("leader_elected");
    let leader = (0..3).find(leads).ok_or("no voter says that it leads")?;
    let (still, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = format!("core-{still}");
    let begin = |version: &str| {
        format!(r#"{{"service":"{SERVICE}","target":"{version}","duration_s":16}}"#)
    };
    let frozen_at = Instant::now();
    if trouble {
        fleet.signal(&name, "STOP");
        let late = Late::new(fleet.proxy()?, fleet.operators(still), frozen_at + FREEZE + NEXT_TRY);
        let address = late.address;
        let recorded = record.clone();
        thread::spawn(move || {
            let sent = late.deliver();
            recorded.add(&format!(
                "what was sent to the machine that stood still reaches it: {sent:?}"
            ));
        });
        // The caller gives up after a second without a response, and closes the connection.
        let answer =
            Connection::open(address, Duration::from_secs(1)).and_then(|mut connection| {
                connection.call(
                    "POST",
                    "/v1/rollouts/begin",
                    &[("Host", "c")],
                    begin("v2").as_bytes(),
                )
            });
        record
            .add(&format!("operator: begin v2 at {name}: {answer:?}; moves on to another machine"));
    } else {
        let answer = fleet.operate(still, "POST", "/v1/rollouts/begin", &begin("v2"))?;
        record.add(&format!("operator: begin v2 at {name}: {}", answer.status()));
    }
    let answer = fleet.order("POST", "/v1/rollouts/begin", &begin("v2"), other)?;
    record.say(&format!("the order of v2 is acknowledged: {}", answer.status()));
    fleet.set_list(&[old, bad].concat(), &[]);
    let until = Instant::now() + Duration::from_secs(20);
    while !target(fleet, other)?.contains("rolled_back") {
        if Instant::now() > until {
            return Err("v2 is not rolled back within 20 s".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.say("v2 is rolled back");
    if trouble && frozen_at.elapsed() + Duration::from_millis(500) > FREEZE {
        return Err("v2 is rolled back too late for this case".to_owned());
    }
    let answer = fleet.order("POST", "/v1/rollouts/begin", &begin("v3"), other)?;
    record.say(&format!("the order of v3 is acknowledged: {}", answer.status()));
    fleet.set_list(&[old, good].concat(), &[]);
    thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
    if trouble {
        fleet.signal(&name, "CONT");
    }
    thread::sleep(Duration::from_secs(4));
    record.say(&format!("read back 4 s after the machine woke: {}", target(fleet, other)?));
    Ok(())
}

fn target(fleet: &Fleet, first: usize) -> Result<String, String> {
    Ok(fleet.order("GET", &format!("/v1/rollouts/{SERVICE}/read"), "", first)?.text())
}

/// The way to a machine that stands still: what was sent to it comes once it is awake.
struct Late {
    listener: TcpListener,
    address: SocketAddr,
    to: SocketAddr,
    at: Instant,
}

impl Late {
    fn new(listener: TcpListener, to: SocketAddr, at: Instant) -> Self {
        let address = listener.local_addr().expect("a listener has an address");
        Self { listener, address, to, at }
    }

    /// Delivers the bytes of one connection, and a round trip later its end.
    fn deliver(self) -> std::io::Result<usize> {
        let (mut from, _) = self.listener.accept()?;
        let mut bytes = Vec::new();
        from.read_to_end(&mut bytes)?;
        thread::sleep(self.at.saturating_duration_since(Instant::now()));
        let mut stream = TcpStream::connect(self.to)?;
        stream.write_all(&bytes)?;
        thread::sleep(ROUND_TRIP);
        Ok(bytes.len())
    }
}
