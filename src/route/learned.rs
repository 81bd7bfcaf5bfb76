use super::rating_health::RatingHealth;
use super::request::Meta;
use crate::backend::Usage;
use crate::control::{Config, Organisation, Router as RouterName, StatKey, Summary};
use crate::event::{Event, Journal};
use crate::group::since_start;
use crate::name::{OrganisationName, TaskKind, VersionKey};
use crate::policy::{
    Board, Choice, ChooseError, CountReport, Delta, Draw, Epoch, Goal, Knowledge, KnowledgeChange,
    Plan, Scene, Weights, Wish,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

/// The shards of counts, plans and own boards, each under its own lock.
const SHARDS: usize = 16;
/// Keys that one report carries at most.
const REPORT_KEYS: usize = 32;
/// The time between two reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// The time between two reports when something went wrong.
const URGENT_EVERY: Duration = Duration::from_millis(200);
/// How long a version is held back on this router's own evidence alone.
const HOLD: Duration = Duration::from_secs(30);
/// A first token later than this counts as late.
const LATE: Duration = Duration::from_millis(1_200);
/// The kind under which all kinds without a rule are counted.
const OTHER_KIND: &str = "default";

/// What became of one attempt at an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    /// A whole answer, after this time.
    Whole(Usage, Duration),
    /// The engine answered with an error.
    Failed,
    /// The answer was not whole or not well-formed.
    Malformed,
    /// The first token of a stream came after this time.
    First(Duration),
    /// The answer was rated, from 0 to 1.
    Rated(f64),
}

/// What this router learns from its answers, and from those of others through the leader.
pub struct Learner {
    name: RouterName,
    weights: Weights,
    setting: u64,
    journal: Arc<Journal>,
    /// Whether ratings come.
    pub health: RatingHealth,
    counts: Vec<Mutex<HashMap<StatKey, Delta>>>,
    reports: Mutex<Reports>,
    urgent: AtomicBool,
    knowledge: RwLock<Arc<Knowledge>>,
    boards: Vec<Mutex<Board>>,
    held: RwLock<Arc<BTreeSet<VersionKey>>>,
    holds: Mutex<BTreeMap<VersionKey, Duration>>,
    changes: AtomicU64,
    plans: Vec<Mutex<PlanShard>>,
}

type PlanShard = HashMap<OrganisationName, HashMap<TaskKind, Planned>>;

/// A plan and what it was made from.
#[derive(Clone)]
struct Planned {
    revision: u64,
    changes: u64,
    rating: bool,
    plan: Arc<Plan>,
}

/// The report that waits for its acknowledgement.
#[derive(Default)]
struct Reports {
    number: u64,
    pending: Option<CountReport>,
    last: Duration,
    start: usize,
}

impl Learner {
    /// Starts with nothing learned; `setting` is the share of answers to rate, in thousandths.
    pub fn open(
        name: RouterName,
        weights: Weights,
        setting: u64,
        journal: Arc<Journal>,
    ) -> Arc<Self> {
        let board = || Mutex::new(Board::open(0, &Summary::default()));
        Arc::new(Self {
            name,
            weights,
            setting,
            journal,
            health: RatingHealth::open(),
            counts: (0..SHARDS).map(|_| Mutex::default()).collect(),
            reports: Mutex::default(),
            urgent: AtomicBool::new(false),
            knowledge: RwLock::default(),
            boards: (0..SHARDS).map(|_| board()).collect(),
            held: RwLock::default(),
            holds: Mutex::default(),
            changes: AtomicU64::new(0),
            plans: (0..SHARDS).map(|_| Mutex::default()).collect(),
        })
    }

