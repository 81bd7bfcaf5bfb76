//! Pattern: a query of death. One part of a prompt ends every server that begins to answer a call
//! with it, whatever else the call holds; or one whole request does, as often as it comes. Finds it
//! from the ends of servers, among what was only running beside it, and among ordinary crashes and
//! losses of whole data centres.

use crate::control::Suspect;
use crate::name::VmName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Ends of one server within this time are one incident.
const SAME_SERVER: Duration = Duration::from_secs(2);
/// Servers that end within this time of each other share a cause outside their calls, as a rack
/// without power, so they count once.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Incidents from which on the routers are asked for sound runs with a part.
const WATCHED_INCIDENTS: usize = 2;
/// The fewest incidents that convict a part.
const MIN_INCIDENTS: usize = 3;
/// Calls sent one after the end of the other that convict a part: retries and callers' repeats make
/// many calls at the same time, which may all have met one disturbance.
const MIN_ROUNDS: u32 = 2;
/// How much likelier the incidents must be with a deadly part than by chance.
const LIKELIHOOD_RATIO: f64 = 1e5;
/// Time in which routers answer whether they know of sound runs, before a part is convicted.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// How long a part with sound runs shortly before has to be without one: those of a common part
/// may merely take their time.
const PROVEN_TIME: Duration = Duration::from_secs(5);
/// Sound runs with any parts since the first incident. Without them, all calls fare badly and the
/// part is not to blame.
const MIN_SOUND_RUNS: u64 = 20;
/// Window over which the share of runs that end with their server is estimated.
const RATE_WINDOW: Duration = Duration::from_secs(30);
/// Sound runs that are assumed beside those seen, so that a few runs prove nothing.
const PRIOR_RUNS: f64 = 20.0;
/// Bounds of that share.
const END_SHARE_RANGE: (f64, f64) = (0.02, 0.8);
/// A case without a new incident for this long is closed.
const CASE_TTL: Duration = Duration::from_secs(600);
/// How long a trial of what was convicted lasts.
const TRIAL_TIME: Duration = Duration::from_secs(600);
/// Open cases; the one whose last incident is the oldest is dropped first.
const MAX_CASES: usize = 1_024;
/// Incidents that are kept of a case.
const MAX_INCIDENTS: usize = 16;
/// Different requests with a part under which servers have ended, before the part is convicted: with
/// fewer, the request may be to blame.
const MIN_REQUESTS: usize = 2;

/// A call whose server ended, or broke its response off, before the answer had gone on for long.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The parts of the prompt that other calls may share, and the request; empty if the call cannot
    /// be to blame.
    pub suspects: Vec<Suspect>,
    /// The server.
    pub server: VmName,
    /// Time from the sending of the call to the end of the server.
    pub age: Duration,
    /// Time since the end.
    pub ago: Duration,
}

/// What is held to end servers, with the evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct Convict {
    /// The part or the request.
    pub suspect: Suspect,
    /// The evidence, as text for operators.
    pub evidence: String,
}

/// What is held against each part and request, from the reports of all routers.
#[derive(Debug, Default)]
pub struct PartSuspicion {
    cases: BTreeMap<Suspect, Case>,
    /// Ends of servers that nothing convicted explains.
    ends: VecDeque<ServerEnd>,
    sound_runs: VecDeque<SoundRuns>,
    /// Requests under which a server ended, but also with a sound run.
    sound_requests: BTreeSet<Suspect>,
    /// What was blocked and is let through again as a trial, and until when that lasts.
    trials: BTreeMap<Suspect, Duration>,
}

/// Incidents with a part or a request since its last sound run.
#[derive(Debug, Default)]
struct Case {
    incidents: Vec<Incident>,
    rounds: u32,
    /// When the last round ended.
    round_at: Duration,
    /// When the part had enough incidents to be watched.
    watched_at: Option<Duration>,
    /// Whether a run with the part ended soundly shortly before the first incident.
    was_sound: bool,
    /// Requests under which the servers ended, at most `MIN_REQUESTS`.
    requests: BTreeSet<Suspect>,
}

#[derive(Debug, Clone, PartialEq)]
struct Incident {
    server: VmName,
    at: Duration,
}

/// A server that ended, and the runs that ended with it.
#[derive(Debug)]
struct ServerEnd {
    incident: Incident,
    runs: u64,
}

/// Runs that were reported as sound at one moment.
#[derive(Debug)]
struct SoundRuns {
    at: Duration,
    count: u64,
}

impl Incident {
    fn is_same(&self, server: &VmName, at: Duration) -> bool {
        at.abs_diff(self.at) < SAME_MOMENT || self.is_end_of(server, at)
    }

    fn is_end_of(&self, server: &VmName, at: Duration) -> bool {
        self.server == *server && at.abs_diff(self.at) < SAME_SERVER
    }
}

