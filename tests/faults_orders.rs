//! Load and unload orders during a change of leader, to an engine that checks fencing tokens and
//! one that ignores them.

mod env;

use env::fleet::await_until;
use env::http::call;
use env::proxy::ProxyFault;
use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;

fn plan() -> FleetSpec {
    let settings = vec![
        ("limits", "drain", "200ms"),
        ("lease", "duration", "1s"),
        ("lease", "renew", "200ms"),
        ("consensus", "election", "300ms"),
        ("consensus", "heartbeat", "60ms"),
        ("rating", "sample", "0"),
    ];
    let engine = |fenced| vec!["--versions=cheap/v1", fenced];
    let cheap = vec![engine("--fenced=true"), engine("--fenced=false")];
    FleetSpec {
        durable: vec![true, true, true],
        proxies: true,
        settings,
        cheap,
        ..FleetSpec::default()
    }
}

fn engines(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.servers.iter().filter(|server| server.pool == "cheap").map(|s| s.address).collect()
}

async fn orders(engine: SocketAddr) -> Vec<Value> {
    let reply = call(engine, "GET", "/fake/orders", &[], &Value::Null).await;
    reply.json().as_array().cloned().unwrap_or_default()
}

async fn has_loaded(engine: SocketAddr, version: &str) -> bool {
    let reply = call(engine, "GET", "/v1/load", &[], &Value::Null).await;
    reply.json()["versions"].as_array().is_some_and(|all| all.iter().any(|v| v == version))
}

#[rstest]
#[case::paused(None)]
#[case::isolated(Some(ProxyFault::Stall))]
#[tokio::test(flavor = "multi_thread")]
async fn the_next_leader_finishes_a_roll_out_and_the_old_one_sends_no_orders(
    #[case] cut: Option<ProxyFault>,
) {
    let fleet = Fleet::start(&plan()).await;
    fleet.apply(&ticket::initial(1)).await;
    fleet.await_voters(3).await;
    let rollout = json!({ "number": 2, "author": "test", "versions": [
        ticket::version("cheap", "v2", "open", 0.8, 100),
    ], "rollouts": [{
        "name": "r", "from": "cheap/v1", "to": "cheap/v2", "steps": [1000], "answers": 1_000_000,
    }]});
    fleet.apply(&rollout).await;
    let engines = engines(&fleet);
    await_until("one engine has loaded the new version", async || {
        has_loaded(engines[0], "cheap/v2").await || has_loaded(engines[1], "cheap/v2").await
    })
    .await;
    let old = fleet.leader().await;
    match cut {
        Some(fault) => fleet.set_peer_fault(old, fault),
        None => fleet.daemons[old].process.signal("STOP"),
    }
    await_until("both engines have loaded the new version", async || {
        has_loaded(engines[0], "cheap/v2").await && has_loaded(engines[1], "cheap/v2").await
    })
    .await;
    let withdrawal = json!({ "number": 3, "author": "test", "versions": [
        ticket::version("cheap", "v2", "withdrawn", 0.8, 100),
    ]});
    fleet.apply_at((old + 1) % 3, &withdrawal).await;
    await_until("both engines have unloaded the withdrawn version", async || {
        !has_loaded(engines[0], "cheap/v2").await && !has_loaded(engines[1], "cheap/v2").await
    })
    .await;
    match cut {
        Some(_) => fleet.set_peer_fault(old, ProxyFault::None),
        None => fleet.daemons[old].process.signal("CONT"),
    }
    fleet.await_ready().await;
    for engine in engines {
        let received = orders(engine).await;
        let kinds: Vec<&str> =
            received.iter().filter_map(|order| order["order"].as_str()).collect();
        assert_eq!(kinds, ["load", "unload"], "expected one load, then one unload: {received:?}");
        assert!(
            received.windows(2).all(|pair| pair[0]["fence"].as_u64() <= pair[1]["fence"].as_u64())
        );
        assert!(!has_loaded(engine, "cheap/v2").await);
    }
}
