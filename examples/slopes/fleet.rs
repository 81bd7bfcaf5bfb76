//! Cost of running daemons by number of daemons, backend servers, tickets, requests and tokens.

use crate::env::{Fleet, FleetSpec, http, ticket};
use crate::linear_fit::LinearFit;
use crate::resource_usage::ResourceUsage;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const VOTERS: usize = 3;
/// Wait after the start of a fleet, before the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of one measurement of idle daemons.
const MEASURE_DURATION: Duration = Duration::from_secs(6);
const MAX_CONCURRENT_REQUESTS: usize = 8;

/// Total usage of all daemons with one role during [`MEASURE_DURATION`].
#[derive(Debug, Clone, Copy)]
struct RoleUsage {
    name: &'static str,
    usage: ResourceUsage,
    count: usize,
}

/// Measures idle daemons of each role for several numbers of daemons.
pub async fn daemons(sizes: &[usize]) {
    let mut fits = [LinearFit::default(), LinearFit::default(), LinearFit::default()];
    for &size in sizes {
        let fleet = start_fleet(size).await;
        for (role, fit) in measure_roles(&fleet).await.iter().zip(&mut fits) {
            fit.add(size as f64, print_role_usage(size, role));
        }
    }
    for (name, fit) in ["leader", "voter", "router"].into_iter().zip(&fits) {
        fit.print(&format!("{name}, percent of a core"));
    }
}

/// Measures one router for several numbers of backend servers in the VM list.
pub async fn replicas(sizes: &[usize]) {
    let mut fit = LinearFit::default();
    let fleet = start_fleet(VOTERS + 1).await;
    for &size in sizes {
        let servers = &fleet.servers;
        let entry = |i: usize| {
            let server = &servers[i % servers.len()];
            json!({ "vm": format!("replica-{i}"), "address": server.address, "data_centre": "dc-0",
                "pool": server.pool, "state": "live" })
        };
        let list: Vec<Value> = (0..size).map(entry).collect();
        assert_eq!(
            http::call(fleet.vms, "POST", "/fake/set", &[], &Value::from(list)).await.status,
            200
        );
        let role_usages = measure_roles(&fleet).await;
        let router = role_usages
            .iter()
            .find(|role| role.name == "router")
            .expect("the fleet has no daemon in the role router");
        fit.add(size as f64, print_role_usage(size, router));
    }
    fit.print("router, percent of a core");
}

