//! The load that `policy/part_suspicion.rs` answers: one part of a prompt ends every server that
//! begins to answer a call with it, or one request that comes again does. A fleet of servers is played on virtual time, without network,
//! against two naive policies: to try on as if nothing were known, and never to try again.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::control::Suspect;
use samphireshift::name::VmName;
use samphireshift::policy::{PartSuspicion, RunEnd};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 12;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// Calls a second.
const CALL_RATE: f64 = 70.0;
/// How long a server that has ended is away.
const RESTART_MS: u64 = 3_000;
/// How long a run takes, at least and at most.
const RUN_MS: (u64, u64) = (200, 1_800);
/// How long after its start a deadly run ends its server.
const DEADLY_MS: (u64, u64) = (200, 900);
const MAX_ATTEMPTS: u32 = 3;
/// Servers that may end under one call.
const MAX_ENDED: u32 = 2;
/// Time from an event at a router to the leader, and from the leader to all routers.
const DELAY_MS: u64 = 60;
/// The part that all calls share.
const SYSTEM_PROMPT: u64 = 1;
/// The first of the parts that one organisation's calls share.
const ORGANISATIONS: std::ops::Range<u64> = 100..112;
/// The first of the parts that few calls share.
const SUBJECTS: std::ops::Range<u64> = 1_000..1_200;
const DEADLY: [u64; 2] = [7, 8];
/// A sound request that many callers send.
const HOT: u64 = 1;
/// The request that ends servers, when it first comes, and at what intervals it comes again.
const DEADLY_REQUEST: u64 = 2;
const FIRST_WAVE_MS: u64 = 6_000;
const WAVE_MS: u64 = 4_500;
/// How long after its start the deadly request ends its server.
const DEADLY_REQUEST_MS: (u64, u64) = (50, 100);
/// How often its caller tries each time, and the pause between.
const CALLER_TRIES: u32 = 3;
const CALLER_PAUSE_MS: u64 = 30;

/// What happens on a day.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// The share of calls with each deadly part.
    deadly: [f64; 2],
    /// Servers that end by themselves, a second.
    crashes: f64,
    /// Servers that end at the same moment, every ten seconds.
    racks: usize,
    /// Whether the servers have had no traffic before.
    cold: bool,
    servers: usize,
    /// Whether a request comes again and again that ends its server.
    request: bool,
    /// The share of calls that are all the same sound request.
    hot: f64,
    /// Whether calls name the parts of a prompt.
    prompts: bool,
    /// When another leader, which has only what routers report anew, takes over.
    new_leader: Option<u64>,
}

