//! Slopes of real daemons.

use crate::env::{Fleet, FleetSpec, http, ticket};
use crate::fit::Fit;
use crate::sample::Sample;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const VOTERS: usize = 3;
const SETTLE: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(6);
const REQUESTS_AT_ONCE: usize = 8;

/// Means of one role's daemons over a span.
#[derive(Debug, Clone, Copy)]
struct Role {
    name: &'static str,
    used: Sample,
    count: usize,
}

/// Idle daemons, by role, against their number.
pub async fn daemons(sizes: &[usize]) {
    let mut fits = [Fit::default(), Fit::default(), Fit::default()];
    for &size in sizes {
        let fleet = start(size).await;
        for (role, fit) in roles(&fleet).await.iter().zip(&mut fits) {
            fit.add(size as f64, print_span(size, role));
        }
    }
    for (name, fit) in ["leader", "voter", "router"].into_iter().zip(&fits) {
        fit.print(&format!("{name}, percent of a core"));
    }
}

/// One router against the number of backend servers in the VM list.
pub async fn replicas(sizes: &[usize]) {
    let mut fit = Fit::default();
    let fleet = start(VOTERS + 1).await;
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
        let all = roles(&fleet).await;
        let router = all.iter().find(|role| role.name == "router").expect("a router");
        fit.add(size as f64, print_span(size, router));
    }
    fit.print("router, percent of a core");
}

/// Tickets one after another, each until it is in force everywhere, against the number of daemons.
pub async fn tickets(sizes: &[usize]) {
    const TICKETS: u64 = 40;
    let mut fit = Fit::default();
    for &size in sizes {
        let fleet = start(size).await;
        let before = Sample::all(&fleet).await;
        let mut millis = Vec::new();
        for number in 2..2 + TICKETS {
            let change = json!({ "number": number, "author": "slopes",
                "models": [{ "name": "cheap", "description": format!("change {number}") }] });
            let started = Instant::now();
            fleet.apply(&change).await;
            millis.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let after = Sample::all(&fleet).await;
        millis.sort_by(f64::total_cmp);
        let used: Vec<Sample> = after.iter().zip(&before).map(|(a, b)| a.since(b)).collect();
        let each = |part: fn(&Sample) -> f64| used.iter().map(part).sum::<f64>() / TICKETS as f64;
        let (median, worst) = (millis[millis.len() / 2], millis[millis.len() - 1]);
        println!(
            "  {size} daemons: in force after {median:.0} ms (median), {worst:.0} ms (worst of {TICKETS}); all daemons together {:.1} ms of processor and {:.1} KB a ticket, idle share included",
            each(|s| s.cpu) * 1e3,
            each(|s| s.bytes) / 1e3,
        );
        fit.add(size as f64, median);
    }
    fit.print("ms until in force");
}

/// Requests of new sessions through one router.
pub async fn requests(sizes: &[usize]) {
    let fleet = start(VOTERS + 1).await;
    for &size in sizes {
        let before = Sample::all(&fleet).await;
        let started = Instant::now();
        send(&fleet, size, false).await;
        let took = started.elapsed().as_secs_f64();
        let after = Sample::all(&fleet).await;
        println!("  {size} requests in {took:.1} s ({:.0} a second):", size as f64 / took);
        for (i, (a, b)) in after.iter().zip(&before).enumerate() {
            let used = a.since(b);
            println!(
                "    {}: {:.0} us of processor, {:.0} B to and from peers a request, {:.1} MiB (grew {:.1})",
                fleet.daemons[i].name,
                used.cpu * 1e6 / size as f64,
                used.bytes / size as f64,
                a.memory,
                a.memory - b.memory,
            );
        }
    }
}

/// Streams through one router, against the tokens of each.
pub async fn tokens(sizes: &[usize]) {
    const STREAMS: usize = 64;
    let fleet = start(VOTERS + 1).await;
    let mut fit = Fit::default();
    for &size in sizes {
        fleet
            .configure_fake(
                fleet.server_address("cheap"),
                &json!({ "tokens": size, "delay_us": 1_000 }),
            )
            .await;
        let before = Sample::take(&fleet, VOTERS).await;
        send(&fleet, STREAMS, true).await;
        let used = Sample::take(&fleet, VOTERS).await.since(&before);
        let micros = used.cpu * 1e6 / STREAMS as f64;
        println!("  {size} tokens: {micros:.0} us of processor a stream");
        fit.add(size as f64, micros);
    }
    fit.print("us a stream");
}

async fn send(fleet: &Fleet, count: usize, stream: bool) {
    use futures::StreamExt;
    static SESSION: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let body = json!({ "stream": stream, "messages": [{ "role": "user", "content": "hello" }] });
    let one = |_| {
        let number = SESSION.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (session, body) = (format!("s-{number}"), body.clone());
        async move {
            let answer = fleet.chat(VOTERS, &[("x-session-id", &session)], &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    };
    futures::stream::iter(0..count)
        .map(one)
        .buffer_unordered(REQUESTS_AT_ONCE)
        .collect::<()>()
        .await;
}

async fn start(size: usize) -> Fleet {
    let disks = (0..size).map(|i| i < VOTERS).collect();
    let fleet = Fleet::start(&FleetSpec { durable: disks, ..FleetSpec::default() }).await;
    fleet.apply(&ticket::initial(1)).await;
    tokio::time::sleep(SETTLE).await;
    fleet
}

/// Watches a fleet for a span and sorts its daemons by role.
async fn roles(fleet: &Fleet) -> Vec<Role> {
    let before = Sample::all(fleet).await;
    tokio::time::sleep(SPAN).await;
    let after = Sample::all(fleet).await;
    let status = fleet.operate(0, "GET", "/v1/status", &Value::Null).await.json();
    let groups = &status["daemons"][0]["groups"][0];
    let is_voter =
        |name: &str| groups["voters"].as_array().is_some_and(|v| v.iter().any(|x| x == name));
    let mut roles =
        ["leader", "voter", "router"].map(|name| Role { name, used: Sample::default(), count: 0 });
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let at = match (groups["leader"] == daemon.name.as_str(), is_voter(&daemon.name)) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        };
        let used = after[i].since(&before[i]);
        let role = &mut roles[at];
        role.count += 1;
        role.used.cpu += used.cpu;
        role.used.memory += used.memory;
        role.used.bytes += used.bytes;
    }
    roles.into_iter().filter(|role| role.count > 0).collect()
}

/// Prints a role's means over the span; gives its percent of a core.
fn print_span(size: usize, role: &Role) -> f64 {
    let span = SPAN.as_secs_f64();
    let mean = |total: f64| total / role.count as f64;
    let percent = mean(role.used.cpu) / span * 100.0;
    println!(
        "  {size}: {} (of {}): {percent:.2}% of a core, {:.1} MiB, {:.2} KB/s to and from peers",
        role.name,
        role.count,
        mean(role.used.memory),
        mean(role.used.bytes) / span / 1e3,
    );
    percent
}
