use super::day::{APPLY_MS, Day, Trouble, limits};
use super::router::{Request, Response, Router};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::{
    CallKind, CallerLimits, Config, ConfiguredRoute, LeaseTable, PoolShare, RouteTable, RouterId,
};
use samphireshift::distribution::Publisher;
use samphireshift::name::{PoolName, VmName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long the leader holds a request without news, and how often it looks whether to accept.
const HOLD_MS: u64 = 500;
const CHECK_MS: u64 = 10;
/// One way, and the longest that a late message takes.
const DELAY_MS: u64 = 2;
const LATE_MS: u64 = 800;
/// For how long a leader that was replaced goes on where it does not check that it leads.
const STALE_MS: u64 = 1_500;
/// Routes before the first change.
const FIRST_ROUTES: u32 = 20;

/// A part of the sum that is left out, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeftOut {
    Nothing,
    /// The leader accepts a change once it is committed.
    OlderLeases,
    /// A new leader takes it that there are no leases of another one.
    EarlierLeader,
    /// The router's lease counts from the response.
    RequestTime,
    /// The leader does not record the lease that comes with the last chunk.
    LastChunk,
    /// A router without the newest revision extends its lease as well.
    NewestOnly,
    /// The router's clock stands still with its process.
    FrozenTime,
    /// A leader that was replaced still answers.
    Leadership,
}

/// A change of the configuration.
struct Change {
    revision: u64,
    committed_at: u64,
    accepted_at: Option<u64>,
}

struct Leader {
    epoch: u64,
    table: LeaseTable,
    held: Vec<(u64, Request)>,
}

enum Message {
    Request(Request),
    Response(Response),
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The router, and how long after the bound it worked under an older revision.
    pub violation: Option<String>,
    /// How often a router's lease ended.
    pub stops: usize,
    /// How long after a commit each router had installed the revision.
    pub delivery_ms: Vec<u64>,
    /// How long after its commit each change was accepted.
    pub accepted_after_ms: Vec<u64>,
}

pub struct Fleet<'a> {
    day: &'a Day,
    left_out: LeftOut,
    random: Pcg64Mcg,
    now: u64,
    routers: Vec<Router>,
    leader: Option<Leader>,
    /// A leader that was replaced, what it knows, and until when it answers.
    stale: Option<(Leader, u64, u64)>,
    epoch: u64,
    elected_at: u64,
    publishers: [Publisher; 2],
    config: Arc<Config>,
    changes: Vec<Change>,
    messages: BTreeMap<u64, Vec<Message>>,
    outcome: Outcome,
}

/// A time on the leader's clock, which began long before the day.
fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn lease_ms() -> u64 {
    limits().lease_duration().as_millis() as u64
}

fn id(router: usize) -> RouterId {
    RouterId { vm: VmName::new(format!("router-{router}")), run: 1 }
}