const CALM: Load = Load {
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
enum Policy {
    Suspicion,
    TryOn,
    NeverRepeat,
}

/// A run at a server.
#[derive(Debug, Clone)]
struct Run {
    suspects: Vec<Suspect>,
    server: usize,
    sent_at: u64,
    ends_at: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    sound_calls: usize,
    sound_refused: usize,
    sound_failed: usize,
    /// Servers that a deadly part ended.
    servers_lost: usize,
    /// Deadly calls sent later than three seconds after the fifth end by that part.
    late_deadly: usize,
    /// The deadly request sent later than three seconds after the third end by it.
    late_requests: usize,
    blocked: BTreeSet<Suspect>,
}

struct Fleet {
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
    fn play(load: Load, policy: Policy, seed: u64) -> Outcome {
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

fn deadly(suspects: &[Suspect]) -> Option<Suspect> {
    let is_deadly = |suspect: &Suspect| match suspect {
        Suspect::Part(id) => DEADLY.contains(id),
        Suspect::Request(id) => *id == DEADLY_REQUEST,
    };
    suspects.iter().copied().find(is_deadly)
}

/// Guards against requests of one kind that end server after server.
#[rstest]
#[case::one_in_twenty(Load { deadly: [0.05, 0.0], ..CALM })]
#[case::one_in_fifty(Load { deadly: [0.02, 0.0], ..CALM })]
#[case::one_in_five(Load { deadly: [0.2, 0.0], ..CALM })]
#[case::beside_ordinary_crashes(Load { deadly: [0.05, 0.0], crashes: 0.3, ..CALM })]
#[case::beside_racks_that_end(Load { deadly: [0.05, 0.0], racks: 6, ..CALM })]
#[case::two_parts_at_once(Load { deadly: [0.03, 0.03], ..CALM })]
#[case::from_a_cold_start(Load { deadly: [0.05, 0.0], cold: true, ..CALM })]
fn a_part_that_ends_servers_is_found_and_nothing_else(#[case] load: Load) {
    for seed in 0..SEEDS {
        let found = Fleet::play(load, Policy::Suspicion, seed);
        let expected = DEADLY.iter().zip(load.deadly).filter(|(_, share)| *share > 0.0);
        let expected: BTreeSet<Suspect> = expected.map(|(part, _)| Suspect::Part(*part)).collect();
        println!("seed {seed}: {found:?}");
        assert!(found.blocked.is_superset(&expected), "seed {seed}: {found:?}");
        // The users' bound: three calls later than three seconds after the fifth end.
        assert!(found.late_deadly <= 3, "seed {seed}: {found:?}");
        let refused = found.sound_refused as f64 / found.sound_calls as f64;
        assert!(refused < 0.02, "seed {seed}: {refused}");
        let (on, never) = (Policy::TryOn, Policy::NeverRepeat);
        let (on, never) = (Fleet::play(load, on, seed), Fleet::play(load, never, seed));
        println!("  try on {on:?}\n  never {never:?}");
        assert!(found.servers_lost < on.servers_lost && found.servers_lost < never.servers_lost);
        assert!(found.sound_failed < on.sound_failed && found.sound_failed < never.sound_failed);
    }
}

/// Guards against a shared part that is blamed for servers that end for other reasons.
#[rstest]
#[case::calm(CALM)]
#[case::single_servers(Load { crashes: 0.5, ..CALM })]
#[case::many_servers(Load { crashes: 2.0, ..CALM })]
#[case::racks(Load { racks: 6, ..CALM })]
#[case::most_of_the_fleet(Load { racks: 14, crashes: 0.3, ..CALM })]
#[case::cold_start(Load { crashes: 1.0, racks: 6, cold: true, ..CALM })]
#[case::hot_request(Load { crashes: 1.0, racks: 6, hot: 0.3, ..CALM })]
#[case::hot_request_at_few_servers(Load { crashes: 0.2, servers: 3, racks: 2, hot: 0.3, prompts: false, ..CALM })]
fn ordinary_ends_of_servers_convict_no_shared_part(#[case] load: Load) {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let played = Fleet::play(load, Policy::Suspicion, seed);
        println!("seed {seed}: {played:?}");
        let shared = |suspect: &&Suspect| match suspect {
            Suspect::Part(part) => !SUBJECTS.contains(part),
            Suspect::Request(request) => *request == HOT,
        };
        assert_eq!(played.blocked.iter().find(shared), None, "seed {seed}: {played:?}");
        refused += played.sound_refused;
    }
    let calls = SEEDS as f64 * CALL_RATE * LENGTH_MS as f64 / 1e3;
    assert!((refused as f64) < 0.005 * calls, "{refused} sound calls refused");
}

/// Guards against one request that ends server after server, as often as it comes.
#[rstest]
#[case::three_servers(Load { servers: 3, prompts: false, ..CALM })]
#[case::many_servers(CALM)]
#[case::beside_ordinary_crashes(Load { crashes: 0.3, ..CALM })]
#[case::beside_racks_that_end(Load { racks: 6, ..CALM })]
#[case::beside_a_hot_request(Load { servers: 3, prompts: false, hot: 0.3, ..CALM })]
#[case::from_a_cold_start(Load { cold: true, ..CALM })]
#[case::leader_lost_after_the_first_wave(Load { servers: 3, prompts: false, new_leader: Some(8_000), ..CALM })]
#[case::leader_lost_in_the_second_wave(Load { new_leader: Some(10_560), ..CALM })]
fn a_request_that_ends_servers_is_found_and_nothing_else(#[case] load: Load) {
    check_deadly_request(load);
}

/// Guards against a request that hides behind a deadly part that ends servers at the same time.
#[test]
fn a_request_beside_a_deadly_part_is_found_in_time() {
    check_deadly_request(Load { deadly: [0.05, 0.0], ..CALM });
}

fn check_deadly_request(load: Load) {
    let load = Load { request: true, ..load };
    for seed in 0..SEEDS {
        let found = Fleet::play(load, Policy::Suspicion, seed);
        println!("seed {seed}: {found:?}");
        let request = Suspect::Request(DEADLY_REQUEST);
        assert!(found.blocked.contains(&request), "seed {seed}: {found:?}");
        assert!(!found.blocked.contains(&Suspect::Request(HOT)), "seed {seed}: {found:?}");
        // The users' bound: three retries later than three seconds after the third end.
        assert!(found.late_requests <= 3, "seed {seed}: {found:?}");
        assert!(found.late_deadly <= 3, "seed {seed}: {found:?}");
        let refused = found.sound_refused as f64 / found.sound_calls as f64;
        assert!(refused < 0.02, "seed {seed}: {refused}");
        let on = Fleet::play(load, Policy::TryOn, seed);
        assert!(found.servers_lost < on.servers_lost, "seed {seed}: {found:?}, try on: {on:?}");
    }
}
