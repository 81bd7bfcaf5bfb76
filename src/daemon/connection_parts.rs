//! The leader's parts of the connections that servers accept.

use super::Node;
use crate::group::since_start;
use crate::name::PoolName;
use crate::peer::{ConnectionReport, ConnectionResponse};
use crate::policy::ConnectionParts;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// The most connections to one server that are shared out; sums over all routers stay within their type.
const MAX_CAP: u32 = 1 << 20;

/// The parts of the newest term in which this daemon led the control group, by pool.
#[derive(Debug, Default)]
pub struct LeaderConnections {
    inner: Mutex<TermParts>,
}

#[derive(Debug, Default)]
struct TermParts {
    term: u64,
    /// When the first report of the term came.
    first_report: Duration,
    pools: BTreeMap<PoolName, ConnectionParts>,
}

impl Node {
    /// Counts what a router uses and needs, and returns its parts.
    pub fn share_connections(&self, report: &ConnectionReport) -> ConnectionResponse {
        let not_leader = ConnectionResponse::NotLeader { address: self.leader_address() };
        let control = self.cluster.control();
        let status = control.status();
        if !status.leading || !control.may_serve_reads() {
            return not_leader;
        }
        let config = self.read_control(|state| state.config().clone());
        let Some(table) = config.route_table.as_ref() else { return not_leader };
        let fleet = self.live_router_count().max(report.fleet);
        let now = since_start();
        let mut inner = self.connections.inner.lock().expect("parts lock");
        if inner.term > status.term {
            return not_leader;
        }
        if inner.term < status.term {
            *inner = TermParts { term: status.term, first_report: now, pools: BTreeMap::new() };
        }
        let cap = |pool: &PoolName| {
            let cap = table.pool(pool)?.max_connections;
            (cap < u32::MAX).then_some(cap.min(MAX_CAP))
        };
        inner.pools.retain(|pool, _| cap(pool).is_some());
        let (mut parts, first_report) = (Vec::new(), inner.first_report);
        for (pool, told) in &report.pools {
            let Some(cap) = cap(pool) else { continue };
            let known = inner.pools.entry(pool.clone());
            let new = || ConnectionParts::new(status.leader_since, first_report);
            let known = known.or_insert_with(new);
            parts.push((pool.clone(), known.report(now, &report.router, *told, (cap, fleet))));
        }
        ConnectionResponse::Known { parts }
    }
}