impl<'a> Fleet<'a> {
    pub fn new(day: &'a Day, left_out: LeftOut) -> Self {
        let mut fleet = Self {
            day,
            left_out,
            random: Pcg64Mcg::seed_from_u64(day.seed),
            now: 0,
            routers: (0..day.routers).map(|_| Router::default()).collect(),
            leader: None,
            stale: None,
            epoch: 0,
            elected_at: 0,
            publishers: Default::default(),
            config: Arc::default(),
            changes: Vec::new(),
            messages: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        fleet.publish(config(1, FIRST_ROUTES));
        fleet
    }

    pub fn play(mut self) -> Outcome {
        while self.now < self.day.length_ms && self.outcome.violation.is_none() {
            self.make_trouble();
            self.commit_changes();
            // Calls come first: a router that stood still has not heard of anything yet.
            self.check_routers();
            self.deliver();
            self.answer_held();
            self.accept_changes();
            self.send_requests();
            self.now += 1;
        }
        let took = |change: &Change| Some(change.accepted_at? - change.committed_at);
        self.outcome.accepted_after_ms = self.changes.iter().filter_map(took).collect();
        self.outcome
    }

    fn make_trouble(&mut self) {
        let (now, left_out) = (self.now, self.left_out);
        for (_, trouble) in self.day.troubles.iter().filter(|(at, _)| *at == now) {
            match *trouble {
                Trouble::NoLeader { for_ms } => {
                    let known = self.config.revision;
                    self.elected_at = now + for_ms;
                    if let Some(leader) = self.leader.take() {
                        self.stale = Some((leader, known, now + for_ms + STALE_MS));
                    }
                }
                Trouble::Frozen { router, for_ms } => {
                    self.routers[router].freeze(now, for_ms, left_out);
                }
                Trouble::Cut { router, for_ms } => self.routers[router].cut_until = now + for_ms,
            }
        }
        if self.leader.is_none() && now >= self.elected_at {
            self.epoch += 1;
            let since = match left_out {
                LeftOut::EarlierLeader => Duration::ZERO,
                _ => at(now),
            };
            let table = LeaseTable::new(limits().lease_duration(), since);
            self.leader = Some(Leader { epoch: self.epoch, table, held: Vec::new() });
        }
    }

    fn commit_changes(&mut self) {
        if self.leader.is_none() {
            return;
        }
        // A change that comes without a leader is sent again until there is one.
        let made = self.changes.len();
        let mut due: Vec<_> = self.day.changes.iter().filter(|(at, _)| *at <= self.now).collect();
        due.sort();
        for (_, routes) in due.into_iter().skip(made) {
            let revision = self.config.revision + 1;
            let total = self.route_count() + routes;
            self.publish(config(revision, total));
            self.changes.push(Change { revision, committed_at: self.now, accepted_at: None });
        }
    }

    fn route_count(&self) -> u32 {
        self.config.route_table.as_ref().map_or(0, |table| table.routes.len() as u32)
    }

    fn publish(&mut self, config: Arc<Config>) {
        self.publishers.iter().for_each(|publisher| publisher.publish_config(&config));
        self.config = config;
    }

    fn check_routers(&mut self) {
        let now = self.now;
        for (number, router) in self.routers.iter().enumerate() {
            if now > 0 && router.expires_at == now {
                self.outcome.stops += 1;
            }
            if router.is_frozen(now) || now >= router.expires_at {
                continue;
            }
            let is_late = |change: &&Change| {
                let accepted = change.accepted_at.is_some_and(|at| now > at + APPLY_MS);
                change.revision > router.installed && accepted
            };
            if let Some(change) = self.changes.iter().find(is_late) {
                self.outcome.violation = Some(format!(
                    "router {number} works under {} at {now}, {} was accepted at {:?}",
                    router.installed, change.revision, change.accepted_at
                ));
            }
        }
    }

    fn deliver(&mut self) {
        // What arrives at a router that stands still waits in its socket.
        for message in self.messages.remove(&self.now).unwrap_or_default() {
            match message {
                Message::Request(request) => self.take_request(request),
                Message::Response(response)
                    if self.routers[response.router].is_frozen(self.now) =>
                {
                    let until = self.routers[response.router].frozen_until;
                    self.messages.entry(until).or_default().push(Message::Response(response));
                }
                Message::Response(response) => self.take_response(&response),
            }
        }
    }

    fn take_request(&mut self, request: Request) {
        let now = self.now;
        let stale = self.stale.as_mut().map(|(leader, ..)| leader);
        let leader = self.leader.as_mut().into_iter().chain(stale);
        if let Some(leader) = leader.into_iter().find(|leader| leader.epoch == request.epoch) {
            leader.table.acknowledge(&id(request.router), request.revision);
            leader.held.push((now, request));
        }
    }

    fn take_response(&mut self, response: &Response) {
        let router = &mut self.routers[response.router];
        if !router.receive(self.now, response, lease_ms(), self.left_out) {
            return;
        }
        let installed = router.installed;
        if let Some(change) = self.changes.iter().find(|change| change.revision == installed) {
            self.outcome.delivery_ms.push(self.now - change.committed_at);
        }
    }

    fn answer_held(&mut self) {
        let newest = self.config.revision;
        if let Some(mut leader) = self.leader.take() {
            self.answer(&mut leader, newest);
            self.leader = Some(leader);
        }
        if let Some((mut leader, known, until)) = self.stale.take()
            && self.left_out == LeftOut::Leadership
            && self.now < until
        {
            self.answer(&mut leader, known);
            self.stale = Some((leader, known, until));
        }
    }

    fn answer(&mut self, leader: &mut Leader, newest: u64) {
        let now = self.now;
        let is_due = |at: u64, request: &Request| {
            !request.wait || newest > request.revision || now >= at + HOLD_MS
        };
        let (due, held) = leader.held.drain(..).partition(|(at, request)| is_due(*at, request));
        leader.held = held;
        let due: Vec<(u64, Request)> = due;
        for (_, request) in due {
            let publisher = &self.publishers[leader.epoch as usize % 2];
            let is_stale = newest < self.config.revision;
            let chunk = publisher.read_config(&request.position).filter(|_| !is_stale);
            let is_partial = chunk.as_ref().is_some_and(|chunk| !chunk.is_last());
            let is_last = chunk.as_ref().is_some_and(|chunk| chunk.is_last());
            let unrecorded = is_last && self.left_out == LeftOut::LastChunk;
            if !is_partial && !unrecorded {
                leader.table.grant(at(now), id(request.router), request.revision);
            }
            let response = Response {
                router: request.router,
                number: request.number,
                revision: newest,
                chunk,
            };
            let bytes = response.chunk.as_ref().map_or(0, |chunk| chunk.bytes.len() as u64) + 100;
            let link_ms = self.day.backlog_ms + bytes * 8 / self.day.link_kbit;
            self.send(Message::Response(response), request.router, link_ms);
        }
    }

    fn accept_changes(&mut self) {
        let Some(leader) = &self.leader else { return };
        if !self.now.is_multiple_of(CHECK_MS) {
            return;
        }
        let until = at(self.now) + limits().max_lag();
        let in_force = leader.table.is_in_force(until, self.config.revision);
        if in_force || self.left_out == LeftOut::OlderLeases {
            let open = self.changes.iter_mut().filter(|change| change.accepted_at.is_none());
            open.for_each(|change| change.accepted_at = Some(self.now));
        }
    }

    fn send_requests(&mut self) {
        let (now, epoch) = (self.now, self.epoch);
        for number in 0..self.routers.len() {
            if self.routers[number].is_frozen(now) {
                continue;
            }
            // Where no message gets through, a router cannot tell whether there is a new leader.
            let stale = self.stale.as_ref().map(|(leader, ..)| leader.epoch);
            let epoch = stale.filter(|_| self.random.random_bool(0.5)).unwrap_or(epoch);
            if let Some(request) = self.routers[number].ask(now, number, epoch) {
                self.send(Message::Request(request), number, 0);
            }
        }
    }

    /// Sends a message of or to a router, which may be lost, doubled or late.
    fn send(&mut self, message: Message, router: usize, link_ms: u64) {
        if self.now < self.routers[router].cut_until || self.random.random_bool(self.day.loss) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.day.loss));
        for _ in 0..copies {
            let late = match self.random.random_bool(self.day.loss) {
                true => self.random.random_range(0..LATE_MS),
                false => 0,
            };
            let arrives = self.now + DELAY_MS + link_ms + late;
            let copy = match &message {
                Message::Request(request) => Message::Request(*request),
                Message::Response(response) => Message::Response(response.clone()),
            };
            self.messages.entry(arrives).or_default().push(copy);
        }
    }
}

fn config(revision: u64, routes: u32) -> Arc<Config> {
    let route = |number: u32| {
        Arc::new(ConfiguredRoute {
            name: format!("r-i6y7z5k{number}"),
            host: "ficu95.example".to_owned(),
            prefix: format!("/pufi{number}/"),
            kind: CallKind::Idempotent,
            timeout: Duration::from_secs(6),
            latency_target: Duration::from_secs(3),
            gap_target: None,
            priority: 1,
            max_attempts: 3,
            public: false,
            models: Vec::new(),
            pools: vec![PoolShare { pool: PoolName::new("pool"), weight: 1 }],
        })
    };
    let table = RouteTable {
        number: revision,
        routes: (0..routes).map(route).collect(),
        pools: Vec::new(),
        limits: CallerLimits::default(),
        organisations: None,
        document: bytes::Bytes::new(),
    };
    Arc::new(Config { revision, route_table: Some(Arc::new(table)), ..Config::default() })
}