/// Applies tickets one at a time and measures the time until each is in force on all daemons, for
/// several numbers of daemons.
pub async fn tickets(sizes: &[usize]) {
    const TICKET_COUNT: u64 = 40;
    let mut fit = LinearFit::default();
    for &size in sizes {
        let fleet = start_fleet(size).await;
        let before = ResourceUsage::measure_all(&fleet).await;
        let mut millis = Vec::new();
        for number in 2..2 + TICKET_COUNT {
            let change = json!({ "number": number, "author": "slopes",
                "models": [{ "name": "cheap", "description": format!("change {number}") }] });
            let started = Instant::now();
            fleet.apply(&change).await;
            millis.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let after = ResourceUsage::measure_all(&fleet).await;
        millis.sort_by(f64::total_cmp);
        let usage: Vec<ResourceUsage> =
            after.iter().zip(&before).map(|(a, b)| a.since(b)).collect();
        let per_ticket = |quantity: fn(&ResourceUsage) -> f64| {
            usage.iter().map(quantity).sum::<f64>() / TICKET_COUNT as f64
        };
        let (median, worst) = (millis[millis.len() / 2], millis[millis.len() - 1]);
        println!(
            "  {size} daemons: in force after {median:.0} ms (median), {worst:.0} ms (worst of {TICKET_COUNT}); all daemons together {:.1} ms of processor and {:.1} KB a ticket, idle share included",
            per_ticket(|s| s.cpu_seconds) * 1e3,
            per_ticket(|s| s.peer_bytes) / 1e3,
        );
        fit.add(size as f64, median);
    }
    fit.print("ms until in force");
}

/// Measures all daemons while one router serves requests, each in a new session.
pub async fn requests(sizes: &[usize]) {
    let fleet = start_fleet(VOTERS + 1).await;
    for &size in sizes {
        let before = ResourceUsage::measure_all(&fleet).await;
        let started = Instant::now();
        send_requests(&fleet, size, false).await;
        let seconds = started.elapsed().as_secs_f64();
        let after = ResourceUsage::measure_all(&fleet).await;
        println!("  {size} requests in {seconds:.1} s ({:.0} a second):", size as f64 / seconds);
        for (i, (a, b)) in after.iter().zip(&before).enumerate() {
            let usage = a.since(b);
            println!(
                "    {}: {:.0} us of processor, {:.0} B to and from peers a request, {:.1} MiB (grew {:.1})",
                fleet.daemons[i].name,
                usage.cpu_seconds * 1e6 / size as f64,
                usage.peer_bytes / size as f64,
                a.memory_mib,
                a.memory_mib - b.memory_mib,
            );
        }
    }
}

/// Measures one router while it relays streams, for several numbers of tokens per stream.
pub async fn tokens(sizes: &[usize]) {
    const STREAM_COUNT: usize = 64;
    let fleet = start_fleet(VOTERS + 1).await;
    let mut fit = LinearFit::default();
    for &size in sizes {
        fleet
            .configure_fake(
                fleet.server_address("cheap"),
                &json!({ "tokens": size, "delay_us": 1_000 }),
            )
            .await;
        let before = ResourceUsage::measure(&fleet, VOTERS).await;
        send_requests(&fleet, STREAM_COUNT, true).await;
        let usage = ResourceUsage::measure(&fleet, VOTERS).await.since(&before);
        let micros = usage.cpu_seconds * 1e6 / STREAM_COUNT as f64;
        println!("  {size} tokens: {micros:.0} us of processor a stream");
        fit.add(size as f64, micros);
    }
    fit.print("us a stream");
}

async fn send_requests(fleet: &Fleet, count: usize, stream: bool) {
    use futures::StreamExt;
    static SESSION: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let body = json!({ "stream": stream, "messages": [{ "role": "user", "content": "hello" }] });
    let send_one = |_| {
        let number = SESSION.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (session, body) = (format!("s-{number}"), body.clone());
        async move {
            let answer = fleet.chat(VOTERS, &[("x-session-id", &session)], &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    };
    futures::stream::iter(0..count)
        .map(send_one)
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect::<()>()
        .await;
}

async fn start_fleet(size: usize) -> Fleet {
    let disks = (0..size).map(|i| i < VOTERS).collect();
    let fleet = Fleet::start(&FleetSpec { durable: disks, ..FleetSpec::default() }).await;
    fleet.apply(&ticket::initial(1)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Measures the fleet for [`MEASURE_DURATION`] and sums the daemons' usage by role.
async fn measure_roles(fleet: &Fleet) -> Vec<RoleUsage> {
    let before = ResourceUsage::measure_all(fleet).await;
    tokio::time::sleep(MEASURE_DURATION).await;
    let after = ResourceUsage::measure_all(fleet).await;
    let status = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
    let groups = &status["daemons"][0]["groups"][0];
    let is_voter =
        |name: &str| groups["voters"].as_array().is_some_and(|v| v.iter().any(|x| x == name));
    let mut roles = ["leader", "voter", "router"].map(|name| RoleUsage {
        name,
        usage: ResourceUsage::default(),
        count: 0,
    });
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let index = match (groups["leader"] == daemon.name.as_str(), is_voter(&daemon.name)) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        };
        let usage = after[i].since(&before[i]);
        let role = &mut roles[index];
        role.count += 1;
        role.usage.cpu_seconds += usage.cpu_seconds;
        role.usage.memory_mib += usage.memory_mib;
        role.usage.peer_bytes += usage.peer_bytes;
    }
    roles.into_iter().filter(|role| role.count > 0).collect()
}

/// Prints the mean usage of a role's daemons; returns their CPU use in percent of a core.
fn print_role_usage(size: usize, role: &RoleUsage) -> f64 {
    let seconds = MEASURE_DURATION.as_secs_f64();
    let mean = |total: f64| total / role.count as f64;
    let percent = mean(role.usage.cpu_seconds) / seconds * 100.0;
    println!(
        "  {size}: {} (of {}): {percent:.2}% of a core, {:.1} MiB, {:.2} KB/s to and from peers",
        role.name,
        role.count,
        mean(role.usage.memory_mib),
        mean(role.usage.peer_bytes) / seconds / 1e3,
    );
    percent
}