    /// Chooses a version for a request.
    ///
    /// # Errors
    /// Where nothing may be chosen.
    pub fn choose(
        &self,
        config: &Config,
        organisation: &Organisation,
        meta: &Meta,
        wish: &Wish,
        draw: Draw,
    ) -> Result<Choice, ChooseError> {
        let kind = counted_kind(organisation, &meta.kind);
        let (knowledge, held) = (self.knowledge(), self.held());
        let rating = self.health.millis().filter(|_| self.setting > 0);
        let (knowledge, held, weights) = (&*knowledge, &*held, self.weights);
        let scene = Scene { config, organisation, kind: &kind, knowledge, held, weights, rating };
        match wish {
            Wish::Any => self.plan(&scene)?.pick(&scene, draw),
            _ => Plan::new(&scene, wish)?.pick(&scene, draw),
        }
    }

    /// Notes what became of an attempt.
    pub fn note(
        &self,
        config: &Config,
        organisation: &OrganisationName,
        kind: &TaskKind,
        version: &VersionKey,
        seen: Seen,
    ) {
        let Some(found) = config.organisations.get(organisation) else { return };
        let kind = counted_kind(found, kind);
        let (organisation, version) = (organisation.clone(), version.clone());
        let key = StatKey { organisation, kind, version };
        let mut one = Delta::new(key.clone());
        count(&mut one, seen);
        let mut shard = self.counts[place(key.organisation.as_str())].lock().expect("count lock");
        count(shard.entry(key).or_insert_with_key(|key| Delta::new(key.clone())), seen);
        drop(shard);
        if matches!(seen, Seen::Failed | Seen::Malformed) {
            self.urgent.store(true, Ordering::Relaxed);
        }
        self.judge(config, &one);
    }

    /// The share of a version's answers that is to be rated, in thousandths.
    pub fn sample(&self, config: &Config, meta: &Meta, version: &VersionKey) -> u64 {
        let organisation = config.organisations.get(&meta.organisation);
        let (Some(organisation), Some(found)) = (organisation, config.versions.get(version)) else {
            return 0;
        };
        let kind = counted_kind(organisation, &meta.kind);
        let knowledge = self.knowledge();
        let estimate = knowledge.quality(&organisation.name, &kind, version, found);
        let target = organisation.target(&kind);
        let running = crate::control::RolloutStatus::Running;
        let rising = config.rollouts.values().any(|r| r.to == *version && r.status == running);
        let goal = Goal { target, setting: self.setting, rising };
        knowledge.sample(&kind, version, &estimate, goal)
    }

    /// The report to send now: the one not yet acknowledged, or a new one where it is due.
    pub fn report(&self) -> Option<CountReport> {
        let mut reports = self.reports.lock().expect("report lock");
        if reports.pending.is_some() {
            return reports.pending.clone();
        }
        let urgent = self.urgent.load(Ordering::Relaxed);
        let every = if urgent { URGENT_EVERY } else { REPORT_EVERY };
        if since_start() < reports.last + every {
            return None;
        }
        self.urgent.store(false, Ordering::Relaxed);
        reports.start += 1;
        let deltas = self.drain(reports.start);
        if deltas.is_empty() {
            return None;
        }
        reports.number += 1;
        reports.last = since_start();
        reports.pending = Some(CountReport { number: reports.number, deltas });
        reports.pending.clone()
    }

    /// Notes that the leader took in all reports up to `number`.
    pub fn acknowledge(&self, number: u64) {
        let mut reports = self.reports.lock().expect("report lock");
        if reports.pending.as_ref().is_some_and(|pending| pending.number <= number) {
            reports.pending = None;
        }
    }

    /// What the knowledge is up to date with.
    pub fn epoch(&self) -> Epoch {
        self.knowledge().epoch()
    }

