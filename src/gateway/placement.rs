//! Places calls by what is learned of the servers of their pool.

use super::server_selection::SelectionCriteria;
use super::server_table::ServerState;
use super::{Gateway, ReportedLoad};
use crate::control::Config;
use crate::group::since_start;
use crate::name::{ModelName, PoolName};
use crate::policy::{
    PlacedCall, PlacementPolicy, PoolLearning, PoolShape, PoolView, ServerFacts, ServerKey,
};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What is learned of pools whose servers tell their load.
#[derive(Debug, Default)]
pub struct Placement {
    pools: Mutex<HashMap<PoolName, PoolLearning>>,
}

impl Placement {
    /// Takes in what a server of a pool says as it answers a call.
    pub fn hear(&self, pool: &PoolName, pace: Option<f64>, load: ReportedLoad) {
        let mut pools = self.pools.lock().expect("placement lock");
        if !pools.contains_key(pool) {
            pools.insert(pool.clone(), PoolLearning::default());
        }
        let others = f64::from((load.running + load.waiting).saturating_sub(1));
        pools.get_mut(pool).into_iter().for_each(|known| known.hear(pace, others));
    }

    fn with<F, T>(&self, pool: &PoolName, work: F) -> Option<T>
    where
        F: FnOnce(&mut PoolLearning) -> T,
    {
        self.pools.lock().expect("placement lock").get_mut(pool).map(work)
    }
}

/// What is known as a call is placed, and the chance that each server keeps its longest shared part.
#[derive(Debug)]
pub struct PlacementView {
    pool: PoolView,
    /// In the order of the servers.
    pub home_chances: Vec<f64>,
    way: Duration,
}

impl PlacementView {
    /// What the call is expected to take and cost at a server.
    pub fn rate(
        &self,
        server: &ServerState,
        is_near: bool,
        home: f64,
        criteria: &SelectionCriteria<'_>,
    ) -> PlacedCall {
        let snapshot = server.snapshot();
        let facts = ServerFacts {
            reported: snapshot.reported,
            since: snapshot.since_report,
            own_calls: snapshot.own_calls,
            slots: snapshot.slots,
            pending_tokens: snapshot.pending_tokens,
            failure_rate: snapshot.failure_rate,
            pace: snapshot.pace,
            way_ms: if is_near { 0.0 } else { self.way.as_secs_f64() * 1e3 },
        };
        let call = criteria.size();
        server.with_part_ages(|sent| self.pool.rate(&facts, &call, home, sent, since_start()))
    }
}

impl Gateway {
    /// Whether calls are placed by what is learned, where there is something to learn from.
    pub(super) fn learns_placement(&self) -> bool {
        self.settings.placement == PlacementPolicy::Learned
    }

    /// What is known for a call; `None` where it is placed by fixed times.
    pub(super) fn placement_view(
        &self,
        config: &Config,
        servers: &[&Arc<ServerState>],
        criteria: &SelectionCriteria<'_>,
    ) -> Option<PlacementView> {
        if !self.learns_placement() {
            return None;
        }
        let table = config.route_table.as_ref()?;
        let engine = table.pool(criteria.pool)?.engine.as_ref()?;
        let data_centres: HashSet<_> =
            servers.iter().map(|server| &server.vm.data_centre).collect();
        let shape = PoolShape {
            servers: servers.len(),
            data_centres: data_centres.len(),
            slots: f64::from(engine.max_batch),
            memory: engine.cache_tokens,
            routers: f64::from(self.router_count.load(Ordering::Relaxed).max(1)),
        };
        let call = criteria.size();
        let view =
            |known: &mut PoolLearning| known.view(&call, criteria.model, shape, since_start());
        let pool = self.placement.with(criteria.pool, view)?;
        let key = |server: &&Arc<ServerState>| ServerKey {
            hash: server.hash,
            near: server.vm.data_centre == *self.data_centre(),
        };
        let keys: Vec<ServerKey> = servers.iter().map(key).collect();
        let kib = criteria.body_bytes as f64 / 1024.0;
        let way = self.settings.way + self.settings.way_kib.mul_f64(kib);
        let home_chances = pool.home_chances(&call, &keys, way.as_secs_f64() * 1e3);
        Some(PlacementView { pool, home_chances, way })
    }
}