impl Case {
    fn first_at(&self) -> Duration {
        let first = self.incidents.first().map(|incident| incident.at);
        first.or(self.watched_at).unwrap_or(Duration::MAX)
    }

    fn last_at(&self) -> Duration {
        let last = self.incidents.last().map(|incident| incident.at);
        last.or(self.watched_at).unwrap_or(Duration::ZERO)
    }

    fn add(&mut self, server: &VmName, sent_at: Duration, now: Duration) {
        if self.rounds == 0 || sent_at > self.round_at {
            self.rounds += 1;
            self.round_at = now;
        }
        if self.incidents.iter().any(|incident| incident.is_same(server, now)) {
            return;
        }
        if self.incidents.len() < MAX_INCIDENTS {
            self.incidents.push(Incident { server: server.clone(), at: now });
        }
        if self.incidents.len() >= WATCHED_INCIDENTS {
            self.watched_at.get_or_insert(now);
        }
    }

    /// Whether the suspect ran at a server that ended.
    fn covers(&self, end: &Incident) -> bool {
        self.incidents.iter().any(|incident| incident.is_same(&end.server, end.at))
    }

    /// Whether the incidents convict the suspect, if `end_share` of all runs end with their server for
    /// other reasons.
    fn is_proof(&self, now: Duration, end_share: f64) -> bool {
        let answered = self.watched_at.is_some_and(|at| now >= at + ANSWER_TIME);
        let is_due = !self.was_sound || now >= self.first_at() + PROVEN_TIME;
        let incidents = self.incidents.len();
        let evidence = incidents as f64 * -end_share.ln();
        answered
            && is_due
            && incidents >= MIN_INCIDENTS
            && self.rounds >= MIN_ROUNDS
            && evidence >= LIKELIHOOD_RATIO.ln()
    }
}

impl PartSuspicion {
    /// Adds a call whose server ended.
    pub fn record_end(&mut self, now: Duration, end: &RunEnd) {
        let ended_at = now.saturating_sub(end.ago);
        let sent_at = ended_at.saturating_sub(end.age);
        self.add_server_end(ended_at, &end.server);
        let request = end.suspects.iter().find(|suspect| matches!(suspect, Suspect::Request(_)));
        for suspect in &end.suspects {
            let case = self.cases.entry(*suspect).or_default();
            case.add(&end.server, sent_at, ended_at);
            case.requests.extend(request.filter(|_| case.requests.len() < MIN_REQUESTS));
        }
        self.cases.retain(|_, case| now < case.last_at() + CASE_TTL);
        while self.cases.len() > MAX_CASES {
            // What was met once only goes first: many calls end with a data centre.
            let rank = |case: &Case| (case.incidents.len() > 1, case.last_at());
            let oldest = self.cases.iter().min_by_key(|(_, case)| rank(case));
            let oldest = oldest.map(|(suspect, _)| *suspect);
            oldest.and_then(|suspect| self.cases.remove(&suspect));
        }
    }

    /// Lets a suspect that was convicted through as a trial: the first end under it convicts it again.
    pub fn begin_trial(&mut self, now: Duration, suspect: Suspect) {
        self.trials.retain(|_, until| now < *until);
        self.trials.insert(suspect, now + TRIAL_TIME);
    }

    fn is_in_trial(&self, now: Duration, suspect: Suspect) -> bool {
        self.trials.get(&suspect).is_some_and(|until| now < *until)
    }

    /// Records that a run with the suspect ended soundly at the time `at`: a deadly one has none, so
    /// everything before is dropped.
    pub fn record_sound(&mut self, suspect: Suspect, at: Duration) {
        let Some(case) = self.cases.get_mut(&suspect) else { return };
        match at > case.first_at() {
            true => {
                self.cases.remove(&suspect);
                if self.sound_requests.len() >= MAX_CASES {
                    self.sound_requests.clear();
                }
                if let Suspect::Request(_) = suspect {
                    self.sound_requests.insert(suspect);
                }
            }
            false => case.was_sound = true,
        }
    }

    /// Adds a number of sound runs with any parts.
    pub fn record_sound_runs(&mut self, now: Duration, count: u64) {
        self.sound_runs.push_back(SoundRuns { at: now, count });
        while self.sound_runs.front().is_some_and(|runs| runs.at + RATE_WINDOW < now) {
            self.sound_runs.pop_front();
        }
    }

    fn add_server_end(&mut self, now: Duration, server: &VmName) {
        while self.ends.front().is_some_and(|end| end.incident.at + RATE_WINDOW < now) {
            self.ends.pop_front();
        }
        let is_same = |incident: &Incident| {
            incident.server == *server && now.abs_diff(incident.at) < SAME_SERVER
        };
        match self.ends.iter_mut().rev().find(|end| is_same(&end.incident)) {
            Some(end) => end.runs += 1,
            None => {
                let incident = Incident { server: server.clone(), at: now };
                self.ends.push_back(ServerEnd { incident, runs: 1 });
            }
        }
    }

