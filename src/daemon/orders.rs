//! Orders to load or unload versions, sent to engines by the control group's leader with a fencing
//! token.

use super::Node;
use crate::backend::{LoadReport, WritePermit};
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

/// Interval at which engines are compared with the configuration while orders are outstanding.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same interval while no order is needed and the configuration is unchanged.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time for the response to an order. An engine answers when it has started a load, not
/// when the load is complete.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Fencing number issued by the control group, and the term in which this leader obtained it.
/// Engines reject orders with a lower number than the highest that they have seen.
#[derive(Debug, Clone, Copy)]
struct FencingToken {
    term: u64,
    number: u64,
}

/// Permits writing an order while this daemon leads in the term in which the order's token was
/// issued.
struct OrderPermit {
    control: Arc<Group>,
    term: u64,
}

impl OrderPermit {
    fn is_valid(&self) -> bool {
        self.control.status().term == self.term && self.control.may_serve_reads()
    }
}

impl WritePermit for OrderPermit {
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool {
        if !self.is_valid() {
            return false;
        }
        write();
        self.is_valid()
    }
}

/// Sends orders to engines while this daemon leads the control group, forever.
pub async fn issue_orders(node: Arc<Node>) {
    let mut current_token: Option<FencingToken> = None;
    let mut settled_revision = None;
    let mut idle_time = Duration::ZERO;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        idle_time += CHECK_INTERVAL;
        // Once the leases granted by the previous leader have expired, so has its permission to
        // send orders.
        if !matches!(node.live_routers(), Some(Some(_))) {
            (current_token, settled_revision) = (None, None);
            continue;
        }
        let config = node.read_control(|state| state.config().clone());
        if settled_revision == Some(config.revision) && idle_time < IDLE_CHECK_INTERVAL {
            continue;
        }
        idle_time = Duration::ZERO;
        let engines = query_engines(&node, &config).await;
        let orders = ready_orders(&node, &config, &engines);
        let is_settled = orders.is_empty() && node.is_in_force(config.revision);
        settled_revision = is_settled.then_some(config.revision);
        if orders.is_empty() {
            continue;
        }
        let term = node.cluster.control().status().term;
        if current_token.is_none_or(|token| token.term != term) {
            current_token = issue_token(&node, term).await;
        }
        let Some(token) = current_token else { continue };
        let sent = orders.iter().map(|(vm, order)| send_order(&node, token, vm, order));
        let refused = futures::future::join_all(sent).await.contains(&true);
        // A refusal means that an engine has seen a higher number. Drop the token, so that the next
        // round queries the engines again and obtains a new one.
        current_token = current_token.filter(|_| !refused);
    }
}

/// Orders that may be sent now. Unloads wait until the configuration, and so the withdrawal of the
/// version, is in force on all routers.
fn ready_orders(
    node: &Node,
    config: &Config,
    engines: &[(Arc<Vm>, EngineState)],
) -> Vec<(Arc<Vm>, Order)> {
    let states: Vec<EngineState> = engines.iter().map(|(_, state)| state.clone()).collect();
    let in_force = node.is_in_force(config.revision);
    let mut orders = Vec::new();
    for order in plan_orders(config, &states) {
        let found = engines.iter().find(|(vm, _)| vm.name == order.server);
        let ready = order.kind == OrderKind::Load || in_force;
        if let Some((vm, _)) = found.filter(|_| ready) {
            orders.push((vm.clone(), order));
        }
    }
    orders
}

/// Queries which versions are loaded on the engines of pools that have a withdrawn version or the
/// target of a roll-out.
async fn query_engines(node: &Node, config: &Config) -> Vec<(Arc<Vm>, EngineState)> {
    let is_target = |key: &VersionKey| config.rollouts.values().any(|rollout| rollout.to == *key);
    let relevant = |v: &&Version| v.state == VersionState::Withdrawn || is_target(&v.key());
    let versions = config.versions.values().filter(relevant);
    let pools: BTreeSet<_> = versions.map(|version| version.pool.clone()).collect();
    let Some(router) = &node.router else { return Vec::new() };
    let vm_index = router.vms.current();
    let servers = pools.iter().flat_map(|pool| vm_index.pool(pool).to_vec());
    let queries = servers.map(|vm| async move {
        let bytes = router.connections.get(vm.address, "/v1/load").await?;
        let report = serde_json::from_slice::<LoadReport>(&bytes).ok()?;
        let loaded = report.versions.iter().filter_map(|text| VersionKey::parse(text)).collect();
        let state = EngineState { server: vm.name.clone(), pool: vm.pool.clone(), loaded };
        Some((vm, state))
    });
    futures::future::join_all(queries).await.into_iter().flatten().collect()
}

async fn issue_token(node: &Node, term: u64) -> Option<FencingToken> {
    let command =
        postcard::to_stdvec(&ControlCommand::IssueFence).expect("commands always serialise");
    let outcome = node.cluster.control().submit(command.into()).await.ok()?;
    match postcard::from_bytes(&outcome) {
        Ok(ControlOutcome::Fence(number)) => Some(FencingToken { term, number }),
        _ => None,
    }
}

/// Sends one order; true if the engine refused it because it has seen a higher fencing number.
async fn send_order(node: &Node, token: FencingToken, vm: &Vm, order: &Order) -> bool {
    let body = serde_json::json!({
        "fence": token.number, "order": order.kind.as_str(), "version": order.version.to_string(),
    });
    let request = Request::post("/v1/orders")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is valid");
    let Some(router) = &node.router else { return false };
    let Ok(mut connection) = router.connections.acquire(vm.address, true).await else {
        return false;
    };
    let control = node.cluster.control().clone();
    connection.set_permit(Arc::new(OrderPermit { control, term: token.term }));
    node.journal.record(Event::OrderSent {
        server: vm.name.clone(),
        order: format!("{} {}", order.kind.as_str(), order.version),
        fence: token.number,
    });
    match tokio::time::timeout(ORDER_TIMEOUT, connection.send(request)).await {
        Ok(Ok(response)) => response.status() == StatusCode::CONFLICT,
        _ => false,
    }
}
