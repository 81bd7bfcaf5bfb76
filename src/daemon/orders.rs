//! Orders to engines, given by the control group's leader under a fencing number.

use super::Node;
use crate::backend::{LoadReport, Permit};
use crate::control::{
    Config, ControlCommand, ControlOutcome, EngineState, Order, OrderKind, Version, VersionState,
    plan_orders,
};
use crate::event::Event;
use crate::group::Group;
use crate::name::VersionKey;
use crate::vms::Vm;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How often engines are compared with the configuration while orders are open.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How often where nothing was to be ordered and the configuration is the same.
const LOOK_IDLE: Duration = Duration::from_secs(5);
/// How long an engine may take to answer an order; it takes a load as begun, not done.
const ORDER_LIMIT: Duration = Duration::from_secs(1);

/// The fencing number taken in one term.
#[derive(Debug, Clone, Copy)]
struct Fence {
    term: u64,
    number: u64,
}

/// Leave to order: this daemon leads in the term in which the order's number was taken.
struct OrderPermit {
    control: Arc<Group>,
    term: u64,
}

impl OrderPermit {
    fn is_valid(&self) -> bool {
        self.control.status().term == self.term && self.control.may_serve_reads()
    }
}

impl Permit for OrderPermit {
    fn hold(&self, write: &mut dyn FnMut()) -> bool {
        if !self.is_valid() {
            return false;
        }
        write();
        self.is_valid()
    }
}

/// Orders engines for as long as this daemon leads, for ever.
pub async fn keep_orders(node: Arc<Node>) {
    let mut held: Option<Fence> = None;
    let mut done = None;
    let mut rested = Duration::ZERO;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        rested += LOOK_EVERY;
        // The predecessor's leave to order has run out when its routers' leases have.
        if !matches!(node.live_routers(), Some(Some(_))) {
            (held, done) = (None, None);
            continue;
        }
        let config = node.control(|state| state.config().clone());
        if done == Some(config.revision) && rested < LOOK_IDLE {
            continue;
        }
        rested = Duration::ZERO;
        let engines = read_engines(&node, &config).await;
        let orders = ripe_orders(&node, &config, &engines);
        let settled = orders.is_empty() && node.is_in_force(config.revision);
        done = settled.then_some(config.revision);
        if orders.is_empty() {
            continue;
        }
        let term = node.cluster.control().status().term;
        if held.is_none_or(|fence| fence.term != term) {
            held = take_fence(&node, term).await;
        }
        let Some(fence) = held else { continue };
        let sent = orders.iter().map(|(vm, order)| send(&node, fence, vm, order));
        let refused = futures::future::join_all(sent).await.contains(&true);
        // An engine has seen a newer number; what it knows was read before, so look again.
        held = held.filter(|_| !refused);
    }
}

/// Orders that may be given now: an unload only once the withdrawal is in force.
fn ripe_orders(
    node: &Node,
    config: &Config,
    engines: &[(Arc<Vm>, EngineState)],
) -> Vec<(Arc<Vm>, Order)> {
    let states: Vec<EngineState> = engines.iter().map(|(_, state)| state.clone()).collect();
    let in_force = node.is_in_force(config.revision);
    let mut orders = Vec::new();
    for order in plan_orders(config, &states) {
        let found = engines.iter().find(|(vm, _)| vm.vm == order.server);
        let ripe = order.kind == OrderKind::Load || in_force;
        if let Some((vm, _)) = found.filter(|_| ripe) {
            orders.push((vm.clone(), order));
        }
    }
    orders
}

/// Asks every engine of the pools that matter what it holds.
async fn read_engines(node: &Node, config: &Config) -> Vec<(Arc<Vm>, EngineState)> {
    let new = |key: &VersionKey| config.rollouts.values().any(|rollout| rollout.to == *key);
    let matters = |v: &&Version| v.state == VersionState::Withdrawn || new(&v.key());
    let versions = config.versions.values().filter(matters);
    let pools: BTreeSet<_> = versions.map(|version| version.pool.clone()).collect();
    let Some(router) = &node.router else { return Vec::new() };
    let listing = router.vms.now();
    let servers = pools.iter().flat_map(|pool| listing.pool(pool).to_vec());
    let asks = servers.map(|vm| async move {
        let bytes = router.connections.get(vm.address, "/v1/load").await?;
        let report = serde_json::from_slice::<LoadReport>(&bytes).ok()?;
        let loaded = report.versions.iter().filter_map(|text| VersionKey::parse(text)).collect();
        let state = EngineState { server: vm.vm.clone(), pool: vm.pool.clone(), loaded };
        Some((vm, state))
    });
    futures::future::join_all(asks).await.into_iter().flatten().collect()
}

async fn take_fence(node: &Node, term: u64) -> Option<Fence> {
    let command =
        postcard::to_stdvec(&ControlCommand::IssueFence).expect("commands always serialise");
    let outcome = node.cluster.control().submit(command.into()).await.ok()?;
    match postcard::from_bytes(&outcome) {
        Ok(ControlOutcome::Fence(number)) => Some(Fence { term, number }),
        _ => None,
    }
}

/// Sends one order; true where the engine refused it for a newer number.
async fn send(node: &Node, fence: Fence, vm: &Vm, order: &Order) -> bool {
    let body = serde_json::json!({
        "fence": fence.number, "order": order.kind.as_str(), "version": order.version.to_string(),
    });
    let request = Request::post("/v1/orders")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is well formed");
    let Some(router) = &node.router else { return false };
    let Ok(mut lent) = router.connections.take(vm.address, true).await else { return false };
    let control = node.cluster.control().clone();
    lent.guard(Arc::new(OrderPermit { control, term: fence.term }));
    node.journal.record(Event::OrderSent {
        server: vm.vm.clone(),
        order: format!("{} {}", order.kind.as_str(), order.version),
        fence: fence.number,
    });
    match tokio::time::timeout(ORDER_LIMIT, lent.send(request)).await {
        Ok(Ok(response)) => response.status() == StatusCode::CONFLICT,
        _ => false,
    }
}