    /// Suspects of which sound runs would be news, and with which no call should be tried again.
    pub fn watched(&self) -> impl Iterator<Item = Suspect> {
        let watched = self.cases.iter().filter(|(_, case)| case.watched_at.is_some());
        watched.map(|(suspect, _)| *suspect)
    }

    /// The suspect with the most incidents among those that are proved deadly. Its incidents no longer
    /// count against what ran beside it.
    ///
    /// ```
    /// use samphireshift::name::VmName;
    /// use samphireshift::control::Suspect;
    /// use samphireshift::policy::{PartSuspicion, RunEnd};
    /// use std::time::Duration;
    /// let mut suspicion = PartSuspicion::default();
    /// for second in 1..=3 {
    ///     suspicion.record_sound_runs(Duration::from_secs(second), 50);
    ///     let server = VmName::new(format!("server-{second}"));
    ///     let (suspects, age) = (vec![Suspect::Request(7)], Duration::from_millis(300));
    ///     let end = RunEnd { suspects, server, age, ago: Duration::ZERO };
    ///     suspicion.record_end(Duration::from_secs(second), &end);
    /// }
    /// assert_eq!(suspicion.convict(Duration::from_secs(3)).unwrap().suspect, Suspect::Request(7));
    /// ```
    pub fn convict(&mut self, now: Duration) -> Option<Convict> {
        // What ran beside a deadly suspect has fewer incidents; it waits until these are explained.
        let suspects = self.cases.values().filter(|case| !case.was_sound);
        let most = suspects.map(|case| case.incidents.len()).max().unwrap_or(0);
        let is_proved = |suspect: &Suspect, case: &Case| {
            case.incidents.len() >= most
                && self.sound_since(case.first_at()) >= MIN_SOUND_RUNS
                && !self.may_be_request(*suspect, case)
                && case.is_proof(now, self.end_share(case))
        };
        let is_due = |suspect: &Suspect, case: &Case| {
            self.is_in_trial(now, *suspect) || is_proved(suspect, case)
        };
        let proved = self.cases.iter().filter(|(suspect, case)| is_due(suspect, case));
        let (suspect, case) = proved.max_by_key(|(_, case)| case.incidents.len())?;
        let (suspect, end_share) = (*suspect, self.end_share(case));
        let case = self.cases.remove(&suspect)?;
        self.explain(suspect, &case.incidents);
        let servers: Vec<&str> = case.incidents.iter().map(|i| i.server.as_str()).collect();
        let evidence = format!(
            "{} servers ended under calls with it and none answered one; without it, {:.1} in 100 \
             runs ended so: {}",
            servers.len(),
            end_share * 100.0,
            servers.join(", ")
        );
        Some(Convict { suspect, evidence })
    }

    /// Takes incidents that have an explanation out of all cases, but for the parts of a request: one
    /// of them may explain it. What was watched stays so until a sound run clears it.
    fn explain(&mut self, convict: Suspect, incidents: &[Incident]) {
        let is_explained =
            |other: &Incident| incidents.iter().any(|i| i.is_end_of(&other.server, other.at));
        self.ends.retain(|end| !is_explained(&end.incident));
        for case in self.cases.values_mut().filter(|case| !case.requests.contains(&convict)) {
            case.incidents.retain(|incident| !is_explained(incident));
        }
        self.cases.retain(|_, case| !case.incidents.is_empty() || case.watched_at.is_some());
    }

    /// Whether the incidents of a part may be the doing of a single request, which has no sound run.
    fn may_be_request(&self, suspect: Suspect, case: &Case) -> bool {
        let request = case.requests.first().filter(|_| case.requests.len() == 1);
        request.is_some_and(|request| *request != suspect && !self.sound_requests.contains(request))
    }

    /// The number of sound runs reported since then.
    fn sound_since(&self, since: Duration) -> u64 {
        let runs = self.sound_runs.iter().filter(|runs| runs.at >= since);
        runs.map(|runs| runs.count).sum()
    }

    /// The share of all runs that end with their server, without the ends that the case covers: a
    /// deadly part that ends many servers must not hide behind them.
    fn end_share(&self, case: &Case) -> f64 {
        let uncovered = self.ends.iter().filter(|end| !case.covers(&end.incident));
        let ended = uncovered.map(|end| end.runs).sum::<u64>() as f64;
        let sound = self.sound_runs.iter().map(|runs| runs.count).sum::<u64>() as f64;
        (ended / (ended + sound + PRIOR_RUNS)).clamp(END_SHARE_RANGE.0, END_SHARE_RANGE.1)
    }
}
