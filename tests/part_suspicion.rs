//! The load that `policy/part_suspicion.rs` answers: one part of a prompt ends every server that
//! begins to answer a call with it. A fleet of servers is played on virtual time, without network,
//! against two naive policies: to try on as if nothing were known, and never to try again.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::name::VmName;
use samphireshift::policy::{PartSuspicion, RunEnd};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 12;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
const SERVERS: usize = 18;
/// Calls a second.
const CALL_RATE: f64 = 70.0;
/// How long a server that has ended is away.
const RESTART_MS: u64 = 3_000;
/// How long a run takes, at least and at most.
const RUN_MS: (u64, u64) = (200, 1_800);
/// How long after its start a deadly run ends its server.
const DEADLY_MS: (u64, u64) = (200, 900);
const MAX_ATTEMPTS: u32 = 3;
/// Time from an event at a router to the leader, and from the leader to all routers.
const DELAY_MS: u64 = 60;
/// The part that all calls share.
const SYSTEM_PROMPT: u64 = 1;
/// The first of the parts that one organisation's calls share.
const ORGANISATIONS: std::ops::Range<u64> = 100..112;
/// The first of the parts that few calls share.
const SUBJECTS: std::ops::Range<u64> = 1_000..1_200;
const DEADLY: [u64; 2] = [7, 8];

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
}

const CALM: Load = Load { deadly: [0.0, 0.0], crashes: 0.0, racks: 0, cold: false };

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    Suspicion,
    TryOn,
    NeverRepeat,
}

/// A run at a server.
#[derive(Debug, Clone)]
struct Run {
    parts: Vec<u64>,
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
    blocked: BTreeSet<u64>,
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
    sound: Vec<(u64, Vec<u64>)>,
    last_sound: BTreeMap<u64, u64>,
    /// Blocked parts, and since when the routers know.
    blocked: BTreeMap<u64, u64>,
    watched: Vec<(u64, BTreeSet<u64>)>,
    ends: BTreeMap<u64, Vec<u64>>,
    outcome: Outcome,
}

impl Fleet {
    fn play(load: Load, policy: Policy, seed: u64) -> Outcome {
        let mut fleet = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            load,
            policy,
            now: 0,
            down_until: vec![0; SERVERS],
            runs: Vec::new(),
            suspicion: PartSuspicion::default(),
            reports: Vec::new(),
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
        let mut parts = vec![SYSTEM_PROMPT, organisation, subject];
        let draw: f64 = self.random.random();
        let [first, second] = self.load.deadly;
        if self.in_trouble() && draw < first + second {
            parts.push(if draw < first { DEADLY[0] } else { DEADLY[1] });
        }
        let is_sound = deadly_part(&parts).is_none();
        self.outcome.sound_calls += usize::from(is_sound);
        if parts.iter().any(|part| self.is_blocked(*part)) {
            self.outcome.sound_refused += usize::from(is_sound);
            return;
        }
        self.send(parts, 0);
    }

    fn is_blocked(&self, part: u64) -> bool {
        self.blocked.get(&part).is_some_and(|since| self.now >= *since)
    }

    fn is_suspect(&self, parts: &[u64]) -> bool {
        let known = self.watched.iter().rev().find(|(at, _)| *at <= self.now);
        known.is_some_and(|(_, watched)| parts.iter().any(|part| watched.contains(part)))
    }

    fn send(&mut self, parts: Vec<u64>, attempts: u32) {
        let up: Vec<usize> =
            (0..SERVERS).filter(|server| self.down_until[*server] <= self.now).collect();
        let sound = deadly_part(&parts).is_none();
        if up.is_empty() {
            self.outcome.sound_failed += usize::from(sound);
            return;
        }
        if let Some(part) = deadly_part(&parts) {
            let fifth = self.ends.get(&part).and_then(|ends| ends.get(4));
            let late = fifth.is_some_and(|fifth| self.now > fifth + 3_000);
            self.outcome.late_deadly += usize::from(late);
        }
        let server = up[self.random.random_range(0..up.len())];
        let (least, most) = if sound { RUN_MS } else { DEADLY_MS };
        let ends_at = self.now + self.random.random_range(least..most);
        let (sent_at, attempts) = (self.now, attempts + 1);
        self.runs.push(Run { parts, server, sent_at, ends_at, attempts });
    }

    /// Servers that end without a call's doing.
    fn crashes(&mut self) {
        if !self.in_trouble() {
            return;
        }
        if self.random.random_bool(self.load.crashes * STEP_MS as f64 / 1e3) {
            let server = self.random.random_range(0..SERVERS);
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
            let age = Duration::from_millis(self.now - run.sent_at);
            let end = RunEnd { parts: run.parts.clone(), server: name.clone(), age };
            self.reports.push((self.now + DELAY_MS, end));
            let blocked = run.parts.iter().any(|part| self.is_blocked(*part));
            let again = match self.policy {
                Policy::Suspicion => !blocked && !self.is_suspect(&run.parts),
                Policy::TryOn => true,
                Policy::NeverRepeat => false,
            };
            match again && run.attempts < MAX_ATTEMPTS {
                true => self.send(run.parts, run.attempts),
                false if deadly_part(&run.parts).is_none() => self.outcome.sound_failed += 1,
                false => {}
            }
        }
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        while let Some(index) = self.runs.iter().position(|run| run.ends_at <= now) {
            let run = self.runs[index].clone();
            if let Some(part) = deadly_part(&run.parts) {
                self.ends.entry(part).or_default().push(self.now);
                self.outcome.servers_lost += 1;
                self.end_server(run.server);
                continue;
            }
            self.runs.swap_remove(index);
            self.sound.push((self.now + DELAY_MS, run.parts));
        }
    }

    /// What the leader does with the reports that have arrived.
    fn lead(&mut self) {
        let (now, at) = (self.now, Duration::from_millis(self.now));
        for (_, parts) in self.sound.extract_if(.., |(due, _)| *due <= now) {
            self.suspicion.record_sound_runs(at, 1);
            for part in parts {
                self.last_sound.insert(part, now - DELAY_MS);
            }
        }
        for (_, end) in self.reports.extract_if(.., |(due, _)| *due <= now) {
            self.suspicion.record_end(at, &end);
        }
        let watched: BTreeSet<u64> = self.suspicion.watched().collect();
        for part in &watched {
            if let Some(sound_at) = self.last_sound.get(part) {
                self.suspicion.record_sound(*part, Duration::from_millis(*sound_at));
            }
        }
        self.watched.push((now + DELAY_MS, watched));
        if self.policy != Policy::Suspicion {
            return;
        }
        while let Some(deadly) = self.suspicion.convict(at) {
            self.blocked.insert(deadly.part, now + DELAY_MS);
            self.outcome.blocked.insert(deadly.part);
        }
    }
}

fn deadly_part(parts: &[u64]) -> Option<u64> {
    parts.iter().copied().find(|part| DEADLY.contains(part))
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
        let expected: BTreeSet<u64> = expected.map(|(part, _)| *part).collect();
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
fn ordinary_ends_of_servers_convict_no_shared_part(#[case] load: Load) {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let played = Fleet::play(load, Policy::Suspicion, seed);
        println!("seed {seed}: {played:?}");
        let shared = |part: &&u64| !SUBJECTS.contains(*part);
        assert_eq!(played.blocked.iter().find(shared), None, "seed {seed}: {played:?}");
        refused += played.sound_refused;
    }
    let calls = SEEDS as f64 * CALL_RATE * LENGTH_MS as f64 / 1e3;
    assert!((refused as f64) < 0.005 * calls, "{refused} sound calls refused");
}
