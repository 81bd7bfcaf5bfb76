//! Evacuations while one daemon, a router or the leader, is cut off in one direction only, with real processes.

mod env;

use env::proxy::ProxyFault;
use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// `promises.evacuate` of the fleet.
const EVACUATION_BOUND: Duration = Duration::from_millis(500);
/// `ack_ms` of the users' deployments.
const ACK_LIMIT: Duration = Duration::from_secs(5);

/// By then the leader has answered the renewals that it held when links were cut (`lease.renew` is 200 ms).
const ANSWERED: Duration = Duration::from_millis(400);
/// From one call at a daemon to the next one.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Three daemons, each in a data centre of its own.
fn plan() -> FleetSpec {
    let settings = vec![
        ("limits", "drain", "200ms"),
        ("lease", "duration", "1500ms"),
        ("lease", "renew", "200ms"),
        ("consensus", "election", "300ms"),
        ("consensus", "heartbeat", "60ms"),
        ("rating", "sample", "0"),
        ("promises", "evacuate", "500ms"),
    ];
    let cheap = vec![vec!["--versions=cheap/v1"]; 3];
    FleetSpec { durable: vec![true; 3], cheap, proxies: true, settings, ..FleetSpec::default() }
}

/// Publishes the engines of the pool `cheap`, the first in the data centre of the first daemon and so on.
async fn publish(fleet: &Fleet) {
    let mut list: Vec<Value> = Vec::new();
    for server in &fleet.servers {
        let proxy = server.proxy.as_ref().expect("there are proxies");
        let of_pool = list.iter().filter(|entry| entry["pool"] == server.pool.as_str()).count();
        list.push(json!({
            "vm": server.name, "address": proxy.address, "data_centre": format!("dc-{of_pool}"),
            "pool": server.pool, "state": "live",
        }));
    }
    fleet.configure_fake(fleet.vms, &Value::from(list)).await;
}

async fn start() -> Fleet {
    let fleet = Fleet::start(&plan()).await;
    publish(&fleet).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet.await_voters(3).await;
    fleet
}

/// Which messages of a daemon are lost.
#[derive(Debug, Clone, Copy)]
enum Lost {
    Sent,
    Received,
}

/// Loses the messages that a daemon sends to all others or receives from them.
fn cut(fleet: &Fleet, daemon: usize, lost: Lost) {
    let (dialled, accepted) = match lost {
        Lost::Sent => (ProxyFault::StallForward, ProxyFault::StallBack),
        Lost::Received => (ProxyFault::StallBack, ProxyFault::StallForward),
    };
    for (from, to, proxy) in &fleet.peer_proxies {
        match (*from == daemon, *to == daemon) {
            (true, _) => proxy.set_fault(dialled),
            (_, true) => proxy.set_fault(accepted),
            _ => {}
        }
    }
}

/// The number of requests that an engine has got.
async fn received(fleet: &Fleet, engine: usize) -> usize {
    fleet.fake_log(fleet.servers[engine].address).await.len()
}

/// Makes a call without a session, which needs no more than the lease to reach an engine.
async fn chat(fleet: &Fleet, daemon: usize) -> u16 {
    let body = json!({ "model": "auto", "messages": [{ "role": "user", "content": "hello" }] });
    fleet.chat(daemon, &[("x-deadline-ms", "2000")], &body).await.status
}

/// Calls a daemon for so long, without waiting for the answers; returns how many it served.
async fn call_for(fleet: &Fleet, daemon: usize, time: Duration) -> usize {
    let count = (time.as_millis() / CALL_INTERVAL.as_millis()) as u32;
    let calls = (0..count).map(|number| async move {
        tokio::time::sleep(CALL_INTERVAL * number).await;
        chat(fleet, daemon).await
    });
    let statuses = futures::future::join_all(calls).await;
    statuses.iter().filter(|status| **status == 200).count()
}

struct CutCase {
    /// Whether the leader is cut off, instead of a daemon that only routes by its lease.
    leads: bool,
    lost: Lost,
}

/// Guards against an order that is acknowledged while a daemon that is cut off one way may still send calls there
/// (EVAC), and against one that such a daemon holds up.
#[rstest]
#[case::router_is_not_heard(CutCase { leads: false, lost: Lost::Sent })]
#[case::router_hears_nothing(CutCase { leads: false, lost: Lost::Received })]
#[case::leader_is_not_heard(CutCase { leads: true, lost: Lost::Sent })]
#[case::leader_hears_nothing(CutCase { leads: true, lost: Lost::Received })]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_cut_off_one_way_sends_nothing_there(#[case] case: CutCase) {
    let fleet = start().await;
    let leader = fleet.leader().await;
    let cut_off = if case.leads { leader } else { (leader + 1) % 3 };
    let other = (0..3).find(|daemon| ![cut_off, leader].contains(daemon)).expect("three daemons");
    // Servers nearby are preferred, so the cut one calls the engine that is evacuated.
    let engine = cut_off;
    let before = received(&fleet, engine).await;
    call_for(&fleet, cut_off, Duration::from_millis(300)).await;
    assert!(received(&fleet, engine).await > before, "its calls go to its own data centre");

    cut(&fleet, cut_off, case.lost);
    let since = received(&fleet, engine).await;
    let time = ANSWERED + ACK_LIMIT + 2 * EVACUATION_BOUND;
    let path = format!("/v1/evacuations/dc-{cut_off}/begin");
    let evacuation = async {
        tokio::time::sleep(ANSWERED).await;
        let asked = Instant::now();
        while fleet.operate(other, "POST", &path, &Value::Null).await.status != 200 {
            assert!(asked.elapsed() < ACK_LIMIT, "not acknowledged");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let took = asked.elapsed();
        assert!(took < ACK_LIMIT, "acknowledged after {took:?}");
        tokio::time::sleep(EVACUATION_BOUND).await;
        (took, received(&fleet, engine).await)
    };
    let (of_cut, of_other, (took, last)) =
        tokio::join!(call_for(&fleet, cut_off, time), call_for(&fleet, other, time), evacuation);
    let late = received(&fleet, engine).await - last;
    let early = last - since;
    println!(
        "acknowledged after {took:?}; served {of_cut}, {of_other}; {early} early, {late} late"
    );
    assert!(early > 0, "under its lease the one that is cut off calls there");
    assert_eq!(late, 0, "calls arrive later than allowed");
    assert!(of_other > 0, "the others serve on");

    for (_, _, proxy) in &fleet.peer_proxies {
        proxy.set_fault(ProxyFault::None);
    }
    fleet.await_ready().await;
    assert_eq!(chat(&fleet, cut_off).await, 200);
    assert_eq!(received(&fleet, engine).await, last, "it knows of the evacuation");
}