    /// Takes over what the leader learned.
    pub fn learn(&self, change: KnowledgeChange) {
        let mut knowledge = Knowledge::clone(&self.knowledge());
        knowledge.apply(change);
        *self.knowledge.write().expect("knowledge lock") = Arc::new(knowledge);
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Lets go of versions that were held back long enough without the leader's agreement.
    pub fn release(&self) {
        let mut holds = self.holds.lock().expect("hold lock");
        let over: Vec<_> = holds
            .iter()
            .filter(|(_, until)| since_start() >= **until)
            .map(|(k, _)| k.clone())
            .collect();
        for version in over {
            holds.remove(&version);
            self.board(&version).lock().expect("board lock").forget(&version);
            self.publish(&holds);
        }
    }

    fn judge(&self, config: &Config, delta: &Delta) {
        let version = &delta.key.version;
        let mut board = self.board(version).lock().expect("board lock");
        board.observe(config, delta);
        let Some(verdict) = board.judge(version).and_then(|j| j.verdict().map(str::to_owned))
        else {
            return;
        };
        drop(board);
        let mut holds = self.holds.lock().expect("hold lock");
        if holds.contains_key(version) {
            return;
        }
        holds.insert(version.clone(), since_start() + HOLD);
        self.publish(&holds);
        let event = Event::VersionHeld { version: version.clone(), evidence: verdict };
        self.journal.record(event);
    }

    fn publish(&self, holds: &BTreeMap<VersionKey, Duration>) {
        let held = holds.keys().cloned().collect();
        *self.held.write().expect("held lock") = Arc::new(held);
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    fn plan(&self, scene: &Scene<'_>) -> Result<Arc<Plan>, ChooseError> {
        let (revision, rating) = (scene.config.revision, scene.rating.is_some());
        let changes = self.changes.load(Ordering::Relaxed);
        let name = &scene.organisation.name;
        let mut shard = self.plans[place(name.as_str())].lock().expect("plan lock");
        if let Some(found) = shard.get(name).and_then(|kinds| kinds.get(scene.kind)) {
            let fresh = (found.revision, found.changes, found.rating);
            if fresh == (revision, changes, rating) {
                return Ok(found.plan.clone());
            }
        }
        let plan = Arc::new(Plan::new(scene, &Wish::Any)?);
        let planned = Planned { revision, changes, rating, plan: plan.clone() };
        shard.entry(name.clone()).or_default().insert(scene.kind.clone(), planned);
        Ok(plan)
    }

    fn drain(&self, start: usize) -> Vec<Delta> {
        let mut deltas = Vec::new();
        for i in 0..SHARDS {
            let mut shard = self.counts[(start + i) % SHARDS].lock().expect("count lock");
            let room = REPORT_KEYS - deltas.len();
            let keys: Vec<StatKey> = shard.keys().take(room).cloned().collect();
            deltas.extend(keys.iter().filter_map(|key| shard.remove(key)));
        }
        deltas
    }

    /// The own board that judges a version; roll-outs stay within one model.
    fn board(&self, version: &VersionKey) -> &Mutex<Board> {
        &self.boards[place(version.model.as_str())]
    }

    fn knowledge(&self) -> Arc<Knowledge> {
        self.knowledge.read().expect("knowledge lock").clone()
    }

    fn held(&self) -> Arc<BTreeSet<VersionKey>> {
        self.held.read().expect("held lock").clone()
    }

    /// This router in this run of its process.
    pub fn name(&self) -> &RouterName {
        &self.name
    }
}

/// The kind that a request is counted under: callers may name any, so only those with a rule of
/// their own are kept apart.
fn counted_kind(organisation: &Organisation, kind: &TaskKind) -> TaskKind {
    match organisation.rule(kind) {
        Some(rule) => rule.kind.clone(),
        None => TaskKind::new(OTHER_KIND),
    }
}

fn count(delta: &mut Delta, seen: Seen) {
    match seen {
        Seen::Whole(usage, took) => {
            delta.answers += 1;
            delta.prompt += usage.prompt_tokens;
            delta.tokens += usage.completion_tokens;
            delta.millis += took.as_millis() as u64;
        }
        Seen::Failed => delta.failed += 1,
        Seen::Malformed => delta.malformed += 1,
        Seen::First(after) => {
            delta.firsts += 1;
            delta.slow += u32::from(after > LATE);
        }
        Seen::Rated(quality) => delta.ratings.push((quality * 100.0).round() as u8),
    }
}

fn place(name: &str) -> usize {
    crc32c::crc32c(name.as_bytes()) as usize % SHARDS
}
