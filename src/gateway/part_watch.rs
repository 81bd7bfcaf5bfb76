//! What this router knows of parts of prompts that end servers.

use super::RequestHead;
use crate::control::BlockedParts;
use crate::name::VmName;
use crate::policy::RunEnd;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A run that has been answered for this long is sound, whatever comes later: a deadly part ends its
/// server when the answer begins.
const SOUND_ANSWER_TIME: Duration = Duration::from_secs(1);
/// How long a sound run with a part is remembered.
const SOUND_TTL: Duration = Duration::from_secs(30);
/// Parts whose last sound run is remembered.
const MAX_SOUND: usize = 8_192;
/// Ends that wait to be reported; more than these say nothing new.
const MAX_UNREPORTED: usize = 256;

/// Blocked and watched parts, and what is to be reported of runs.
#[derive(Debug, Default)]
pub struct PartWatch {
    inner: Mutex<Inner>,
    /// Notified when there is something to report.
    pub news: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    /// `None` until the leader has sent them.
    blocked: Option<BlockedParts>,
    watched: Vec<u64>,
    /// When the last sound run with a part ended.
    sound: HashMap<u64, Instant>,
    /// What was last reported of them.
    reported: HashMap<u64, Instant>,
    ended: Vec<RunEnd>,
    sound_runs: u64,
}

/// What a report of this router holds.
#[derive(Debug, Default, PartialEq)]
pub struct PartNews {
    /// The version of the blocked parts; `None` without any.
    pub version: Option<u64>,
    /// The watched parts.
    pub watched: Vec<u64>,
    /// Calls whose server ended.
    pub ended: Vec<RunEnd>,
    /// Watched parts with a new sound run, and how long ago it ended.
    pub sound: Vec<(u64, Duration)>,
    /// Sound runs since the start.
    pub sound_runs: u64,
}

/// One call at one server.
#[derive(Debug)]
pub struct RunRecord {
    watch: Arc<PartWatch>,
    parts: Vec<u64>,
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
        // The parts of a run that was answered for long have not ended the server.
        let parts = if self.is_sound { Vec::new() } else { std::mem::take(&mut self.parts) };
        let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        let age_ms = age.as_millis();
        log::info!("server {server} ended {age_ms} ms into a call with parts {}", ids.join(", "));
        self.watch.record_end(RunEnd { parts, server: server.clone(), age });
    }

    /// The whole answer has arrived, or enough of it.
    pub fn answered(&mut self) {
        if !std::mem::replace(&mut self.is_sound, true) {
            self.watch.record_sound(&self.parts);
        }
    }
}

impl PartWatch {
    /// The record of a call that is sent to a server.
    pub fn begin_run(self: &Arc<Self>, head: &RequestHead) -> RunRecord {
        RunRecord {
            watch: self.clone(),
            parts: head.shared_parts().collect(),
            answer_began: None,
            is_sound: false,
        }
    }

    fn record_end(&self, end: RunEnd) {
        let mut inner = self.inner.lock().expect("part watch lock");
        if inner.ended.len() >= MAX_UNREPORTED {
            return;
        }
        inner.ended.push(end);
        drop(inner);
        self.news.notify_one();
    }

    fn record_sound(&self, parts: &[u64]) {
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
        for part in parts {
            inner.sound.insert(*part, now);
            is_news |= inner.watched.contains(part);
        }
        drop(inner);
        if is_news {
            self.news.notify_one();
        }
    }

    /// The first blocked part of a prompt.
    pub fn blocked_part(&self, head: &RequestHead) -> Option<u64> {
        let inner = self.inner.lock().expect("part watch lock");
        let blocked = inner.blocked.as_ref().filter(|blocked| !blocked.parts.is_empty())?;
        head.shared_parts().find(|part| blocked.parts.contains_key(part))
    }

    /// Whether servers have ended under several calls with a part of this prompt, and none has
    /// answered one since. Another try would cost another server.
    pub fn is_suspect(&self, head: &RequestHead) -> bool {
        let inner = self.inner.lock().expect("part watch lock");
        !inner.watched.is_empty() && head.shared_parts().any(|part| inner.watched.contains(&part))
    }

    /// Takes what is to be reported.
    pub fn take_news(&self) -> PartNews {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("part watch lock");
        let inner = &mut *inner;
        let mut sound = Vec::new();
        inner.reported.retain(|part, _| inner.watched.contains(part));
        for part in &inner.watched {
            let Some(at) = inner.sound.get(part) else { continue };
            if inner.reported.insert(*part, *at) != Some(*at) {
                sound.push((*part, now.duration_since(*at)));
            }
        }
        PartNews {
            version: inner.blocked.as_ref().map(|blocked| blocked.version),
            watched: inner.watched.clone(),
            ended: std::mem::take(&mut inner.ended),
            sound,
            sound_runs: inner.sound_runs,
        }
    }

    /// Keeps what was taken for the next report, as the leader has not counted it.
    pub fn put_back(&self, mut ended: Vec<RunEnd>) {
        let mut inner = self.inner.lock().expect("part watch lock");
        ended.append(&mut inner.ended);
        ended.truncate(MAX_UNREPORTED);
        inner.ended = ended;
        inner.reported.clear();
    }

    /// Takes in the leader's answer. Returns the number of blocked parts if it has changed.
    pub fn update(&self, blocked: Option<BlockedParts>, watched: Vec<u64>) -> Option<usize> {
        let mut inner = self.inner.lock().expect("part watch lock");
        inner.watched = watched;
        let blocked = blocked?;
        let count = blocked.parts.len();
        let before = inner.blocked.replace(blocked).map_or(0, |before| before.parts.len());
        (count != before).then_some(count)
    }
}
