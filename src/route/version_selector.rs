use super::rating_health::RatingHealth;
use super::request::RequestMeta;
use crate::backend::Usage;
use crate::control::{Config, Organisation, RouterId, StatKey, StatsSummary};
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::{OrganisationName, TaskKind, VersionKey};
use crate::policy::{
    ChoiceContext, ChooseError, CountReport, Epoch, FleetStats, FleetStatsChange, ModelRef,
    RoutingPlan, SamplingParams, ShareDraw, StatDelta, StatsAggregator, VersionChoice, Weights,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

/// Number of shards of the counts, plans and local aggregators; each has its own lock.
const SHARD_COUNT: usize = 16;
/// Maximum number of keys in one report.
const MAX_REPORT_KEYS: usize = 32;
/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reports after a failed or malformed answer.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a version is excluded on the evidence of this router alone, without the leader.
const LOCAL_HOLD: Duration = Duration::from_secs(30);
/// A first token that takes longer than this counts as slow.
const SLOW_FIRST_TOKEN: Duration = Duration::from_millis(1_200);
/// Kind under which all kinds without a rule of their own are counted.
const DEFAULT_KIND: &str = "default";

/// Outcome of an attempt, or of a step of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// A complete answer: its usage and the time it took. The time of a stream starts with the
    /// arrival of the response head, that of a buffered answer with the first attempt.
    Completed(Usage, Duration),
    /// The engine responded with a server error other than 503 (overloaded).
    Failed,
    /// The answer was incomplete or not well-formed.
    Malformed,
    /// The first token of a stream arrived this long after the response head.
    FirstToken(Duration),
    /// The answer was rated, from 0 (worst) to 1 (best).
    Rated(f64),
}

/// Chooses versions by what is known of their quality, cost and failures.
///
/// It counts the outcomes of this router's attempts, reports them to the leader and takes over the
/// leader's statistics, which are merged from the reports of all routers. It excludes a version
/// immediately if this router's own counts show that it is bad.
pub struct VersionSelector {
    name: RouterId,
    weights: Weights,
    sample_permille: u64,
    journal: Arc<Journal>,
    /// Availability and latency of the rating service.
    pub rating_health: RatingHealth,
    counts: Vec<Mutex<HashMap<StatKey, StatDelta>>>,
    reports: Mutex<ReportState>,
    urgent: AtomicBool,
    fleet_stats: RwLock<Arc<FleetStats>>,
    aggregators: Vec<Mutex<StatsAggregator>>,
    held: RwLock<Arc<BTreeSet<VersionKey>>>,
    holds: Mutex<BTreeMap<VersionKey, Duration>>,
    generation: AtomicU64,
    plans: Vec<Mutex<PlanShard>>,
}

type PlanShard = HashMap<OrganisationName, HashMap<TaskKind, CachedPlan>>;

/// A plan and the inputs it was made from; it is stale when one of them has changed.
#[derive(Clone)]
struct CachedPlan {
    revision: u64,
    generation: u64,
    rating: bool,
    plan: Arc<RoutingPlan>,
}

/// The report that waits for its acknowledgement, and when the last one was made.
#[derive(Default)]
struct ReportState {
    number: u64,
    pending: Option<CountReport>,
    last_made: Duration,
    first_shard: usize,
}

impl VersionSelector {
    /// Creates a selector without any statistics. `sample_permille` is the configured share of
    /// answers to rate, in thousandths.
    pub fn new(
        name: RouterId,
        weights: Weights,
        sample_permille: u64,
        journal: Arc<Journal>,
    ) -> Arc<Self> {
        let new_aggregator =
            || Mutex::new(StatsAggregator::from_summary(0, &StatsSummary::default()));
        Arc::new(Self {
            name,
            weights,
            sample_permille,
            journal,
            rating_health: RatingHealth::healthy(),
            counts: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            reports: Mutex::default(),
            urgent: AtomicBool::new(false),
            fleet_stats: RwLock::default(),
            aggregators: (0..SHARD_COUNT).map(|_| new_aggregator()).collect(),
            held: RwLock::default(),
            holds: Mutex::default(),
            generation: AtomicU64::new(0),
            plans: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        })
    }

