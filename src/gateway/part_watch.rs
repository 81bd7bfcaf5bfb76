//! What this router knows of parts of prompts, and of requests, that end servers.

use crate::control::Suspect;
use crate::name::VmName;
use crate::peer::BlockedSuspects;
use crate::policy::RunEnd;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// A run that has been answered for this long is sound, whatever comes later: a deadly part ends its
/// server when the answer begins.
const SOUND_ANSWER_TIME: Duration = Duration::from_secs(1);
/// How long a sound run is remembered.
const SOUND_TTL: Duration = Duration::from_secs(30);
/// Suspects whose last sound run is remembered.
const MAX_SOUND: usize = 32_768;
/// How long the end of a server is remembered, for another leader.
const ENDED_TTL: Duration = Duration::from_secs(120);
/// Ends that are remembered; more than these say nothing new.
const MAX_ENDED: usize = 256;

/// Servers that end within `MASS_END_SPAN` under calls that have nothing to do with each other, besides the
/// one in question, for no call to be to blame.
const MASS_END_SERVERS: usize = 3;
/// See [`MASS_END_SERVERS`].
const MASS_END_SPAN: Duration = Duration::from_secs(1);

/// What is blocked and watched, and what is to be reported of runs.
#[derive(Debug)]
pub struct PartWatch {
    inner: Mutex<Inner>,
    /// Notified when there is something to report.
    pub news: Notify,
    /// Changes with what is blocked.
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    /// `None` until the leader has sent them.
    blocked: Option<BlockedSuspects>,
    watched: Vec<Suspect>,
    /// When the last sound run with a suspect ended.
    sound: HashMap<Suspect, Instant>,
    /// What was last reported of them.
    reported: HashMap<Suspect, Instant>,
    ended: VecDeque<NumberedEnd>,
    /// The number of the last end.
    last_number: u64,
    /// The number of the last end that this leader has counted.
    counted: u64,
    sound_runs: u64,
}

/// The end of a server, numbered in order.
#[derive(Debug)]
struct NumberedEnd {
    number: u64,
    at: Instant,
    end: RunEnd,
}

/// What a report of this router holds.
#[derive(Debug, Default, PartialEq)]
pub struct PartNews {
    /// The version of what is blocked; `None` without any.
    pub version: Option<u64>,
    /// What is watched.
    pub watched: Vec<Suspect>,
    /// Calls whose server ended, with their numbers.
    pub ended: Vec<(u64, RunEnd)>,
    /// Watched suspects with a new sound run, and how long ago it ended.
    pub sound: Vec<(Suspect, Duration)>,
    /// Sound runs since the start.
    pub sound_runs: u64,
}

impl Default for PartWatch {
    fn default() -> Self {
        Self { inner: Mutex::default(), news: Notify::new(), changed: watch::Sender::new(0) }
    }
}

/// One call at one server.
#[derive(Debug)]
pub struct RunRecord {
    watch: Arc<PartWatch>,
    suspects: Arc<[Suspect]>,
    /// Servers that ended under the same call.
    ended_servers: Arc<AtomicU32>,
    /// When the answer began.
    answer_began: Option<Instant>,
    is_sound: bool,
}

impl RunRecord {
    /// A part of the answer has arrived.
    pub fn answer_received(&mut self) {
        let began = *self.answer_began.get_or_insert_with(Instant::now);
        if !self.is_sound && began.elapsed() >= SOUND_ANSWER_TIME {
            self.answered();
        }
    }

    /// The server ended, this long after the call was sent to it.
    pub fn server_ended(&mut self, server: &VmName, age: Duration) {
        // A run that was answered for long has not ended the server.
        let suspects = if self.is_sound { Vec::new() } else { self.suspects.to_vec() };
        let others = self.watch.count_other_ends(Some(server), &suspects);
        let may_be_to_blame = !self.is_sound && others < MASS_END_SERVERS;
        self.ended_servers.fetch_add(u32::from(may_be_to_blame), Ordering::Relaxed);
        let names: Vec<String> = suspects.iter().map(Suspect::to_string).collect();
        let age_ms = age.as_millis();
        log::info!(
            "server {server} ended {age_ms} ms into a call with {}; {others} others ended just before \
             under other calls",
            names.join(", ")
        );
        self.watch.record_end(RunEnd {
            suspects,
            server: server.clone(),
            age,
            ago: Duration::ZERO,
        });
        self.suspects = Arc::default();
    }

    /// The whole answer has arrived, or enough of it.
    pub fn answered(&mut self) {
        if !std::mem::replace(&mut self.is_sound, true) {
            self.watch.record_sound(&self.suspects);
        }
    }
}

impl PartWatch {
    /// The record of a call that is sent to a server.
    pub fn begin_run(
        self: &Arc<Self>,
        suspects: &Arc<[Suspect]>,
        ended_servers: &Arc<AtomicU32>,
    ) -> RunRecord {
        RunRecord {
            watch: self.clone(),
            suspects: suspects.clone(),
            ended_servers: ended_servers.clone(),
            answer_began: None,
            is_sound: false,
        }
    }

