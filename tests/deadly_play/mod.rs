//! A fleet of servers of which some end under certain calls, on virtual time, without network, with the
//! leader's suspicion or a naive policy.

#![allow(missing_docs, reason = "one test uses it")]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::Suspect;
use samphireshift::name::VmName;
use samphireshift::policy::{PartSuspicion, RunEnd};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const STEP_MS: u64 = 10;
pub const LENGTH_MS: u64 = 40_000;
/// Calls a second.
pub const CALL_RATE: f64 = 70.0;
/// How long a server that has ended is away.
pub const RESTART_MS: u64 = 3_000;
/// How long a run takes, at least and at most.
pub const RUN_MS: (u64, u64) = (200, 1_800);
/// How long after its start a deadly run ends its server.
pub const DEADLY_MS: (u64, u64) = (200, 900);
pub const MAX_ATTEMPTS: u32 = 3;
/// Servers that may end under one call.
pub const MAX_ENDED: u32 = 2;
/// Time from an event at a router to the leader, and from the leader to all routers.
pub const DELAY_MS: u64 = 60;
/// The part that all calls share.
pub const SYSTEM_PROMPT: u64 = 1;
/// The first of the parts that one organisation's calls share.
pub const ORGANISATIONS: std::ops::Range<u64> = 100..112;
/// The first of the parts that few calls share.
pub const SUBJECTS: std::ops::Range<u64> = 1_000..1_200;
pub const DEADLY: [u64; 2] = [7, 8];
/// A sound request that many callers send.
pub const HOT: u64 = 1;
/// The request that ends servers, when it first comes, and at what intervals it comes again.
pub const DEADLY_REQUEST: u64 = 2;
pub const FIRST_WAVE_MS: u64 = 6_000;
pub const WAVE_MS: u64 = 4_500;
/// How long after its start the deadly request ends its server.
pub const DEADLY_REQUEST_MS: (u64, u64) = (50, 100);
/// How often its caller tries each time, and the pause between.
pub const CALLER_TRIES: u32 = 3;
pub const CALLER_PAUSE_MS: u64 = 30;

/// What happens on a day.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The share of calls with each deadly part.
    pub deadly: [f64; 2],
    /// Servers that end by themselves, a second.
    pub crashes: f64,
    /// Servers that end at the same moment, every ten seconds.
    pub racks: usize,
    /// Whether the servers have had no traffic before.
    pub cold: bool,
    pub servers: usize,
    /// Whether a request comes again and again that ends its server.
    pub request: bool,
    /// The share of calls that are all the same sound request.
    pub hot: f64,
    /// Whether calls name the parts of a prompt.
    pub prompts: bool,
    /// When another leader, which has only what routers report anew, takes over.
    pub new_leader: Option<u64>,
}

pub const CALM: Load = Load {
    deadly: [0.0, 0.0],
    crashes: 0.0,
    racks: 0,
    cold: false,
    servers: 18,
    request: false,
    hot: 0.0,
    prompts: true,
    new_leader: None,
};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    Suspicion,
    TryOn,
    NeverRepeat,
}

/// A run at a server.
#[derive(Debug, Clone)]
pub struct Run {
    suspects: Vec<Suspect>,
    server: usize,
    sent_at: u64,
    ends_at: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub sound_calls: usize,
    pub sound_refused: usize,
    pub sound_failed: usize,
    /// Servers that a deadly part ended.
    pub servers_lost: usize,
    /// Deadly calls sent later than three seconds after the fifth end by that part.
    pub late_deadly: usize,
    /// The deadly request sent later than three seconds after the third end by it.
    pub late_requests: usize,
    pub blocked: BTreeSet<Suspect>,
}

pub struct Fleet {
    random: Pcg64Mcg,
    load: Load,
    policy: Policy,
    now: u64,
    down_until: Vec<u64>,
    runs: Vec<Run>,
    suspicion: PartSuspicion,
    /// Reports on their way to the leader.
    reports: Vec<(u64, RunEnd)>,
    /// All ends, and when they were, for another leader.
    reported: Vec<(u64, RunEnd)>,
    sound: Vec<(u64, Vec<Suspect>)>,
    last_sound: BTreeMap<Suspect, u64>,
    /// What is blocked, and since when the routers know.
    blocked: BTreeMap<Suspect, u64>,
    watched: Vec<(u64, BTreeSet<Suspect>)>,
    ends: BTreeMap<Suspect, Vec<u64>>,
    next_request: u64,
    /// When the caller of the deadly request tries again, and how often it has tried.
    caller: Option<(u64, u32)>,
    outcome: Outcome,
}

