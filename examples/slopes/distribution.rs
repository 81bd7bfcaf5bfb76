//! Cost of distributing a configuration change from the leader to its routers.

use crate::linear_fit::LinearFit;
use bytes::Bytes;
use samphireshift::control::{
    CallKind, CallerLimits, Config, ConfiguredRoute, KeyHash, PoolShare, PoolSpec,
    RouteOrganisation, RouteTable,
};
use samphireshift::distribution::{Publisher, RouterState};
use samphireshift::name::{OrganisationName, PoolName};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Routes before the change.
const ROUTES: u32 = 2_000;
/// Routes that the large change adds.
const ADDED: u32 = 2_000;
const ORGANISATIONS: u32 = 40;

/// Time and bytes of one change.
#[derive(Debug, Default)]
struct Cost {
    leader: Duration,
    /// The sum over all routers.
    routers: Duration,
    bytes: usize,
    chunks: usize,
}

/// Measures a change of one route, of 2,000 routes, and a whole state, for several numbers of
/// routers; and beside it what encoding the whole configuration for each router costs.
pub fn run(sizes: &[usize]) {
    let small = |revision| config(revision, ROUTES, revision * 100);
    let large = |revision| match revision {
        1 => config(revision, ROUTES, 100),
        _ => config(revision, ROUTES + ADDED, 100),
    };
    measure("one route changed", sizes, small, false);
    measure("2,000 routes added", sizes, large, false);
    measure("2,000 routes, all routers start", sizes, small, true);
    measure_whole(sizes, &small(1));
}

fn measure<F>(what: &str, sizes: &[usize], config: F, fresh: bool)
where
    F: Fn(u64) -> Arc<Config>,
{
    let mut fit = LinearFit::default();
    for &size in sizes {
        let publisher = Publisher::default();
        let mut routers: Vec<RouterState> = (0..size).map(|_| RouterState::default()).collect();
        publisher.publish_config(&config(1));
        if !fresh {
            distribute(&publisher, &mut routers);
        }
        let next = config(2);
        let started = Instant::now();
        if !fresh {
            publisher.publish_config(&next);
        }
        let published = started.elapsed();
        let mut cost = distribute(&publisher, &mut routers);
        cost.leader += published;
        print_cost(what, size, &cost);
        fit.add(size as f64, cost.leader.as_secs_f64() * 1e3);
    }
    fit.print(&format!("{what}: leader, ms"));
}

/// Lets all routers read in turn, a chunk each, until they have everything. What tarpc adds to a
/// message is not included.
fn distribute(publisher: &Publisher, routers: &mut [RouterState]) -> Cost {
    let mut cost = Cost::default();
    let mut busy = true;
    while busy {
        busy = false;
        for router in routers.iter_mut() {
            let position = router.config_position();
            let started = Instant::now();
            let Some(chunk) = publisher.read_config(&position) else { continue };
            let encoded = postcard::to_stdvec(&chunk).expect("chunks always serialise");
            let sent = Instant::now();
            let chunk = postcard::from_bytes(&encoded).expect("a chunk");
            router.receive_config(Some(&chunk)).expect("a usable chunk");
            cost.leader += sent - started;
            cost.routers += sent.elapsed();
            cost.bytes += encoded.len();
            cost.chunks += 1;
            busy = true;
        }
    }
    cost
}

fn measure_whole(sizes: &[usize], config: &Arc<Config>) {
    for &size in sizes {
        let mut cost = Cost::default();
        for _ in 0..size {
            let started = Instant::now();
            let encoded = postcard::to_stdvec(config).expect("configurations always serialise");
            let sent = Instant::now();
            let _: Config = postcard::from_bytes(&encoded).expect("a configuration");
            cost.leader += sent - started;
            cost.routers += sent.elapsed();
            cost.bytes += encoded.len();
            cost.chunks += 1;
        }
        print_cost("whole, encoded for each router, with the document", size, &cost);
    }
}

fn print_cost(what: &str, size: usize, cost: &Cost) {
    println!(
        "  {what}, {size} routers: leader {:.2} ms, router {:.3} ms and {:.0} B in {:.1} chunks each",
        cost.leader.as_secs_f64() * 1e3,
        cost.routers.as_secs_f64() * 1e3 / size as f64,
        cost.bytes as f64 / size as f64,
        cost.chunks as f64 / size as f64,
    );
}

/// A configuration of `count` routes, the first with another timeout in each revision. The document
/// is about as long as those that operators send.
fn config(revision: u64, count: u32, timeout_ms: u64) -> Arc<Config> {
    let timeout = |number| if number == 0 { timeout_ms } else { 6_000 };
    let routes: Vec<_> = (0..count).map(|number| route(number, timeout(number))).collect();
    let document: Vec<_> = routes.iter().map(|route| route_document(route)).collect();
    let organisation = |number: u32| RouteOrganisation {
        name: OrganisationName::new(format!("organisation-{number}")),
        keys: (0..3).map(|key| KeyHash::of(&format!("{number}-{key}"))).collect(),
        priority: Some(1),
    };
    let table = RouteTable {
        number: revision,
        document: Bytes::from(json!({ "version": revision, "routes": document }).to_string()),
        routes,
        pools: vec![PoolSpec { name: PoolName::new("pool"), max_connections: 630, engine: None }],
        limits: CallerLimits::default(),
        organisations: Some((0..ORGANISATIONS).map(organisation).collect()),
    };
    Arc::new(Config { revision, route_table: Some(Arc::new(table)), ..Config::default() })
}

fn route(number: u32, timeout_ms: u64) -> Arc<ConfiguredRoute> {
    Arc::new(ConfiguredRoute {
        name: format!("r-i6y7z5k{number}"),
        host: "ficu95.example".to_owned(),
        prefix: format!("/pufi{number}/"),
        kind: CallKind::Idempotent,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(3_000),
        gap_target: None,
        priority: 1,
        max_attempts: 3,
        public: false,
        models: Vec::new(),
        pools: vec![PoolShare { pool: PoolName::new("pool"), weight: 1 }],
    })
}

/// The route as an operator writes it: JSON with words for names.
fn route_document(route: &ConfiguredRoute) -> serde_json::Value {
    json!({
        "name": route.name, "host": route.host, "prefix": route.prefix, "kind": "idempotent",
        "timeout_milliseconds": route.timeout.as_millis() as u64,
        "latency_target_milliseconds": 3_000, "priority": 1, "pool": "pool",
        "attempts": 3, "open_to_all": false, "affinity": false, "may_resume": false,
    })
}
