use super::OwnShare;
use std::collections::VecDeque;
use std::time::Duration;

/// The longest time between two requests that a router sends to a limited server by itself.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// A change of a limit by more than this fraction is reported at once.
const NEWS_CHANGE: f64 = 0.1;

/// What a router knows of one server's limit.
#[derive(Debug)]
pub(super) struct LocalLimit {
    pub(super) limit: f64,
    /// When the server last named this limit or a lower one: what was sent before and tells of more
    /// may be older.
    pub(super) heard_at: Duration,
    /// Since when at the earliest what is known is true.
    pub(super) said_at: Duration,
    /// When that changed last.
    pub(super) changed_at: Duration,
    /// When more was heard of, until another answer confirms it: the leader may have heard from
    /// another router that it is older than what that one heard.
    pub(super) unconfirmed: Option<Duration>,
    /// Whether the server has named no limit since then.
    pub(super) has_ended: bool,
    /// Whether the leader has not yet been told of the newest news.
    pub(super) unreported: bool,
    /// When each of the tokens expires, the next first.
    pub(super) tokens: VecDeque<Duration>,
    pub(super) wanted: u32,
    pub(super) wanted_at: Duration,
    /// This router's own part, for times without a leader.
    pub(super) share: OwnShare,
    /// What the leader said of the pace of its tokens: a second, for this router.
    pub(super) pace: Option<f64>,
    /// Since when the server is not in the VM list.
    pub(super) unlisted_since: Option<Duration>,
}

impl LocalLimit {
    pub(super) fn new(now: Duration, limit: f64, heard_at: Duration) -> Self {
        Self {
            limit,
            heard_at,
            said_at: heard_at,
            changed_at: now,
            unconfirmed: None,
            has_ended: false,
            unreported: false,
            tokens: VecDeque::new(),
            wanted: 0,
            wanted_at: now,
            share: OwnShare::default(),
            pace: None,
            unlisted_since: None,
        }
    }

    pub(super) fn set_limit(&mut self, limit: f64) {
        if limit < self.limit * (1.0 - NEWS_CHANGE) {
            self.tokens.clear();
        }
        self.limit = limit;
        self.has_ended = false;
    }

    /// Takes in what an answer says that names a limit. Returns whether the leader has to know at once.
    pub(super) fn hear(&mut self, now: Duration, sent_at: Duration, limit: f64) -> bool {
        let is_higher = !self.has_ended && limit > self.limit;
        // An answer to an older call may have been overtaken by one that names less.
        if is_higher && sent_at <= self.heard_at {
            return false;
        }
        if !self.has_ended && limit == self.limit {
            self.heard_at = now;
            return self.confirm(now, sent_at);
        }
        let is_news = self.has_ended || (limit - self.limit).abs() > NEWS_CHANGE * self.limit;
        self.set_limit(limit);
        if !is_higher {
            self.heard_at = now;
        }
        (self.said_at, self.changed_at) = (if is_higher { sent_at } else { now }, now);
        self.unconfirmed = is_higher.then_some(now);
        self.unreported = true;
        is_news
    }

    /// Takes in an answer that names no limit.
    pub(super) fn hear_none(&mut self, now: Duration, sent_at: Duration) -> bool {
        if self.has_ended {
            return self.confirm(now, sent_at);
        }
        // An answer to an older call may have been on its way when the limit was named.
        if sent_at <= self.heard_at {
            return false;
        }
        (self.has_ended, self.unreported) = (true, true);
        (self.said_at, self.changed_at) = (sent_at, now);
        self.unconfirmed = Some(now);
        true
    }

    /// Reports what is known once more if it was said again since it was heard first.
    pub(super) fn confirm(&mut self, now: Duration, sent_at: Duration) -> bool {
        let is_confirmed = self.unconfirmed.is_some_and(|since| sent_at > since);
        if is_confirmed {
            self.unconfirmed = None;
            (self.said_at, self.changed_at) = (sent_at, now);
            self.unreported = true;
        }
        is_confirmed
    }

    pub(super) fn drop_expired(&mut self, now: Duration) {
        while self.tokens.front().is_some_and(|expires_at| *expires_at <= now) {
            self.tokens.pop_front();
        }
    }

    /// The time between two requests that a router sends to a server by itself.
    pub(super) fn interval(&self, fleet: u32) -> Duration {
        let rate = self.limit / f64::from(fleet);
        Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }
}