impl Fleet {
    pub fn play(load: Load, policy: Policy, seed: u64) -> Outcome {
        let mut fleet = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            load,
            policy,
            now: 0,
            down_until: vec![0; load.servers],
            runs: Vec::new(),
            suspicion: PartSuspicion::default(),
            reports: Vec::new(),
            reported: Vec::new(),
            next_request: 1_000,
            caller: None,
            sound: Vec::new(),
            last_sound: BTreeMap::new(),
            blocked: BTreeMap::new(),
            watched: Vec::new(),
            ends: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        while fleet.now < LENGTH_MS {
            fleet.now += STEP_MS;
            fleet.arrivals();
            fleet.deadly_caller();
            fleet.crashes();
            fleet.finish_runs();
            fleet.lead();
        }
        fleet.outcome
    }

    /// Whether trouble has begun: before, the servers have only sound traffic.
    fn in_trouble(&self) -> bool {
        self.load.cold || self.now > 5_000
    }

    fn arrivals(&mut self) {
        if !self.random.random_bool(CALL_RATE * STEP_MS as f64 / 1e3) {
            return;
        }
        let organisation =
            ORGANISATIONS.start + (self.random.random::<f64>().powi(2) * 12.0) as u64;
        let subject = self.random.random_range(SUBJECTS);
        let mut suspects = Vec::new();
        if self.load.prompts {
            suspects = [SYSTEM_PROMPT, organisation, subject].map(Suspect::Part).to_vec();
        }
        let draw: f64 = self.random.random();
        let [first, second] = self.load.deadly;
        if self.in_trouble() && draw < first + second {
            suspects.push(Suspect::Part(if draw < first { DEADLY[0] } else { DEADLY[1] }));
        }
        self.next_request += 1;
        let is_hot = self.random.random_bool(self.load.hot);
        suspects.push(Suspect::Request(if is_hot { HOT } else { self.next_request }));
        let is_sound = deadly(&suspects).is_none();
        self.outcome.sound_calls += usize::from(is_sound);
        if suspects.iter().any(|suspect| self.is_blocked(*suspect)) {
            self.outcome.sound_refused += usize::from(is_sound);
            return;
        }
        self.send(suspects, 0);
    }

    /// The caller of the deadly request sends it, and tries again where it fails.
    fn deadly_caller(&mut self) {
        let is_wave = self.now >= FIRST_WAVE_MS
            && (self.now - FIRST_WAVE_MS).is_multiple_of(WAVE_MS)
            && self.load.request;
        if is_wave {
            self.caller = Some((self.now, 0));
        }
        if let Some((at, tries)) = self.caller.filter(|(at, _)| self.now >= *at) {
            let suspects = vec![Suspect::Request(DEADLY_REQUEST)];
            self.caller = (tries + 1 < CALLER_TRIES).then_some((u64::MAX, tries + 1));
            if !self.is_blocked(suspects[0]) && at != u64::MAX {
                self.send(suspects, 0);
            }
        }
    }

    fn is_blocked(&self, suspect: Suspect) -> bool {
        self.blocked.get(&suspect).is_some_and(|since| self.now >= *since)
    }

    fn is_watched(&self, suspects: &[Suspect]) -> bool {
        let known = self.watched.iter().rev().find(|(at, _)| *at <= self.now);
        known.is_some_and(|(_, watched)| suspects.iter().any(|suspect| watched.contains(suspect)))
    }

    fn send(&mut self, suspects: Vec<Suspect>, attempts: u32) {
        let up: Vec<usize> =
            (0..self.load.servers).filter(|server| self.down_until[*server] <= self.now).collect();
        let deadly = deadly(&suspects);
        if up.is_empty() {
            self.outcome.sound_failed += usize::from(deadly.is_none());
            return;
        }
        if let Some(suspect) = deadly {
            let allowed = if suspect == Suspect::Request(DEADLY_REQUEST) { 3 } else { 5 };
            let last = self.ends.get(&suspect).and_then(|ends| ends.get(allowed - 1));
            let late = last.is_some_and(|last| self.now > last + 3_000);
            match suspect {
                Suspect::Part(_) => self.outcome.late_deadly += usize::from(late),
                Suspect::Request(_) => self.outcome.late_requests += usize::from(late),
            }
        }
        let server = up[self.random.random_range(0..up.len())];
        let (least, most) = match deadly {
            None => RUN_MS,
            Some(Suspect::Part(_)) => DEADLY_MS,
            Some(Suspect::Request(_)) => DEADLY_REQUEST_MS,
        };
        let ends_at = self.now + self.random.random_range(least..most);
        let (sent_at, attempts) = (self.now, attempts + 1);
        self.runs.push(Run { suspects, server, sent_at, ends_at, attempts });
    }

