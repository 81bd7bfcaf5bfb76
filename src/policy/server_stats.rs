use super::{Health, Limit};
use std::time::Duration;

/// The weight of a new first-token time in its moving average.
const FIRST_WEIGHT: f64 = 0.2;
/// A report older than this says nothing any more.
const STALE: Duration = Duration::from_secs(4);
/// Slots assumed where a server reports none.
const SLOTS: u64 = 8;

/// A server's last report, and what this router did since.
#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Duration,
    load: u64,
    slots: u64,
    begun: u64,
    ended: u64,
}

/// What one router knows of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerStats {
    own: u64,
    report: Option<Reported>,
    first: Option<f64>,
    limit: Limit,
    health: Health,
}

impl ServerStats {
    /// Calls of this router under way.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Calls that this router may have under way.
    pub fn limit(&self) -> u64 {
        self.limit.calls()
    }

    /// Calls that this router may still begin.
    pub fn room(&self) -> u64 {
        self.limit.calls().saturating_sub(self.own)
    }

    /// Whether the server may get a request.
    pub fn may_use(&self, now: Duration) -> bool {
        self.health.may_use(now)
    }

    /// Requests that the server can work on at once.
    pub fn slots(&self) -> u64 {
        self.report.map_or(SLOTS, |report| report.slots)
    }

    /// The average time to the first token, in milliseconds; `None` before the first answer.
    pub fn first(&self) -> Option<f64> {
        self.first
    }

    /// Requests at the server now, as far as known: the last report, corrected by what this router
    /// began and ended since, and never less than this router's own.
    ///
    /// ```
    /// use samphireshift::policy::ServerStats;
    /// use std::time::Duration;
    /// let at = Duration::from_millis;
    /// let mut stats = ServerStats::default();
    /// stats.reported(at(0), 5, 1, 8);
    /// stats.begun(at(10));
    /// assert_eq!(stats.load(at(20)), 7);
    /// assert_eq!(stats.load(at(9_000)), 1);
    /// ```
    pub fn load(&self, now: Duration) -> u64 {
        let Some(report) = &self.report else { return self.own };
        if now > report.at + STALE {
            return self.own;
        }
        let corrected = (report.load + report.begun).saturating_sub(report.ended);
        corrected.max(self.own)
    }

    /// A call begins.
    pub fn begun(&mut self, now: Duration) {
        self.own += 1;
        self.health.begun(now);
        if let Some(report) = &mut self.report {
            report.begun += 1;
        }
    }

    /// A call ended, however it did.
    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.ended += 1;
        }
    }

    /// The first token, or the whole answer of a plain service, came after `first`. Returns whether
    /// the server was restored by it.
    pub fn answered(&mut self, first: Duration) -> bool {
        let millis = first.as_secs_f64() * 1_000.0;
        let average = self.first.map_or(millis, |old| old + (millis - old) * FIRST_WEIGHT);
        self.first = Some(average);
        self.health.succeeded()
    }

    /// A call failed. Returns whether the server was ejected by it.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.health.failed(now)
    }

    /// The server refused a call for overload, which says nothing against its health.
    pub fn overloaded(&mut self, now: Duration) {
        self.limit.overloaded(now);
        self.health.succeeded();
    }

    /// A load report was read: requests running and waiting, and slots.
    pub fn reported(&mut self, now: Duration, running: u64, waiting: u64, slots: u64) {
        let slots = if slots == 0 { SLOTS } else { slots };
        self.limit.reported(now, waiting, slots, self.own);
        let load = running + waiting;
        self.report = Some(Reported { at: now, load, slots, begun: 0, ended: 0 });
    }
}