/// Learns from the answer to a call that was placed by what is learned.
#[derive(Debug)]
pub struct AnswerTiming {
    placement: Arc<Placement>,
    pool: PoolName,
    model: Option<ModelName>,
    placed: PlacedCall,
    /// How long work took at the server as it answered.
    pace: f64,
    first_at: Option<Instant>,
}

impl AnswerTiming {
    /// A call that is sent to the server that it was placed at.
    pub fn begin(
        placement: Arc<Placement>,
        criteria: &SelectionCriteria<'_>,
        placed: PlacedCall,
    ) -> Self {
        let call = criteria.size();
        placement.with(criteria.pool, |known| known.count(&call, &placed, since_start()));
        metrics::counter!("samphireshift_kept_prompt_tokens_total")
            .increment(placed.kept_tokens as u64);
        metrics::counter!("samphireshift_new_prompt_tokens_total")
            .increment(placed.new_tokens as u64);
        if placed.way_ms > 0.0 {
            metrics::counter!("samphireshift_calls_to_other_data_centres_total").increment(1);
        }
        let (pool, model) = (criteria.pool.clone(), criteria.model.cloned());
        Self { placement, pool, model, placed, pace: 1.0, first_at: None }
    }

    /// The first event has come from the server, `elapsed` after the call was sent.
    pub fn first_event(&mut self, server: &ServerState, elapsed: Duration) {
        if self.first_at.replace(Instant::now()).is_some() {
            return;
        }
        let ms = elapsed.as_secs_f64() * 1e3;
        let known = server.snapshot().pace;
        // The answer has just told the pace.
        let ratio = known.ratio(since_start());
        self.pace = known.named(since_start(), 1.0) * ratio;
        let expected = self.placed.first_ms;
        metrics::histogram!("samphireshift_first_event_ratio").record(ms / expected.max(1.0));
        log::debug!(
            "server {}: first event after {ms:.0} ms, {expected:.0} expected, work {:?}",
            server.vm.name,
            self.placed.work
        );
        let (model, placed, pace) = (self.model.as_ref(), &self.placed, self.pace);
        let learn = |known: &mut PoolLearning| known.first_event(model, placed, ms, pace);
        if let Some(shown) = self.placement.with(&self.pool, learn) {
            server.record_time_ratio(shown.ratio * ratio);
            self.count_shared(shown.kept_tokens);
        }
    }

    /// Counts the tokens of the call's longest shared part, kept or read, as expected and as the
    /// time shows.
    fn count_shared(&self, kept_tokens: f64) {
        let part = self.placed.doubtful;
        let count = |judged: &'static str, tokens: f64| {
            metrics::counter!("samphireshift_shared_prompt_tokens_total", "judged" => judged)
                .increment(tokens as u64);
        };
        count("expected_kept", part.tokens * part.chance);
        count("kept", kept_tokens);
        count("read", part.tokens - kept_tokens);
    }

    /// The whole answer has come, `elapsed` after the call was sent.
    pub fn finish(&self, elapsed: Duration) {
        let Some(first_at) = self.first_at else { return };
        let (ms, seconds) = (first_at.elapsed().as_secs_f64() * 1e3, elapsed.as_secs_f64());
        metrics::histogram!("samphireshift_answer_ratio")
            .record(ms / self.placed.answer_ms.max(1.0));
        let model = self.model.as_ref();
        let learn = |known: &mut PoolLearning| {
            known.finish(model, &self.placed, ms, seconds, self.pace);
        };
        self.placement.with(&self.pool, learn);
    }
}