    /// Whether so many servers have ended within `MASS_END_SPAN`, and not under calls with one of these, that
    /// no call is to blame.
    pub fn is_mass_end(&self, suspects: &[Suspect]) -> bool {
        self.count_other_ends(None, suspects) >= MASS_END_SERVERS
    }

    /// Servers besides this one that have ended within `MASS_END_SPAN`, but for those that ended under a call
    /// with one of these: other calls that ran there ended with them.
    fn count_other_ends(&self, server: Option<&VmName>, suspects: &[Suspect]) -> usize {
        let inner = self.inner.lock().expect("part watch lock");
        let recent =
            inner.ended.iter().rev().take_while(|ended| ended.at.elapsed() < MASS_END_SPAN);
        let (mut others, mut own) = (HashSet::new(), HashSet::from_iter(server));
        for NumberedEnd { end, .. } in recent {
            let is_own = end.suspects.iter().any(|suspect| suspects.contains(suspect));
            if is_own {
                own.insert(&end.server)
            } else {
                others.insert(&end.server)
            };
        }
        others.difference(&own).count()
    }

    fn record_end(&self, end: RunEnd) {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.ended.retain(|ended| now.duration_since(ended.at) < ENDED_TTL);
        if inner.ended.len() >= MAX_ENDED {
            inner.ended.pop_front();
        }
        inner.last_number += 1;
        let number = inner.last_number;
        inner.ended.push_back(NumberedEnd { number, at: now, end });
        drop(inner);
        self.news.notify_one();
    }

    fn record_sound(&self, suspects: &[Suspect]) {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.sound_runs += 1;
        if inner.sound.len() >= MAX_SOUND {
            inner.sound.retain(|_, at| now.duration_since(*at) < SOUND_TTL);
        }
        if inner.sound.len() >= MAX_SOUND {
            inner.sound.clear();
        }
        let mut is_news = false;
        for suspect in suspects {
            inner.sound.insert(*suspect, now);
            is_news |= inner.watched.contains(suspect);
        }
        drop(inner);
        if is_news {
            self.news.notify_one();
        }
    }

    /// The first of these that is blocked.
    pub fn blocked(&self, suspects: &[Suspect]) -> Option<Suspect> {
        let inner = self.inner.lock().expect("part watch lock");
        let blocked = inner.blocked.as_ref().filter(|blocked| !blocked.suspects.is_empty())?;
        suspects.iter().copied().find(|suspect| blocked.contains(*suspect))
    }

    /// Waits until one of these is blocked.
    pub async fn until_blocked(&self, suspects: &[Suspect]) -> Suspect {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(suspect) = self.blocked(suspects) {
                return suspect;
            }
            // The sender lives as long as this value.
            let _ = changed.changed().await;
        }
    }

    /// Whether servers have ended under several calls with one of these, and none has answered one
    /// since. Another try would cost another server.
    pub fn is_watched(&self, suspects: &[Suspect]) -> bool {
        let inner = self.inner.lock().expect("part watch lock");
        suspects.iter().any(|suspect| inner.watched.contains(suspect))
    }

    /// Takes what is to be reported.
    pub fn take_news(&self) -> PartNews {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("part watch lock");
        let inner = &mut *inner;
        let mut sound = Vec::new();
        inner.reported.retain(|suspect, _| inner.watched.contains(suspect));
        for suspect in &inner.watched {
            let Some(at) = inner.sound.get(suspect) else { continue };
            if inner.reported.insert(*suspect, *at) != Some(*at) {
                sound.push((*suspect, now.duration_since(*at)));
            }
        }
        let uncounted = inner.ended.iter().filter(|ended| ended.number > inner.counted);
        let ended = uncounted.map(|NumberedEnd { number, at, end }| {
            (*number, RunEnd { ago: now.duration_since(*at), ..end.clone() })
        });
        PartNews {
            version: inner.blocked.as_ref().map(|blocked| blocked.version),
            watched: inner.watched.clone(),
            ended: ended.collect(),
            sound,
            sound_runs: inner.sound_runs,
        }
    }

    /// The leader has counted the ends up to this number.
    pub fn confirm(&self, number: u64) {
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.counted = inner.counted.max(number);
    }

    /// Another leader may know nothing of what was reported.
    pub fn report_anew(&self) {
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.counted = 0;
        inner.reported.clear();
    }

    /// Takes in the leader's answer. Returns the number of blocked parts and requests if it has
    /// changed.
    pub fn update(&self, blocked: Option<BlockedSuspects>, watched: Vec<Suspect>) -> Option<usize> {
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.watched = watched;
        let blocked = blocked?;
        let count = blocked.suspects.len();
        let before = inner.blocked.replace(blocked).map_or(0, |before| before.suspects.len());
        drop(inner);
        self.changed.send_modify(|changes| *changes += 1);
        (count != before).then_some(count)
    }
}