    /// Servers that end without a call's doing.
    fn crashes(&mut self) {
        if !self.in_trouble() {
            return;
        }
        if self.random.random_bool(self.load.crashes * STEP_MS as f64 / 1e3) {
            let server = self.random.random_range(0..self.load.servers);
            self.end_server(server);
        }
        if self.now.is_multiple_of(10_000) {
            (0..self.load.racks).for_each(|server| self.end_server(server));
        }
    }

    fn end_server(&mut self, server: usize) {
        self.down_until[server] = self.now + RESTART_MS;
        let (ended, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<Run>, _>(|run| run.server == server);
        self.runs = running;
        let name = VmName::new(format!("server-{server}-{}", self.now));
        for run in ended {
            let (suspects, age) =
                (run.suspects.clone(), Duration::from_millis(self.now - run.sent_at));
            let end = RunEnd { suspects, server: name.clone(), age, ago: Duration::ZERO };
            self.reported.push((self.now, end.clone()));
            self.reports.push((self.now + DELAY_MS, end));
            let blocked = run.suspects.iter().any(|suspect| self.is_blocked(*suspect));
            let again = match self.policy {
                Policy::Suspicion => {
                    !blocked && !self.is_watched(&run.suspects) && run.attempts < MAX_ENDED
                }
                Policy::TryOn => true,
                Policy::NeverRepeat => false,
            };
            let deadly = deadly(&run.suspects);
            match again && run.attempts < MAX_ATTEMPTS {
                true => self.send(run.suspects, run.attempts),
                false if deadly.is_none() => self.outcome.sound_failed += 1,
                false if deadly == Some(Suspect::Request(DEADLY_REQUEST)) => {
                    let (_, tries) = self.caller.unwrap_or((0, CALLER_TRIES));
                    let again = tries < CALLER_TRIES;
                    self.caller = again.then_some((self.now + CALLER_PAUSE_MS, tries));
                }
                false => {}
            }
        }
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        while let Some(index) = self.runs.iter().position(|run| run.ends_at <= now) {
            let run = self.runs[index].clone();
            if let Some(suspect) = deadly(&run.suspects) {
                self.ends.entry(suspect).or_default().push(self.now);
                self.outcome.servers_lost += 1;
                self.end_server(run.server);
                continue;
            }
            self.runs.swap_remove(index);
            self.sound.push((self.now + DELAY_MS, run.suspects));
        }
    }

    /// Another leader takes over and learns what the routers report anew.
    fn change_leader(&mut self) {
        self.suspicion = PartSuspicion::default();
        let at = Duration::from_millis(self.now);
        for (ended_at, end) in &self.reported {
            let ago = Duration::from_millis(self.now - ended_at);
            self.suspicion.record_end(at, &RunEnd { ago, ..end.clone() });
        }
        self.reports.clear();
    }

    /// What the leader does with the reports that have arrived.
    fn lead(&mut self) {
        let (now, at) = (self.now, Duration::from_millis(self.now));
        if self.load.new_leader == Some(now) {
            self.change_leader();
        }
        for (_, suspects) in self.sound.extract_if(.., |(due, _)| *due <= now) {
            self.suspicion.record_sound_runs(at, 1);
            for suspect in suspects {
                self.last_sound.insert(suspect, now - DELAY_MS);
            }
        }
        for (_, end) in self.reports.extract_if(.., |(due, _)| *due <= now) {
            self.suspicion.record_end(at, &end);
        }
        let watched: BTreeSet<Suspect> = self.suspicion.watched().collect();
        for suspect in &watched {
            if let Some(sound_at) = self.last_sound.get(suspect) {
                self.suspicion.record_sound(*suspect, Duration::from_millis(*sound_at));
            }
        }
        self.watched.push((now + DELAY_MS, watched));
        if self.policy != Policy::Suspicion {
            return;
        }
        while let Some(convict) = self.suspicion.convict(at) {
            self.blocked.insert(convict.suspect, now + DELAY_MS);
            self.outcome.blocked.insert(convict.suspect);
        }
    }
}

pub fn deadly(suspects: &[Suspect]) -> Option<Suspect> {
    let is_deadly = |suspect: &Suspect| match suspect {
        Suspect::Part(id) => DEADLY.contains(id),
        Suspect::Request(id) => *id == DEADLY_REQUEST,
    };
    suspects.iter().copied().find(is_deadly)
}