    /// Chooses a version for a request.
    ///
    /// # Errors
    /// Returns an error if no version may be chosen.
    pub fn choose(
        &self,
        config: &Config,
        organisation: &Organisation,
        meta: &RequestMeta,
        model: &ModelRef,
        draw: ShareDraw,
    ) -> Result<VersionChoice, ChooseError> {
        let kind = counted_kind(organisation, &meta.kind);
        let (fleet_stats, held) = (self.fleet_stats(), self.held());
        let rating = self.rating_health.latency_ms().filter(|_| self.sample_permille > 0);
        let (fleet_stats, held, weights) = (&*fleet_stats, &*held, self.weights);
        let context = ChoiceContext {
            config,
            organisation,
            kind: &kind,
            stats: fleet_stats,
            held,
            weights,
            rating_ms: rating,
        };
        match model {
            ModelRef::Any => self.cached_plan(&context)?.pick(&context, draw),
            _ => RoutingPlan::new(&context, model)?.pick(&context, draw),
        }
    }

    /// Records the outcome of an attempt. Ignored if the organisation is not in the configuration.
    pub fn record(
        &self,
        config: &Config,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
        outcome: AttemptOutcome,
    ) {
        let Some(found) = config.organisations.get(organisation) else { return };
        let kind = counted_kind(found, kind);
        let (organisation, version) = (organisation.clone(), version.clone());
        let key = StatKey { organisation, kind, version };
        let mut delta = StatDelta::new(key.clone());
        add_outcome(&mut delta, outcome);
        let mut shard =
            self.counts[shard_index(key.organisation.as_str())].lock().expect("count lock");
        add_outcome(
            shard.entry(key).or_insert_with_key(|key| StatDelta::new(key.clone())),
            outcome,
        );
        drop(shard);
        if matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Malformed) {
            self.urgent.store(true, Ordering::Relaxed);
        }
        self.update_holds(config, &delta);
    }

    /// Returns the share of a version's answers that is to be rated, in thousandths.
    pub fn sample_permille(
        &self,
        config: &Config,
        meta: &RequestMeta,
        version: &VersionKey,
    ) -> u64 {
        let organisation = config.organisations.get(&meta.organisation);
        let (Some(organisation), Some(found)) = (organisation, config.versions.get(version)) else {
            return 0;
        };
        let kind = counted_kind(organisation, &meta.kind);
        let fleet_stats = self.fleet_stats();
        let estimate = fleet_stats.quality(&organisation.name, &kind, version, found);
        let target = organisation.quality_target(&kind);
        let running = crate::control::RolloutStatus::Running;
        let rising = config.rollouts.values().any(|r| r.to == *version && r.status == running);
        let goal =
            SamplingParams { target, base_permille: self.sample_permille, in_rollout: rising };
        fleet_stats.sample_permille(&kind, version, &estimate, goal)
    }

    /// Returns the report to send now: the one that is not yet acknowledged, else a new one if it
    /// is due and there is something to report.
    pub fn next_report(&self) -> Option<CountReport> {
        let mut reports = self.reports.lock().expect("report lock");
        if reports.pending.is_some() {
            return reports.pending.clone();
        }
        let urgent = self.urgent.load(Ordering::Relaxed);
        let interval = if urgent { URGENT_REPORT_INTERVAL } else { REPORT_INTERVAL };
        if since_start() < reports.last_made + interval {
            return None;
        }
        self.urgent.store(false, Ordering::Relaxed);
        reports.first_shard += 1;
        let deltas = self.take_deltas(reports.first_shard);
        if deltas.is_empty() {
            return None;
        }
        reports.number += 1;
        reports.last_made = since_start();
        reports.pending = Some(CountReport { number: reports.number, deltas });
        reports.pending.clone()
    }

    /// Records that the leader has counted all reports up to `number`.
    pub fn acknowledge(&self, number: u64) {
        let mut reports = self.reports.lock().expect("report lock");
        if reports.pending.as_ref().is_some_and(|pending| pending.number <= number) {
            reports.pending = None;
        }
    }

    /// Returns the epoch up to which the leader's statistics were taken over.
    pub fn epoch(&self) -> Epoch {
        self.fleet_stats().epoch()
    }

    /// Applies a change of the leader's statistics.
    pub fn apply_change(&self, change: FleetStatsChange) {
        let mut fleet_stats = FleetStats::clone(&self.fleet_stats());
        fleet_stats.apply(change);
        *self.fleet_stats.write().expect("fleet stats lock") = Arc::new(fleet_stats);
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Readmits versions whose local hold has expired; their local evidence is discarded. A version
    /// that the leader has stopped by then stays excluded by the leader's decision.
    pub fn release_expired(&self) {
        let mut holds = self.holds.lock().expect("hold lock");
        let expired: Vec<_> = holds
            .iter()
            .filter(|(_, until)| since_start() >= **until)
            .map(|(k, _)| k.clone())
            .collect();
        for version in expired {
            holds.remove(&version);
            self.aggregator_of(&version).lock().expect("aggregator lock").drop_evidence(&version);
            self.publish_held(&holds);
        }
    }

    fn update_holds(&self, config: &Config, delta: &StatDelta) {
        let version = &delta.key.version;
        let mut aggregator = self.aggregator_of(version).lock().expect("aggregator lock");
        aggregator.observe(config, delta);
        let Some(verdict) =
            aggregator.monitor(version).and_then(|monitor| monitor.verdict().map(str::to_owned))
        else {
            return;
        };
        drop(aggregator);
        let mut holds = self.holds.lock().expect("hold lock");
        if holds.contains_key(version) {
            return;
        }
        holds.insert(version.clone(), since_start() + LOCAL_HOLD);
        self.publish_held(&holds);
        let event = Event::VersionHeld { version: version.clone(), evidence: verdict };
        self.journal.record(event);
    }

    fn publish_held(&self, holds: &BTreeMap<VersionKey, Duration>) {
        let held = holds.keys().cloned().collect();
        *self.held.write().expect("held lock") = Arc::new(held);
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    fn cached_plan(&self, context: &ChoiceContext<'_>) -> Result<Arc<RoutingPlan>, ChooseError> {
        let (revision, rating) = (context.config.revision, context.rating_ms.is_some());
        let generation = self.generation.load(Ordering::Relaxed);
        let name = &context.organisation.name;
        let mut shard = self.plans[shard_index(name.as_str())].lock().expect("plan lock");
        if let Some(found) = shard.get(name).and_then(|kinds| kinds.get(context.kind)) {
            let inputs = (found.revision, found.generation, found.rating);
            if inputs == (revision, generation, rating) {
                return Ok(found.plan.clone());
            }
        }
        let plan = Arc::new(RoutingPlan::new(context, &ModelRef::Any)?);
        let cached = CachedPlan { revision, generation, rating, plan: plan.clone() };
        shard.entry(name.clone()).or_default().insert(context.kind.clone(), cached);
        Ok(plan)
    }

    fn take_deltas(&self, first_shard: usize) -> Vec<StatDelta> {
        let mut deltas = Vec::new();
        for i in 0..SHARD_COUNT {
            let mut shard =
                self.counts[(first_shard + i) % SHARD_COUNT].lock().expect("count lock");
            let room = MAX_REPORT_KEYS - deltas.len();
            let keys: Vec<StatKey> = shard.keys().take(room).cloned().collect();
            deltas.extend(keys.iter().filter_map(|key| shard.remove(key)));
        }
        deltas
    }

    /// Returns the local aggregator for a version. Aggregators are sharded by model, because
    /// roll-outs only compare versions of the same model.
    fn aggregator_of(&self, version: &VersionKey) -> &Mutex<StatsAggregator> {
        &self.aggregators[shard_index(version.model.as_str())]
    }

    fn fleet_stats(&self) -> Arc<FleetStats> {
        self.fleet_stats.read().expect("fleet stats lock").clone()
    }

    fn held(&self) -> Arc<BTreeSet<VersionKey>> {
        self.held.read().expect("held lock").clone()
    }

    /// Returns the identity of this router, which is unique to each run of its process.
    pub fn name(&self) -> &RouterId {
        &self.name
    }
}

/// Returns the kind that a request is counted under. Callers may name any kind, so only kinds with
/// a rule of their own are counted separately; this limits the number of keys.
fn counted_kind(organisation: &Organisation, kind: &TaskKind) -> TaskKind {
    match organisation.rule(kind) {
        Some(rule) => rule.kind.clone(),
        None => TaskKind::new(DEFAULT_KIND),
    }
}

fn add_outcome(delta: &mut StatDelta, outcome: AttemptOutcome) {
    match outcome {
        AttemptOutcome::Completed(usage, took) => {
            delta.answers += 1;
            delta.prompt_tokens += usage.prompt_tokens;
            delta.answer_tokens += usage.completion_tokens;
            delta.duration_ms += took.as_millis() as u64;
        }
        AttemptOutcome::Failed => delta.failed += 1,
        AttemptOutcome::Malformed => delta.malformed += 1,
        AttemptOutcome::FirstToken(after) => {
            delta.first_tokens += 1;
            delta.slow += u32::from(after > SLOW_FIRST_TOKEN);
        }
        AttemptOutcome::Rated(quality) => delta.ratings.push((quality * 100.0).round() as u8),
    }
}

fn shard_index(name: &str) -> usize {
    crc32c::crc32c(name.as_bytes()) as usize % SHARD_COUNT
}
